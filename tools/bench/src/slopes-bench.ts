/**
 * `slopes`: measures the memory, CPU time or log bytes per additional record, contract, claim, change or connection. Each
 * cost is measured at four sizes and fitted by a line. Writes `slopes.json`, the measurement file of docs/CAPACITY.md.
 */
import {
	mkdtemp, rm, stat, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {ClaimTable} from '@hickorytrack/claims';
import {SystemClock} from '@hickorytrack/clock/system-clock';
import {ControlState} from '@hickorytrack/control-state';
import {ItemStore} from '@hickorytrack/item-store';
import {FileLogStorage} from '@hickorytrack/log-storage/file-log-storage';
import {MemoryLogStorage} from '@hickorytrack/log-storage/memory-log-storage';
import {defaultPeerTiming} from '@hickorytrack/peer-link/peer-connection';
import {PeerNode} from '@hickorytrack/peer-link/peer-node';
import {encodeFrame} from '@hickorytrack/peer-link/frame-codec';
import {Random} from '@hickorytrack/random';
import {ReplicatedLog} from '@hickorytrack/replicated-log';
import {SharedRate} from '@hickorytrack/shared-rate';
import {LimitNews} from '@hickorytrack/shared-rate/limit-news';
import {RateIssuer} from '@hickorytrack/shared-rate/rate-issuer';
import type {Contract} from '@hickorytrack/types/contract';
import type {EndpointRecord} from '@hickorytrack/types/control';

export type Slope = {
	name: string;
	unit: string;
	intercept: number;
	slope: number;
	/** Coefficient of determination. */
	fit: number;
	points: Array<{size: number; value: number}>;
};

const clock = new SystemClock();

function collectGarbage(): void {
	(globalThis as {gc?: () => void}).gc?.();
}

const readHeap = (): number => {
	collectGarbage();
	return process.memoryUsage().heapUsed;
};

function fitLine(name: string, unit: string, points: Array<{size: number; value: number}>): Slope {
	const count = points.length;
	const meanX = points.map(point => point.size).reduce((a, b) => a + b, 0) / count;
	const meanY = points.map(point => point.value).reduce((a, b) => a + b, 0) / count;
	let covariance = 0;
	let varianceX = 0;
	let varianceY = 0;
	for (const {size, value} of points) {
		covariance += (size - meanX) * (value - meanY);
		varianceX += (size - meanX) ** 2;
		varianceY += (value - meanY) ** 2;
	}

	const slope = covariance / varianceX;
	return {
		name, unit, slope, intercept: meanY - (slope * meanX), fit: varianceY === 0 ? 1 : (covariance ** 2) / (varianceX * varianceY), points,
	};
}

async function measureHeap(name: string, sizes: readonly number[], create: (size: number) => Promise<unknown> | unknown): Promise<Slope> {
	const points = [];
	for (const size of sizes) {
		const before = readHeap();
		const retained = await create(size);
		const value = readHeap() - before;
		points.push({size, value});
		// Keeps the objects reachable until the heap is measured.
		if (retained === undefined) {
			throw new Error(name);
		}
	}

	return fitLine(name, 'bytes', points);
}

async function measureCpu(name: string, sizes: readonly number[], run: (size: number) => Promise<void> | void): Promise<Slope> {
	const points = [];
	await run(sizes[0]!);
	for (const size of sizes) {
		const before = process.cpuUsage();
		await run(size);
		const used = process.cpuUsage(before);
		points.push({size, value: used.user + used.system});
	}

	return fitLine(name, 'microseconds of processor time', points);
}

const createContract = (workspace: string): Contract => ({
	workspace, apiKeys: [{id: 'a', sha256: 'f'.repeat(64)}, {id: 'b', sha256: 'e'.repeat(64)}], models: ['m1', 'm2'], services: [{name: 'dispatch', calls: [{method: 'POST', path: '/sheets', repeatable: false}]}],
	priority: 1, share: 1, limits: {
		requestsPerSecond: 10, burst: 10, concurrency: 10, bodyBytes: 1000, queueMs: 1000,
	}, targets: {firstTokenMs: 460, betweenTokensMs: 79}, answerRetentionSeconds: 3600,
});

const createRecord = (index: number): EndpointRecord => ({
	announcement: {
		endpoint: `engine-${index}`, kind: 'model', names: ['model-1'], adapters: [], roles: ['mixed', 'prefill', 'decode'], role: 'mixed', capacity: 32, availabilityZone: 'zone-1', incarnation: `incarnation-${index}`, checksFencing: true,
		speed: {prefillTokensPerSecond: 20_000, decodeTokensPerSecond: 1600}, mixedSpeed: {prefillTokensPerSecond: 20_000, decodeTokensPerSecond: 1600},
	},
	agent: `agent-${index}`, agentIncarnation: `agent-incarnation-${index}`, agentAddress: `10.0.0.1:${index}`, epoch: 1, succeeds: false,
});

const createNode = (instance: string): PeerNode => new PeerNode({
	clock, random: new Random(1), timing: defaultPeerTiming, keys: ['slope-key'], member: {
		instance, roles: [], availabilityZone: 'z', address: '', incarnation: instance,
	},
});

async function measureWithConnections(size: number, measure: (nodes: {listener: PeerNode; caller: PeerNode}) => Promise<number>): Promise<number> {
	const listener = createNode('listener');
	const caller = createNode('caller');
	await listener.listen({host: '127.0.0.1', port: 0});
	listener.handle('control.status', () => ({
		instance: '', term: 1, quorumAgeMs: 0, revision: 1,
	}));
	for (let index = 0; index < size; index++) {
		const result = await caller.connect(listener.member.address);
		result._unsafeUnwrap();
	}

	const value = await measure({listener, caller});
	await Promise.all([listener.stop(), caller.stop()]);
	return value;
}

async function measureLog(sizes: readonly number[]): Promise<Slope[]> {
	const log = new ReplicatedLog({
		id: 'a', initialMembers: [{id: 'a', address: '', voter: true}], storage: new MemoryLogStorage(), clock, random: new Random(1),
		transport: {
			async call() {
				throw new Error('The log has a single member and cannot call a peer');
			},
		},
		stateMachine: {
			apply: () => undefined, createSnapshot: () => [], restoreSnapshot: () => undefined,
		},
	});
	await log.start();
	while (!log.isLeader) {
		await clock.sleep(10);
	}

	const cpu = await measureCpu('log record, proposed and applied', sizes, async size => {
		await Promise.all(Array.from({length: size}, async (_, index) => log.propose({index, text: 'x'.repeat(100)})));
	});
	await log.stop();
	const folder = await mkdtemp(path.join(tmpdir(), 'hickorytrack-slopes-'));
	const storage = new FileLogStorage(folder);
	await storage.open();
	const points = [];
	let nextIndex = 1;
	for (const size of sizes) {
		const before = (await stat(path.join(folder, 'log'))).size; // eslint-disable-line unicorn/no-await-expression-member
		const firstIndex = nextIndex;
		nextIndex += size;
		await storage.append(Array.from({length: size}, (_, index) => ({
			index: firstIndex + index, term: 1, kind: 'command' as const, payload: {kind: 'open-claim', at: 1, request: createClaim(firstIndex + index)},
		})));
		points.push({size, value: (await stat(path.join(folder, 'log'))).size - before}); // eslint-disable-line unicorn/no-await-expression-member
	}

	await storage.close();
	await rm(folder, {recursive: true});
	return [cpu, fitLine('claim in the log', 'bytes', points)];
}

const createClaim = (index: number) => ({
	workspace: 'cuenca', key: `0a1b2c3d-0000-4000-8000-${String(index).padStart(12, '0')}`, bodyDigest: 'd'.repeat(64), endpoint: 'dispatch-1', agentIncarnation: 'a'.repeat(36), attempt: `instance-1.abcdef12.${index}`, owner: 'instance-1', retentionSeconds: 86_400,
});

export async function benchSlopes(folder: URL): Promise<Record<string, unknown>> {
	const slopes: Slope[] = [];
	slopes.push(
		await measureHeap('endpoint record in an item store', [1000, 2000, 4000, 8000], size => {
			const store = new ItemStore();
			for (let index = 0; index < size; index++) {
				store.write(`endpoint/engine-${index}`, {kind: 'endpoint', record: structuredClone(createRecord(index))}, index + 1);
			}

			return store;
		}),
		await measureHeap('contract in an item store', [250, 500, 1000, 2000], size => {
			const store = new ItemStore();
			for (let index = 0; index < size; index++) {
				store.write(`contract/t${index}`, {kind: 'contract', version: 1, contract: structuredClone(createContract(`t${index}`))}, index + 1);
			}

			return store;
		}),
		await measureHeap('claim in the claim table', [1000, 2000, 4000, 8000], size => {
			const table = new ClaimTable();
			for (let index = 0; index < size; index++) {
				table.open(structuredClone(createClaim(index)), 0);
			}

			return table;
		}),
		await measureCpu('claim opened and settled in the state machine', [2000, 4000, 8000, 16_000], size => {
			const state = new ControlState();
			for (let index = 0; index < size; index++) {
				const request = createClaim(index);
				state.apply({kind: 'open-claim', request, at: 1}, (2 * index) + 1);
				state.apply({
					kind: 'settle-claim', settlement: {
						workspace: request.workspace, key: request.key, attempt: request.attempt, state: 'answered', answer: {status: 200, contentType: 'application/json', body: '{}'},
					},
				}, (2 * index) + 2);
			}
		}),
		await measureHeap('limit of a server at one instance', [4000, 8000, 16_000, 32_000], async size => {
			const news = new LimitNews(clock);
			const rate = new SharedRate({
				clock, random: new Random(1), requestGrants: async () => ({granted: 1, delayMs: 0}), countInstances: () => 1,
			});
			const opts = {perSecond: 1, maxWaitMs: 0, signal: new AbortController().signal};
			for (let index = 0; index < size; index++) {
				const server = {id: `server-${index}`, startedAt: 1};
				news.record(server, 1);
				const grant = await rate.acquire(server, opts);
				grant?.recordUse();
			}

			return {news, rate};
		}),
		await measureCpu('grant of an issuer', [100_000, 200_000, 400_000, 800_000], size => {
			const issuer = new RateIssuer(clock);
			for (let index = 0; index < size; index++) {
				issuer.acquire({id: `server-${index % 600}`, startedAt: 1}, {perSecond: 1000, maxDelayMs: 0, count: 1});
			}
		}),
		await measureCpu('configuration change pushed to one subscriber', [1000, 2000, 4000, 8000], size => {
			const value = {kind: 'contract' as const, version: 1, contract: createContract('t')};
			const page = {since: 1, revision: 2, items: [{key: 'contract/t', revision: 2, value}]};
			for (let index = 0; index < size; index++) {
				const filtered = {...page, items: page.items.filter(item => ['contract/', 'setting/', `directive/engine-${index}`].some(topic => item.key.startsWith(topic)))};
				encodeFrame({jsonrpc: '2.0', method: 'control.items', params: {page: filtered}});
			}
		}),
		await measureCpu('request and reply between two processes, both sides', [1000, 2000, 4000, 8000], async size => {
			await measureWithConnections(1, async ({caller}) => {
				const [connection] = caller.connections;
				for (let index = 0; index < size; index++) {
					await connection!.request('control.status', {});
				}

				return 0;
			});
		}),
		await measureCpu('connection opened with its handshake, both sides', [50, 100, 200, 400], async size => {
			await measureWithConnections(size, async () => 0);
		}),
		...await measureLog([1000, 2000, 4000, 8000]),
	);
	const connectionPoints = [];
	for (const size of [50, 100, 200, 400]) {
		const before = readHeap() + process.memoryUsage().external;
		connectionPoints.push({size, value: await measureWithConnections(size, async () => readHeap() + process.memoryUsage().external - before)});
	}

	slopes.push(fitLine('open connection, both sides', 'bytes', connectionPoints));
	await writeFile(new URL('slopes.json', folder), `${JSON.stringify({residentBytesOfEmptyProcess: process.memoryUsage().rss, slopes}, undefined, '\t')}\n`);
	for (const slope of slopes) {
		console.log(`${slope.name}: ${slope.slope.toFixed(1)} ${slope.unit} each, intercept ${slope.intercept.toFixed(0)}, fit ${slope.fit.toFixed(3)}`);
	}

	return Object.fromEntries(slopes.map(slope => [slope.name, Math.round(slope.slope * 10) / 10]));
}
