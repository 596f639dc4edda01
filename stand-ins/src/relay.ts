/** A TCP relay that tests put on a link: it can fall silent in one or both ways, reset connections, or refuse new ones. */
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';

export type RelayMode = 'pass' | 'silent' | 'silent-forward' | 'silent-back';

type Pair = {
	near: Socket;
	far: Socket;
	/** Mode of this pair; open connections can be silent while new ones work. */
	mode: RelayMode;
};

export class Relay {
	readonly #target: {host: string; port: number};
	readonly #pairs = new Set<Pair>();
	#server: Server | undefined;
	#mode: RelayMode = 'pass';

	constructor(target: {host: string; port: number}) {
		this.#target = target;
	}

	get port(): number {
		return (this.#server!.address() as AddressInfo).port;
	}

	async start(port = 0): Promise<void> {
		const server = createServer(near => {
			this.#accept(near);
		});
		this.#server = server;
		await new Promise<void>(resolve => {
			server.listen(port, '127.0.0.1', resolve);
		});
	}

	/** Sets the mode of all connections, open and new. */
	setMode(mode: RelayMode): void {
		this.#mode = mode;
		for (const pair of this.#pairs) {
			pair.mode = mode;
		}
	}

	/** Silences the open connections for good while new ones work. */
	silenceOpenConnections(): void {
		for (const pair of this.#pairs) {
			pair.mode = 'silent';
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
		const pair: Pair = {near, far, mode: this.#mode};
		this.#pairs.add(pair);
		near.on('data', chunk => {
			if (pair.mode === 'pass' || pair.mode === 'silent-back') {
				far.write(chunk);
			}
		});
		far.on('data', chunk => {
			if (pair.mode === 'pass' || pair.mode === 'silent-forward') {
				near.write(chunk);
			}
		});
		const close = (other: Socket) => () => {
			if (pair.mode === 'pass') {
				other.destroy();
			}

			if (near.destroyed && far.destroyed) {
				this.#pairs.delete(pair);
			}
		};

		near.on('close', close(far));
		far.on('close', close(near));
		near.on('error', () => undefined);
		far.on('error', () => undefined);
	}
}
