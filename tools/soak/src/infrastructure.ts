/** Stand-in of the infrastructure that takes reports of usage. It obeys any call and records it; at times it is down, slow or overloaded. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {text} from 'node:stream/consumers';
import type {Clock} from '@hickorytrack/clock';
import type {Random} from '@hickorytrack/random';
import type {DutyCall} from './records.js';

export type InfrastructureOptions = {
	clock: Clock;
	random: Random;
	/** It is down, slow or overloaded at times. */
	isDisturbed: boolean;
};

const troubles = ['down', 'slow', 'overloaded'] as const;
const meanCalmMs = 3000;
const minTroubleMs = 500;
const maxTroubleMs = 3000;
/** Some slow answers come later than the time-out of a call. */
const maxSlowMs = 2500;

export class Infrastructure {
	/** In the order of their arrival. */
	readonly calls: DutyCall[] = [];
	readonly #opts: InfrastructureOptions;
	readonly #server: Server;
	#trouble: {kind: typeof troubles[number]; from: number; until: number} | undefined;

	constructor(opts: InfrastructureOptions) {
		this.#opts = opts;
		this.#server = createServer((request, response) => {
			void this.#handle(request, response);
		});
	}

	async start(address: {host: string; port: number}): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(address, resolve);
			// A run that fails to start ends all the same.
			this.#server.unref();
		});
	}

	stop(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const {clock, random} = this.#opts;
		const at = clock.now();
		const trouble = this.#getTrouble();
		if (trouble === 'down') {
			request.socket.destroy();
			return;
		}

		try {
			const body = await text(request);
			const status = trouble === 'overloaded' ? 429 : 200;
			const {'x-duty-holder': holder, 'x-fencing-token': token} = request.headers;
			this.calls.push({
				at, holder: String(holder), token: Number(token), path: request.url!, body, status,
			});
			await clock.sleep(trouble === 'slow' ? random.nextBetween(0, maxSlowMs) : 0);
			response.writeHead(status);
			response.end();
		} catch {
			// The call was given up.
		}
	}

	#getTrouble(): typeof troubles[number] | undefined {
		const {clock, random, isDisturbed} = this.#opts;
		const now = clock.monotonic();
		if (isDisturbed && now >= (this.#trouble?.until ?? Number.NEGATIVE_INFINITY)) {
			const from = now + random.nextExponential(meanCalmMs);
			this.#trouble = {kind: random.select(troubles), from, until: from + random.nextBetween(minTroubleMs, maxTroubleMs)};
		}

		return this.#trouble && now >= this.#trouble.from ? this.#trouble.kind : undefined;
	}
}
