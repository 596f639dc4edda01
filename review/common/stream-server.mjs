/* eslint-disable no-await-in-loop, no-void, unicorn/prefer-switch -- Scripts that run step by step, outside the product. */
/**
 * A sound model server, as a process of its own: it reports to the system, runs prefill and decode as separate stages, carries
 * out orders, streams events and goes on behind `Last-Event-Id`. From time to time it falls silent: it goes on with its work,
 * holds everything that it would send, and sends it when the silence is over.
 *
 * Arguments: a JSON object with id, ip, port, service, zone, controls, stage, events, eventMs, reportMs, hush
 * ({everyMs, minMs, maxMs}; without it, the server is never silent) isUnframed (its streams have neither a length nor
 * chunks and end with their channel) and crashingPart (a part of prompts: it crashes when it begins to write an answer to one). Prints what it runs and when it is silent.
 */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import http from 'node:http';
import process from 'node:process';
import {call, sleep} from './fleet.mjs';

const heartbeatMs = 1200;
const switchMs = 3000;
/** A short prompt is prefilled within a few milliseconds. */
const defaultFirstEventMs = 5;

export function createEvent(requestId, number) {
	return `id: ${number}\ndata: ${requestId}-${number}\n\n`;
}

function main() {
	const settings = JSON.parse(process.argv[2]);
	const {id, ip, port, service, zone, controls, events, eventMs, reportMs, hush, isUnframed, firstEventMs = defaultFirstEventMs, crashingPart} = settings;
	const born = Date.now();
	const say = text => process.stdout.write(`${id} ${text}\n`);
	let {stage} = settings;
	let orders = 0;
	let fence = -1;
	let isSwitching = false;
	let sequence = 0;
	let running = 0;
	let held;

	/** Sends now, or when the silence is over. */
	const send = action => {
		if (held) {
			held.push(action);
		} else {
			action();
		}
	};

	const answer = (response, status, body, headers = {}) => {
		const text = body === undefined ? '' : JSON.stringify(body);
		send(() => {
			response.writeHead(status, {...headers, 'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
			response.end(text);
		});
	};

	const describe = () => ({
		stage, models: [{name: 'm', version: 1, adapters: []}], busy: isSwitching, seq: orders, 'waiting-reqs': 0, 'running-reqs': running, 'kv-used': 0, 'kv-total': 370_000, 'kv-handles': 0, born, state: 'ready', runs: [],
	});

	const takeOrder = (response, order) => {
		if (order.fence < fence) {
			answer(response, 412);
		} else if (order.stage === stage && !isSwitching) {
			answer(response, 200);
		} else if (isSwitching || (order.precondition !== undefined && order.precondition !== orders)) {
			answer(response, 409);
		} else {
			({fence} = order);
			orders++;
			isSwitching = true;
			say(`takes the order to ${order.stage}`);
			setTimeout(() => {
				({stage} = order);
				isSwitching = false;
			}, switchMs);
			answer(response, 202);
		}
	};

	const stream = (request, response, requestId) => {
		let number = Number(request.headers['last-event-id'] ?? 0);
		let isClosed = false;
		running++;
		say(`runs ${requestId} from event ${number + 1}`);
		if (crashingPart !== undefined && request.headers['x-prompt-prefix']?.includes(`${crashingPart}:`)) {
			process.stdout.write(`${id} crashes under ${requestId}\n`, () => process.kill(process.pid, 'SIGKILL'));
			return;
		}

		response.once('close', () => {
			running--;
			if (!isClosed && number < events) {
				say(`drops ${requestId} after event ${number}`);
			}

			isClosed = true;
		});
		send(() => {
			const headers = {
				'content-type': 'text/event-stream', 'x-request-id': requestId, 'x-response-stamp': `stamp-${requestId}`, 'x-weight-versions': '1',
			};
			if (isUnframed) {
				response.removeHeader('transfer-encoding');
				headers.connection = 'close';
			}

			response.writeHead(200, headers);
		});
		const step = () => {
			if (isClosed) {
				return;
			}

			number++;
			const text = createEvent(requestId, number);
			send(() => response.write(text));
			if (number < events) {
				setTimeout(step, eventMs);
			} else {
				isClosed = true;
				send(() => response.end());
			}
		};

		setTimeout(step, firstEventMs);
	};

	const handle = (request, response, body) => {
		const requestId = request.headers['x-request-id'];
		const expected = request.headers['x-expect-instance'];
		if (expected !== undefined && expected !== id) {
			answer(response, 421, undefined, {'x-not-executed': '1', ...(requestId && {'x-request-id': requestId})});
		} else if (request.url === '/healthz') {
			answer(response, 200, undefined, {'x-instance-id': id});
		} else if (request.url === '/api/report') {
			setTimeout(() => answer(response, 200, describe()), reportMs);
		} else if (request.url === '/api/order') {
			takeOrder(response, JSON.parse(body));
		} else if (request.url.startsWith('/api/')) {
			answer(response, 200, {});
		} else if (isSwitching) {
			answer(response, 503, undefined, {'x-not-executed': '1', 'x-request-id': requestId});
		} else if ((request.headers['x-stage'] === 'prefill') !== (stage === 'prefill')) {
			answer(response, 421, undefined, {'x-not-executed': '1', 'x-request-id': requestId});
		} else if (stage === 'prefill') {
			answer(response, 200, {'kv-handle': randomBytes(6).toString('hex'), tokens: 220, version: 1}, {'x-request-id': requestId});
		} else {
			stream(request, response, requestId);
		}
	};

	const server = http.createServer({keepAliveTimeout: 15_000}, (request, response) => {
		const chunks = [];
		request.on('data', chunk => chunks.push(chunk));
		request.on('end', () => handle(request, response, Buffer.concat(chunks).toString()));
	});

	const beat = async () => {
		sequence++;
		const body = {
			service, address: `${ip}:${port}`, zone, version: 'v1', slots: 64, state: 'ready', 'cold-left-ms': 0, stage, models: [{name: 'm', version: 1, adapters: []}], born, seq: sequence,
		};
		for (let tries = 0; tries < controls.length; tries++) {
			const {status} = await call(`${controls[(sequence + tries) % controls.length]}/api/Instances.Heartbeat/${id}`, {method: 'POST', body});
			if (status === 200) {
				return;
			}
		}
	};

	const runSilences = async () => {
		await sleep(Math.random() * hush.everyMs);
		for (;;) {
			const silentMs = hush.minMs + (Math.random() * (hush.maxMs - hush.minMs));
			held = [];
			say(`falls silent for ${Math.round(silentMs)} ms`);
			await sleep(silentMs);
			const actions = held;
			held = undefined;
			for (const action of actions) {
				action();
			}

			await sleep(hush.everyMs);
		}
	};

	server.listen({host: ip, port}, () => {
		void beat();
		setInterval(() => void beat(), heartbeatMs);
		if (hush) {
			void runSilences();
		}
	});
}

if (process.argv[2]?.startsWith('{')) {
	main();
}
