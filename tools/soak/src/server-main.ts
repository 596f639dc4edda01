/** Runs a server of the soak as a process: `server-main JSON`. It reports itself to the edges and appends its records to a file. */
import {createWriteStream} from 'node:fs';
import process from 'node:process';
import {request} from 'undici';
import {SystemClock} from '@hickorytrack/clock/system-clock';
import {Random} from '@hickorytrack/random';
import {watchLoop} from './loop-lag.js';
import type {ServerRecord, StartRecord} from './records.js';
import type {Stage} from './server-operations.js';
import {SoakServer} from './soak-server.js';
import {createSpreadRandom} from './spread-random.js';

export type ServerProcessOptions = {
	id: string;
	service: string;
	version: string;
	stage?: Stage;
	listen: {host: string; port: number};
	address: string;
	faults: string[];
	seed: number;
	recordPath: string;
	/** Control addresses of the edges. */
	controls: string[];
	reportIntervalMs: number;
};

const reportTimeoutMs = 1000;
const crashExitCode = 9;

const opts = JSON.parse(process.argv[2]!) as ServerProcessOptions;
const clock = new SystemClock();
const startedAt = clock.now();
const random = new Random(opts.seed);
const records = createWriteStream(opts.recordPath, {flags: 'a'});

/** Exits once the records are written. */
const exit = (code: number) => {
	records.end(() => {
		process.exit(code); // eslint-disable-line unicorn/no-process-exit
	});
};

const stopping = new AbortController();
const append = (record: ServerRecord) => {
	if (!stopping.signal.aborted) {
		records.write(`${JSON.stringify(record)}\n`);
	}
};

const server = new SoakServer({
	...opts, startedAt, clock, random, limitRandom: new Random(opts.seed + 1), slowRandom: new Random(opts.seed + 2), statusRandom: createSpreadRandom(opts.seed), faults: new Set(opts.faults), record: append, crash() {
		stopping.abort();
		exit(crashExitCode);
	},
});

async function sendReport(sequence: number, control: string): Promise<boolean> {
	try {
		const {statusCode, body} = await request(`http://${control}/api/Instances.Heartbeat/${opts.id}`, {
			method: 'POST', headers: {'content-type': 'application/json'}, body: JSON.stringify(server.describe(sequence)), headersTimeout: reportTimeoutMs, bodyTimeout: reportTimeoutMs,
		});
		await body.dump();
		return statusCode === 200;
	} catch {
		return false;
	}
}

await server.start();
records.write(`${JSON.stringify({
	type: 'start', at: clock.now(), server: opts.id, startedAt, service: opts.service, version: opts.version, isGenerating: opts.stage === 'decode',
} satisfies StartRecord)}\n`);
process.on('SIGTERM', () => {
	server.close();
	stopping.abort();
	exit(0);
});
void watchLoop({
	clock, server: opts.id, signal: stopping.signal, record: append,
});
for (let sequence = 1, target = random.nextInteger(opts.controls.length); !stopping.signal.aborted; sequence++) {
	const isAcknowledged = await sendReport(sequence, opts.controls[target % opts.controls.length]!);
	target += isAcknowledged ? 0 : 1;
	await clock.sleep(isAcknowledged ? opts.reportIntervalMs : opts.reportIntervalMs / 10);
}
