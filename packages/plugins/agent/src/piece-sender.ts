/** Batches the pieces of all attempts on one connection that become ready in the same turn of the event loop. */
import type {PieceSink} from '@hickorytrack/answer-stream/answer-writer';
import type {PeerConnection} from '@hickorytrack/peer-link/peer-connection';
import type {EndpointLoad} from '@hickorytrack/types/endpoint';
import type {PieceRun} from '@hickorytrack/types/work';

export class PieceSender implements PieceSink {
	readonly #connection: PeerConnection;
	readonly #getLoad: () => EndpointLoad;
	#runs: PieceRun[] = [];

	constructor(connection: PeerConnection, getLoad: () => EndpointLoad) {
		this.#connection = connection;
		this.#getLoad = getLoad;
	}

	send(run: PieceRun): void {
		this.#runs.push(run);
		if (this.#runs.length === 1) {
			setImmediate(() => {
				this.#flush();
			});
		}
	}

	#flush(): void {
		const runs = this.#runs;
		this.#runs = [];
		this.#connection.notify('work.pieces', {runs, load: this.#getLoad()});
	}
}
