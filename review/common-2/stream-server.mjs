/* eslint-disable no-await-in-loop, no-promise-executor-return -- Scripts that run step by step, outside the product. */
/** A model server of the platform that this process plays: it streams events, goes on behind `Last-Event-Id`, and may start again under its id. */
import {createServer} from 'node:http';
import {call} from './fleet.mjs';

export class StreamServer {
	id;
	version;
	/** One entry for each request that it began to run. */
	runs = [];
	/** Time for which a report is on its way, in milliseconds. */
	reportDelayMs = 0;
	#host;
	#port = 0;
	#service;
	#fleet;
	#http;
	#sequence = 0;
	#timer;
	#events;
	#eventMs;

	constructor(fleet, {id, host, service, version, events, eventMs}) {
		this.id = id;
		this.#host = host;
		this.#service = service;
		this.#fleet = fleet;
		this.version = version;
		this.#events = events;
		this.#eventMs = eventMs;
	}

	/** Starts at the address of the start before, if there was one. */
	async start() {
		this.born = Date.now();
		this.#sequence = 0;
		this.#http = createServer((request, response) => {
			request.resume();
			request.on('end', () => this.#handle(request, response));
		});
		await new Promise((resolve, reject) => {
			this.#http.once('error', reject);
			this.#http.listen(this.#port, this.#host, resolve);
		});
		this.#port = this.#http.address().port;
		this.#timer = setInterval(() => this.report(), 1200);
		await this.report();
	}

	/** Ends as by a crash: all channels are reset, and nothing is reported. */
	async stop() {
		clearInterval(this.#timer);
		const closed = new Promise(resolve => this.#http.close(resolve));
		this.#http.closeAllConnections();
		await closed;
	}

	/** Sends a status report, which arrives after the delay, to the first machine that takes it. */
	async report() {
		const body = JSON.stringify({
			service: this.#service, address: `${this.#host}:${this.#port}`, zone: 'zone-a', version: this.version, slots: 64, state: 'ready', 'cold-left-ms': 0, stage: 'decode', models: [{name: 'm', version: 1, adapters: []}], seq: ++this.#sequence, born: this.born,
		});
		await new Promise(resolve => {
			setTimeout(resolve, this.reportDelayMs);
		});
		for (const name of this.#fleet.running) {
			const {status} = await call(this.#fleet.address(name, 'control'), {method: 'POST', target: `/api/Instances.Heartbeat/${this.id}`, body});
			if (status === 200) {
				return true;
			}
		}

		return false;
	}

	#handle(request, response) {
		if (request.headers['x-expect-instance'] !== undefined && request.headers['x-expect-instance'] !== this.id) {
			response.writeHead(421, {'x-instance-id': this.id, 'x-not-executed': 1, 'content-length': 0}).end();
		} else if (request.url === '/healthz') {
			response.writeHead(200, {'x-instance-id': this.id, 'content-length': 0}).end();
		} else if (request.url === '/api/report') {
			const body = JSON.stringify({
				stage: 'decode', models: [{name: 'm', version: 1, adapters: []}], busy: false, seq: 0, 'waiting-reqs': 0, 'running-reqs': 0, 'kv-used': 0, 'kv-total': 370_000, 'kv-handles': 0, born: this.born,
			});
			response.writeHead(200, {'content-type': 'application/json', 'content-length': body.length}).end(body);
		} else if (request.method === 'DELETE') {
			response.writeHead(200, {'content-length': 0}).end();
		} else if (request.headers['x-kv-source'] === undefined) {
			this.#stream(request, response);
		} else {
			response.writeHead(503, {'x-not-executed': 1, 'x-request-id': request.headers['x-request-id'], 'content-length': 0}).end();
		}
	}

	#stream(request, response) {
		const requestId = request.headers['x-request-id'];
		const {version} = this;
		let event = Number(request.headers['last-event-id'] ?? 0);
		this.runs.push({requestId, from: event + 1, version});
		response.writeHead(200, {
			'content-type': 'text/event-stream', 'x-request-id': requestId, 'x-response-stamp': `3e1b.07.5a2.600.${event}.c9f2a4d1`, 'x-weight-versions': '1',
		});
		const timer = setInterval(() => {
			event++;
			if (event <= this.#events) {
				response.write(`id: ${event}\ndata: ${this.id} ${version} ${event}\n\n`);
			}

			if (event >= this.#events) {
				clearInterval(timer);
				response.end();
			}
		}, this.#eventMs);
		response.once('close', () => clearInterval(timer));
	}
}
