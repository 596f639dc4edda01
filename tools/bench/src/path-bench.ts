/** `path`: compares the latency of direct calls to an engine with calls through entry and agent, and measures the throughput of one entry process. */
import {writeFile} from 'node:fs/promises';
import path from 'node:path';
import {build} from 'hdr-histogram-js';
import {Agent, request} from 'undici';
import type {Clock} from '@hickorytrack/clock';
import {Fleet} from '@hickorytrack/stand-ins/fleet';
import {requestGeneration} from '@hickorytrack/stand-ins/load-generator';
import {roundToThousandths} from './placement-bench.js';
import {readUsage} from './process-usage.js';

const apiKey = 'bench-key';
const latencyRequestsPerSecond = 200;
const latencyDurationMs = 8000;
const throughputDurationMs = 8000;
const openStreamCount = 500;
const contract = `workspace: bench
apiKeys: [{id: bench, key: ${apiKey}}]
models: [drafting]
limits: {requestsPerSecond: 100000, burst: 100000, concurrency: 100000, bodyBytes: 1000000, queueMs: 60000}
targets: {firstTokenMs: 60000, betweenTokensMs: 1000}
`;

const sleep = async (ms: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, ms);
});

/** Sends requests at a fixed rate and returns a histogram of the first-token latencies in microseconds. */
async function measureLatency(getUrl: (index: number) => string, {clock}: {clock: Clock}): Promise<ReturnType<typeof build>> {
	const histogram = build();
	const pendingRequests: Array<Promise<void>> = [];
	const startedAt = performance.now();
	for (let index = 0; performance.now() - startedAt < latencyDurationMs; index++) {
		const send = async () => {
			const record = await requestGeneration({
				clock, url: getUrl(index), key: apiKey, model: 'drafting', prompt: `question ${index}`, maxTokens: 8,
			});
			if (record.outcome !== 'answered') {
				throw new Error(`path bench: request ended with outcome ${record.outcome}: ${JSON.stringify(record.refusal)} ${record.detail}`);
			}

			histogram.recordValue(Math.round(record.firstTokenMs! * 1000));
		};

		pendingRequests.push(send());
		await sleep(Math.max(0, ((index + 1) * 1000 / latencyRequestsPerSecond) - (performance.now() - startedAt)));
	}

	await Promise.all(pendingRequests);
	return histogram;
}

/** Reads one streamed answer to its end without decoding it, and returns the number of pieces that were requested, or 0 if the answer is empty. */
async function drainStream(url: string, dispatcher: Agent, maxTokens: number): Promise<number> {
	const response = await request(`${url}/v1/completions`, {
		method: 'POST', dispatcher, headers: {authorization: `Bearer ${apiKey}`, 'content-type': 'application/json'},
		body: JSON.stringify({
			model: 'drafting', prompt: `stream ${Math.round(performance.now() * 1000)}`, max_tokens: maxTokens, stream: true,
		}),
	});
	let bytes = 0;
	for await (const chunk of response.body) {
		bytes += (chunk as Uint8Array).length;
	}

	if (response.statusCode !== 200) {
		throw new Error(`path bench: the entry returned HTTP status ${response.statusCode}, expected 200`);
	}

	return bytes > 0 ? maxTokens : 0;
}

async function measureThroughput(url: string, opts: {concurrency: number; maxTokens: number; pid: number}): Promise<{piecesPerSecond: number; requestsPerSecond: number; cpuSeconds: number; requests: number; pieces: number}> {
	const dispatcher = new Agent({connections: opts.concurrency, bodyTimeout: 0, headersTimeout: 0});
	const startedAt = performance.now();
	const before = await readUsage(opts.pid);
	let pieces = 0;
	let requests = 0;
	await Promise.all(Array.from({length: opts.concurrency}, async () => {
		while (performance.now() - startedAt < throughputDurationMs) {
			const pieceCount = await drainStream(url, dispatcher, opts.maxTokens);
			pieces += pieceCount;
			requests++;
		}
	}));
	const seconds = (performance.now() - startedAt) / 1000;
	const after = await readUsage(opts.pid);
	await dispatcher.destroy();
	return {
		piecesPerSecond: pieces / seconds, requestsPerSecond: requests / seconds, cpuSeconds: after.cpuSeconds - before.cpuSeconds, requests, pieces,
	};
}

