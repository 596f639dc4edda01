/** Servers and callers of `npm run bench -- edge-cost` as a process of their own, so that their work is not measured. */
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {SystemClock} from '@hickorytrack/clock/system-clock';
import {Random} from '@hickorytrack/random';
import {PlatformServer} from '@hickorytrack/stand-ins/platform-server';
import {Agent, request} from 'undici';
import {costHost, type EdgeCostCommand, type EdgeCostCounts} from './edge-cost-names.js';

const reportIntervalMs = 1200;
const prefillServers = 12;
const decodeServers = 9;
const plainServers = 9;
/** So long that a prompt counts as long, which is handed over. */
const prefillMsPerToken = {prefill: 0.008, decode: 0.02};
const events = 2;
const streamFraction = 0.75;
const subjects = 40;
const sharedTokens = [4200, 2100];
/** They differ, so that the edges learn how long one more token takes. */
const ownTokens = {min: 1500, max: 4280};
const streamBody = Buffer.alloc(9200, 'x');
const plainBody = Buffer.alloc(600, 'x');
const deadlineMs = 15_000;
/** The records of the stand-ins are dropped at this interval; otherwise they would fill the memory. */
const discardIntervalMs = 1000;

const clock = new SystemClock();
const agent = new Agent({pipelining: 1});
const counts: EdgeCostCounts = {};
const servers: PlatformServer[] = [];
/** Calls to servers: prefills, generations from a KV cache, and requests that one server carries out alone. */
const calls = {prefill: 0, decode: 0, whole: 0};
let random = new Random(1);
let requests = 0;
let loadController = new AbortController();

async function startServers(controls: readonly string[], seed: number): Promise<void> {
	random = new Random(seed);
	for (let index = 0; index < prefillServers + decodeServers + plainServers; index++) {
		const modelStage = index < prefillServers ? 'prefill' : 'decode';
		const server = new PlatformServer({
			id: `s${index}`, clock, startedAt: 1, stage: index < prefillServers + decodeServers ? modelStage : undefined, prefillMsPerToken: prefillMsPerToken[modelStage], hasPrefixCache: true, events,
		});
		await server.start();
		servers.push(server);
		void sendReports(server, controls);
	}

	setInterval(() => {
		for (const server of servers) {
			for (const {headers} of server.receivedRequests) {
				const kind = headers['x-stage'] === 'prefill' ? 'prefill' : (headers['x-kv-source'] === undefined ? 'whole' : 'decode');
				calls[kind]++;
			}

			server.receivedRequests.length = 0;
			server.workPeriods.length = 0;
			server.callTimes.length = 0;
			server.handles.clear();
		}
	}, discardIntervalMs);
}

async function sendReports(server: PlatformServer, controls: readonly string[]): Promise<void> {
	for (let sequence = 1; ; sequence++) {
		const report = {...server.describe(server.describe('').stage === undefined ? 'plain' : 'model', 'ready', sequence), slots: 16};
		try {
			const response = await request(`http://${random.select(controls)}/api/Instances.Heartbeat/${server.id}`, {method: 'POST', body: JSON.stringify(report), dispatcher: agent});
			await response.body.dump();
		} catch {
			// The edge does not listen yet.
		}

		await clock.sleep(reportIntervalMs);
	}
}

/** Poisson arrivals at one edge. */
async function sendRequests(front: string, perSecond: number, signal: AbortSignal): Promise<void> {
	let nextAt = clock.monotonic();
	while (!signal.aborted) {
		nextAt += random.nextExponential(1000 / perSecond);
		await clock.sleep(nextAt - clock.monotonic());
		if (!signal.aborted) {
			void sendRequest(front);
		}
	}
}

async function sendRequest(front: string): Promise<void> {
	const isStream = random.next() < streamFraction;
	const number = ++requests;
	const subject = random.nextInteger(subjects);
	const headers = {
		host: costHost, 'x-request-id': `r${number}`, 'x-deadline-ms': String(deadlineMs), 'content-type': 'application/json',
	};
	const own = Math.round(random.nextBetween(ownTokens.min, ownTokens.max));
	const promptHeaders = {'x-prompt-prefix': `system:${sharedTokens[0]},subject-${subject}:${sharedTokens[1]},own-${number}:${own}`, 'x-token-counts': `${sharedTokens[0]! + sharedTokens[1]! + own},${events}`};
	let status = 0;
	try {
		const response = await request(`http://${front}/${isStream ? 'dossier' : (number % 2 === 0 ? 'status' : 'payout')}/x`, {
			method: 'POST', headers: isStream ? {...headers, ...promptHeaders} : headers, body: isStream ? streamBody : plainBody, dispatcher: agent, headersTimeout: deadlineMs, bodyTimeout: deadlineMs,
		});
		await response.body.dump();
		status = response.statusCode;
	} catch {
		// Counted as no answer.
	}

	counts[front] ??= {};
	counts[front][status] = (counts[front][status] ?? 0) + 1;
}

async function runCommand(command: EdgeCostCommand): Promise<EdgeCostCounts> {
	if (command.kind === 'serve') {
		await startServers(command.controls, command.seed);
	} else if (command.kind === 'load') {
		loadController.abort();
		loadController = new AbortController();
		for (const front of command.perSecond > 0 ? command.fronts : []) {
			void sendRequests(front, command.perSecond, loadController.signal);
		}
	}

	return {...counts, calls: {...calls}};
}

process.on('message', (command: EdgeCostCommand) => {
	void runCommand(command).then(result => {
		process.send!(result);
	});
});
process.on('disconnect', () => {
	process.exit(0);
});
