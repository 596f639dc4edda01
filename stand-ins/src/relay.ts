/**
 * A TCP relay that tests put before a listener. A rule by the address of the caller decides what passes, so that any pair
 * of processes can be cut, in one direction or both; open connections can fall silent for good while new ones work; and
 * bytes can be held or delayed.
 */
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import type {Buffer} from 'node:buffer';

/** What happens to bytes of one direction: they pass, they vanish, or they wait until the rule changes. */
export type RelayAction = 'pass' | 'drop' | 'hold';

export type RelayRule = {
	/** From the caller to the listener. */
	forward: RelayAction;
	/** From the listener to the caller. */
	back: RelayAction;
	delayMs: number;
};

export const passThroughRule: RelayRule = {forward: 'pass', back: 'pass', delayMs: 0};

type Pair = {
	source: string;
	near: Socket;
	far: Socket;
	isSilenced: boolean;
	held: Array<() => void>;
};

export class Relay {
	readonly #target: {host: string; port: number};
	readonly #pairs = new Set<Pair>();
	#findRule: (source: string) => RelayRule = () => passThroughRule;
	#server: Server | undefined;

	constructor(target: {host: string; port: number}) {
		this.#target = target;
	}

	get port(): number {
		return (this.#server!.address() as AddressInfo).port;
	}

	async start(address: {host: string; port: number}): Promise<void> {
		const server = createServer(near => {
			this.#accept(near);
		});
		this.#server = server;
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(address.port, address.host, resolve);
		});
	}

	/** Sets the rule by source address, and lets go of what it no longer holds. */
	setRule(findRule: (source: string) => RelayRule): void {
		this.#findRule = findRule;
		this.release();
	}

	/** Delivers what was held, as far as the rules now let it pass. */
	release(): void {
		for (const pair of this.#pairs) {
			for (const deliver of pair.held.splice(0)) {
				deliver();
			}
		}
	}

	/** Silences the open connections for good while new ones work. */
	silenceOpenConnections(): void {
		for (const pair of this.#pairs) {
			pair.isSilenced = true;
		}
	}

	resetConnections(): void {
		for (const {near, far} of this.#pairs) {
			near.resetAndDestroy();
			far.resetAndDestroy();
		}
	}

	async stop(): Promise<void> {
		this.resetConnections();
		await new Promise<void>(resolve => {
			this.#server?.close(() => {
				resolve();
			});
		});
	}

	#accept(near: Socket): void {
		const far = connect(this.#target);
		const pair: Pair = {
			source: near.remoteAddress ?? '', near, far, isSilenced: false, held: [],
		};
		this.#pairs.add(pair);
		near.on('data', chunk => {
			this.#carry(pair, 'forward', chunk);
		});
		far.on('data', chunk => {
			this.#carry(pair, 'back', chunk);
		});
		this.#linkEnds(pair, near, far);
		this.#linkEnds(pair, far, near);
	}

	#carry(pair: Pair, direction: 'forward' | 'back', chunk: Buffer): void {
		const rule = this.#findRule(pair.source);
		if (pair.isSilenced || rule[direction] === 'drop') {
			return;
		}

		const deliver = () => {
			this.#carry(pair, direction, chunk);
		};

		if (rule[direction] === 'hold' || pair.held.length > 0) {
			this.#hold(pair, rule[direction] === 'hold', deliver);
			return;
		}

		const target = direction === 'forward' ? pair.far : pair.near;
		if (rule.delayMs > 0) {
			setTimeout(() => {
				target.write(chunk);
			}, rule.delayMs);
		} else {
			target.write(chunk);
		}
	}

	#hold(pair: Pair, isHeld: boolean, deliver: () => void): void {
		pair.held.push(deliver);
		if (!isHeld) {
			this.release();
		}
	}

	/** Passes a close on, unless the rule hides it from the other end. */
	#linkEnds(pair: Pair, from: Socket, to: Socket): void {
		from.on('error', () => undefined);
		from.on('close', () => {
			const rule = this.#findRule(pair.source);
			const isSeen = !pair.isSilenced && rule.forward === 'pass' && rule.back === 'pass';
			if (isSeen) {
				to.destroy();
			}

			if (from.destroyed && to.destroyed) {
				this.#pairs.delete(pair);
			}
		});
	}
}