async function measureOpenStreams(url: string, pid: number): Promise<number> {
	const abortController = new AbortController();
	const before = await readUsage(pid);
	const dispatcher = new Agent({connections: openStreamCount, bodyTimeout: 0, headersTimeout: 0});
	const streams = Array.from({length: openStreamCount}, async (_, index) => {
		try {
			const response = await request(`${url}/v1/completions`, {
				method: 'POST', dispatcher, signal: abortController.signal, headers: {authorization: `Bearer ${apiKey}`},
				body: JSON.stringify({
					model: 'drafting', prompt: `STALL-ENGINE ${index}`, max_tokens: 100, stream: true,
				}),
			});
			await response.body.dump();
		} catch {
			// The bench aborts the streams after the measurement.
		}
	});
	await sleep(4000);
	const after = await readUsage(pid);
	abortController.abort();
	await Promise.all(streams);
	await dispatcher.destroy();
	return (after.residentBytes - before.residentBytes) / openStreamCount;
}

export async function benchPath({clock}: {clock: Clock}): Promise<Record<string, unknown>> {
	const fleet = new Fleet({
		clock, basePort: 21_000, zones: ['a'], engines: 4, services: [], daemonFlags: ['--log-level', 'warn'],
		engineOptions: {
			models: ['drafting'], stepMs: 2, speed: {
				prefillTokensPerSecond: 1_000_000, decodeTokensPerSecond: 400_000, sequenceTokensPerSecond: 1000, capacity: 1000,
			},
		},
	});
	try {
		await fleet.start();
		const file = path.join(fleet.folder, 'bench.yaml');
		await writeFile(file, contract);
		const applied = await fleet.runCli('contract', 'apply', '-f', file, '--wait-seconds', '10');
		if (applied.code !== 0) {
			throw new Error(applied.output);
		}

		const entry = fleet.instances[0]!;
		const pid = entry.child.pid!;
		await measureLatency(() => entry.callerUrl, {clock});
		const direct = await measureLatency(index => fleet.agents[index % fleet.agents.length]!.engineUrl, {clock});
		const viaEntry = await measureLatency(() => entry.callerUrl, {clock});
		const streams = await measureThroughput(entry.callerUrl, {concurrency: 120, maxTokens: 400, pid});
		const requests = await measureThroughput(entry.callerUrl, {concurrency: 48, maxTokens: 1, pid});
		const bytesPerOpenStream = await measureOpenStreams(entry.callerUrl, pid);
		const usage = await readUsage(pid);
		const getMs = (histogram: ReturnType<typeof build>, percentile: number) => histogram.getValueAtPercentile(percentile) / 1000;
		return {
			addedFirstTokenP50Ms: roundToThousandths(getMs(viaEntry, 50) - getMs(direct, 50)),
			addedFirstTokenP99Ms: roundToThousandths(getMs(viaEntry, 99) - getMs(direct, 99)),
			directP99Ms: getMs(direct, 99),
			piecesPerSecondPerEntry: Math.round(streams.piecesPerSecond),
			entryCpuMicrosecondsPerPiece: roundToThousandths(streams.cpuSeconds / streams.pieces * 1e6),
			entryCoresAtThatRate: roundToThousandths(streams.cpuSeconds / throughputDurationMs * 1000),
			requestsPerSecondPerEntry: Math.round(requests.requestsPerSecond),
			entryCpuMicrosecondsPerRequest: Math.round(requests.cpuSeconds / requests.requests * 1e6),
			bytesPerOpenStream: Math.round(bytesPerOpenStream),
			entryResidentMegabytes: Math.round(usage.residentBytes / 1e6),
		};
	} finally {
		await fleet.stop();
	}
}
