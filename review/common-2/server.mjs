/* eslint-disable no-await-in-loop, no-promise-executor-return -- Scripts that run step by step, outside the product. */
/** A server of the platform that this process plays: it reports, answers its health probe, and lets the case answer requests. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {call} from './fleet.mjs';

export class Server {
	id;
	port = 0;
	/** Ids of the requests that it began to run. */
	ran = [];
	#host;
	#service;
	#fleet;
	#http;
	#sequence = 0;
	#timer;

	/** `answer`: called with the request, its body and the response. */
	constructor(fleet, {id, host, service, answer}) {
		this.id = id;
		this.#host = host;
		this.#service = service;
		this.#fleet = fleet;
		this.#http = createServer((request, response) => {
			const chunks = [];
			request.on('data', chunk => chunks.push(chunk));
			request.on('end', () => {
				if (request.url === '/healthz') {
					response.writeHead(200, {'x-instance-id': id, 'content-length': 0}).end();
				} else if (request.headers['x-expect-instance'] !== undefined && request.headers['x-expect-instance'] !== id) {
					response.writeHead(421, {'x-instance-id': id, 'x-not-executed': 1, 'content-length': 0}).end();
				} else {
					this.ran.push(request.headers['x-request-id']);
					answer(request, Buffer.concat(chunks), response);
				}
			});
		});
	}

	async start() {
		this.born = Date.now();
		await new Promise(resolve => this.#http.listen(0, this.#host, resolve));
		this.port = this.#http.address().port;
		this.#timer = setInterval(() => this.report(), 1200);
	}

	/** Sends a status report to the first machine that takes it. Resolves with whether one did. */
	async report(state = 'ready') {
		const body = JSON.stringify({
			service: this.#service, address: `${this.#host}:${this.port}`, zone: 'zone-a', version: 'v1', slots: 6, state, 'cold-left-ms': 0, seq: ++this.#sequence, born: this.born,
		});
		for (const name of this.#fleet.running) {
			const {status} = await call(this.#fleet.address(name, 'control'), {method: 'POST', target: `/api/Instances.Heartbeat/${this.id}`, body});
			if (status === 200) {
				return true;
			}
		}

		return false;
	}

	stop() {
		clearInterval(this.#timer);
		this.#http.close();
		this.#http.closeAllConnections();
	}
}
