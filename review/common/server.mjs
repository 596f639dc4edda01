/* eslint-disable no-void, max-nested-callbacks -- Scripts that run step by step, outside the product. */
/**
 * A sound server of an application service, as a process of its own: it reports to the system, checks that it is the instance
 * that a request expects, works for a while and sends its answer in two parts. It answers with neither a length nor chunks if
 * told so; such an answer ends with its channel.
 *
 * Arguments: a JSON object with id, ip, port, service, zone, controls, workMs, partMs, isUnframed. Prints what it runs.
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import http from 'node:http';
import process from 'node:process';
import {call} from './fleet.mjs';

const heartbeatMs = 1200;
const ackMs = 1000;

/** The whole body of the answer to a request: 4,800 bytes, the largest answer of the site's application service. */
export function createBody(requestId) {
	const digest = createHash('sha256').update(requestId).digest('hex');
	return Buffer.from(digest.repeat(75));
}

export function createStamp(requestId) {
	return createHash('sha1').update(createBody(requestId)).digest('hex');
}

async function report(settings, sequence, tries = 0) {
	const {id, ip, port, service, zone, controls, born} = settings;
	const control = controls[(sequence + tries) % controls.length];
	const {status} = await call(`${control}/api/Instances.Heartbeat/${id}`, {
		method: 'POST', timeoutMs: ackMs, body: {
			service, address: `${ip}:${port}`, zone, version: 'v1', slots: 16, state: 'ready', 'cold-left-ms': 0, born, seq: sequence,
		},
	});
	if (status !== 200 && tries < controls.length) {
		await report(settings, sequence, tries + 1);
	}
}

function main() {
	const settings = {...JSON.parse(process.argv[2]), born: Date.now()};
	const {id, ip, port, workMs, partMs, isUnframed} = settings;
	const server = http.createServer({keepAliveTimeout: 15_000}, (request, response) => {
		const requestId = request.headers['x-request-id'];
		request.resume();
		request.on('end', () => {
			if (request.url === '/healthz') {
				response.writeHead(200, {'x-instance-id': id, 'content-length': 0});
				response.end();
				return;
			}

			if (request.headers['x-expect-instance'] !== undefined && request.headers['x-expect-instance'] !== id) {
				response.writeHead(421, {'x-request-id': requestId, 'x-not-executed': '1', 'content-length': 0});
				response.end();
				return;
			}

			process.stdout.write(`${id} runs ${requestId}\n`);
			setTimeout(() => {
				const body = createBody(requestId);
				const headers = {'content-type': 'application/octet-stream', 'x-request-id': requestId, 'x-response-stamp': createStamp(requestId)};
				if (isUnframed) {
					response.removeHeader('transfer-encoding');
					response.writeHead(200, {...headers, connection: 'close'});
				} else {
					response.writeHead(200, {...headers, 'content-length': body.length});
				}

				const half = body.length / 2;
				response.write(body.subarray(0, half));
				setTimeout(() => {
					response.end(body.subarray(half), () => {
						process.stdout.write(`${id} has sent the whole answer to ${requestId}\n`);
					});
				}, partMs);
			}, workMs);
		});
	});
	server.listen({host: ip, port}, () => {
		let sequence = 0;
		const beat = () => {
			sequence++;
			void report(settings, sequence);
		};

		beat();
		setInterval(beat, heartbeatMs);
	});
}

if (process.argv[2]?.startsWith('{')) {
	main();
}
