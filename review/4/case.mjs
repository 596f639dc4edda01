/* eslint-disable no-await-in-loop, no-unmodified-loop-condition, unicorn/no-process-exit -- Scripts that run step by step, outside the product. */
/** A process of the system is killed while it forwards streams that have neither a length nor chunks. */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import net from 'node:net';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {
	Fleet, putConfiguration, Record, sleep, waitForReady,
} from '../common/fleet.mjs';
import {createEvent} from '../common/stream-server.mjs';

const folder = fileURLToPath(new URL('.', import.meta.url));
const hasTrouble = process.env.TROUBLE !== '0';
const names = ['a', 'b', 'c'];
const serverCount = 8;
const clientCount = 36;
const events = 89;
const eventMs = 20;
const deadlineMs = 15_000;
const patienceMs = 2000;
const downMs = 3000;

const route = (name, prefix, isResumable) => ({
	name, host: 'ficu95.example', 'path-prefix': prefix, kind: 'streaming', 'timeout-ms': 15_000, 'slo-ms': 150, priority: 1, service: 'huvo11a', 'max-attempts': 2, sticky: true, resumable: isResumable, 'gap-slo-ms': 200,
});
const configuration = {
	version: 3,
	routes: [route('r-markup', '/pufi791/', true), route('r-classify', '/lohu930/', false)],
	services: [{
		name: 'huvo11a', 'health-path': '/healthz', 'max-conns': 380, protocol: 'h1', tls: false, engine: {
			slots: 64, 'kv-tokens': 370_000, 'kv-token-bytes': 163_840, 'link-mbps': 12_000_000, moves: true, backups: true, stride: 52, most: 12, 'handle-ttl-s': 5, 'switch-s': 3, 'pin-ms': 4000, 'hold-ms': 2000, models: [{name: 'm'}],
		},
	}],
	limits: {
		'max-header-bytes': 16_384, 'max-body-bytes': 4_194_304, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000,
	},
};

const record = new Record(path.join(folder, 'record.txt'));
const fleet = await Fleet.open(record);
const counts = {whole: 0, reset: 0, other: 0};
const broken = [];
let isRunning = true;

function startServer(index) {
	const child = fleet.startStandIn(fileURLToPath(new URL('../common/stream-server.mjs', import.meta.url)), [JSON.stringify({
		id: `i-${index}0`, ip: `${fleet.block}.${100 + index}`, port: 8080, service: 'huvo11a', zone: ['chaguanas-a', 'tunapuna-b', 'arima-c'][index % 3], controls: names.map(name => fleet.controlOf(name)), stage: index < 5 ? 'decode' : 'prefill', events, eventMs, reportMs: 1, isUnframed: true,
	})], `server-${index}.log`);
	child.stdout.on('data', text => {
		for (const line of String(text).trim().split('\n')) {
			record.add(`server ${line}`);
		}
	});
}

/** Sends a stream request on a channel of its own and reads until the channel ends. */
async function send(name, {requestId, prefix, number}) {
	return new Promise(resolve => {
		const chunks = [];
		let end;
		const socket = net.connect(fleet.frontOf(name));
		socket.setTimeout(patienceMs, () => {
			end ??= 'abandoned by the client';
			socket.destroy();
		});
		socket.on('connect', () => {
			socket.write(`POST ${prefix}${number} HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: ${requestId}\r\nX-Model: m\r\nX-Token-Counts: 220,89\r\nX-Prompt-Prefix: 5c1e07a2:79,${requestId}:141\r\nX-Deadline-Ms: ${deadlineMs}\r\nContent-Length: 2\r\n\r\n{}`);
		});
		socket.on('data', chunk => chunks.push(chunk));
		socket.on('end', () => {
			end ??= 'closed in order';
		});
		socket.on('error', error => {
			end ??= error.code;
		});
		socket.on('close', () => resolve({text: Buffer.concat(chunks).toString(), end}));
	});
}

/**
 * ORDER: the stream ends as complete before its last piece. It looks complete if its status is 200, it has neither a length nor
 * chunks, its channel is closed in order and it doesn't end inside an event.
 */
function judge({requestId, prefix, name, text, end}) {
	const headEnd = text.indexOf('\r\n\r\n');
	const head = text.slice(0, headEnd).toLowerCase();
	const body = text.slice(headEnd + 4);
	const received = body.split('\n\n').length - 1;
	record.add(`client: ${requestId} (${prefix}) at ${name}: ${head.split('\r\n', 1)[0]}, ${received} events, ${end ?? 'closed'}`);
	const isUnframed = !/^transfer-encoding:|^content-length:/m.test(head);
	const whole = Array.from({length: events}, (_, index) => createEvent(requestId, index + 1)).join('');
	if (!head.startsWith('http/1.1 200') || !isUnframed) {
		counts.other++;
	} else if (body === whole) {
		counts.whole++;
	} else if (end === 'closed in order' && body.endsWith('\n\n') && whole.startsWith(body)) {
		broken.push(`${requestId} (${prefix === '/pufi791/' ? 'resumable' : 'not resumable'}) at ${name}: ${received} of ${events} events, then closed in order`);
	} else {
		counts.reset++;
	}
}

async function runClient(number) {
	for (let count = number; isRunning; count++) {
		const request = {requestId: randomBytes(8).toString('hex'), prefix: count % 2 === 0 ? '/pufi791/' : '/lohu930/', number};
		const name = names[count % names.length];
		record.add(`client: ${request.requestId} sent to ${name}`);
		const answer = await send(name, request);
		judge({...request, name, ...answer});
		await sleep(answer.text === '' ? 200 : 0);
	}
}

async function run() {
	for (const [index, name] of names.entries()) {
		fleet.define(name, {number: index + 1, zone: ['chaguanas-a', 'tunapuna-b', 'arima-c'][index], bearsLoss: true});
	}

	fleet.setSeeds(names);
	for (const name of names) {
		fleet.start(name, {isFirstStart: true});
	}

	if (!await putConfiguration(fleet, names, configuration, {forMs: 20_000}) || !await waitForReady(fleet, names, 20_000)) {
		record.say('the system did not start');
		return 2;
	}

	for (let index = 0; index < serverCount; index++) {
		startServer(index);
	}

	await sleep(3000);
	const clients = Array.from({length: clientCount}, (_, number) => runClient(number));
	await sleep(6000);
	if (hasTrouble) {
		record.say('the process of b is killed');
		await fleet.kill('b');
		await sleep(downMs);
		fleet.start('b');
	}

	await sleep(6000);
	isRunning = false;
	await Promise.all(clients);
	record.say(`streams: ${counts.whole} whole, ${broken.length} short and closed in order at an event's end, ${counts.reset} broken off otherwise, ${counts.other} others`);
	for (const line of broken) {
		record.say(`BROKEN: ORDER: ${line}`);
	}

	if (counts.whole === 0) {
		return 2;
	}

	record.say(broken.length > 0 ? 'BROKEN' : 'HELD');
	return broken.length > 0 ? 1 : 0;
}

let code = 2;
try {
	code = await run();
} catch (error) {
	record.say(`the case could not run: ${error.stack}`);
} finally {
	isRunning = false;
	await fleet.close();
}

process.exit(code);
