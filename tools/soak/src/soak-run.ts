/** One run of the soak: starts the processes, lets callers, operator and faults work, stops, and checks the records. */
import {mkdirSync} from 'node:fs';
import {setMaxListeners} from 'node:events';
import {readFile, readdir, writeFile} from 'node:fs/promises';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import type {Clock} from '@hickorytrack/clock';
import {Random} from '@hickorytrack/random';
import {acquireAddressBlock, type AddressBlock} from './address-block.js';
import {Caller} from './caller.js';
import {checkAnswers} from './check-answers.js';
import {checkBudget} from './check-budget.js';
import {checkConfiguration} from './check-configuration.js';
import {EdgeProcess, edgePorts} from './edge-process.js';
import {ManagedProcess} from './managed-process.js';
import {Operator} from './operator.js';
import type {
	ArrivalRecord, CallerRecord, FateRecord, RuleCase, ServerRecord, SoakRecords, SoakRoute,
} from './records.js';
import type {ServerProcessOptions} from './server-main.js';

export type SoakOptions = {
	clock: Clock;
	seed: number;
	seconds: number;
	edges: number;
	servers: number;
	callers: number;
	faults: readonly string[];
	/** Receives settings, logs and records. */
	folder: string;
};

export type SoakResult = {
	cases: RuleCase[];
	summary: Record<string, number>;
};

const host = 'soak.example';
const routes: readonly SoakRoute[] = [
	{
		name: 'once', kind: 'non_idempotent', service: 'plain', isResumable: false, maxServers: 2,
	},
	{
		name: 'again', kind: 'idempotent', service: 'plain', isResumable: false, maxServers: 3,
	},
	{
		name: 'tell', kind: 'streaming', service: 'model', isResumable: false, maxServers: 2,
	},
	{
		name: 'talk', kind: 'streaming', service: 'model', isResumable: true, maxServers: 3,
	},
];
const bounds = {ratio: 0.1, slack: 30, windowMs: 10_000};
const reportIntervalMs = 500;
const coreMembers = 3;
const firstEdgeHost = 10;
const firstServerHost = 100;
const serverPort = 8080;
const plainFraction = 0.4;
const prefillFraction = 0.4;
const maxRestartMs = 1500;
const settleMs = 4000;
const seedRange = 2 ** 31;
const serverMainPath = fileURLToPath(new URL('server-main.js', import.meta.url));

export class SoakRun {
	readonly #opts: SoakOptions;
	readonly #random: Random;
	readonly #edges: EdgeProcess[] = [];
	readonly #servers: ManagedProcess[] = [];
	readonly #callers: CallerRecord[] = [];
	readonly #abortController = new AbortController();

	constructor(opts: SoakOptions) {
		this.#opts = opts;
		this.#random = new Random(opts.seed);
	}

	async run(): Promise<SoakResult> {
		mkdirSync(this.#opts.folder, {recursive: true});
		const block = await acquireAddressBlock(this.#createRandom());
		try {
			this.#createEdges(block);
			this.#createServers(block);
			return await this.#runProcesses();
		} finally {
			await Promise.all([...this.#edges, ...this.#servers].map(async member => member.kill()));
			block.release();
		}
	}

	async #runProcesses(): Promise<SoakResult> {
		const {clock, seconds} = this.#opts;
		const {signal} = this.#abortController;
		setMaxListeners(0, signal);
		await Promise.all([...this.#edges, ...this.#servers].map(async member => member.start()));
		const operator = new Operator({
			clock, random: this.#createRandom(), host, routes, edges: this.#edges,
		});
		await operator.putNext(signal);
		const edges = this.#edges.map(({name, ip}) => ({name, host: ip, port: edgePorts.front}));
		const work = [operator.run(signal), ...Array.from({length: this.#opts.callers}, async (_, index) => new Caller({
			index, clock, random: this.#createRandom(), host, routes, edges, record: record => {
				this.#callers.push(record);
			},
		}).run(signal))];
		await clock.sleep(seconds * 1000);
		this.#abortController.abort();
		await Promise.all(work);
		// A request that was refused may still run.
		await clock.sleep(settleMs);
		const readBacks = await operator.readBack();
		for (const server of this.#servers) {
			server.signal('SIGTERM');
		}

		await Promise.all(this.#servers.map(async server => server.waitForEnd()));
		const serverRecords = await this.#readServerRecords();
		return this.#check({
			routes, bounds, callers: this.#callers, operator: operator.records, readBacks, arrivals: serverRecords.filter((record): record is ArrivalRecord => record.type === 'arrival'), fates: serverRecords.filter((record): record is FateRecord => record.type === 'fate'),
		});
	}

	async #check(records: SoakRecords): Promise<SoakResult> {
		const cases = [...checkAnswers(records), ...checkBudget(records), ...checkConfiguration(records)];
		const count = (isCounted: (record: CallerRecord) => boolean) => records.callers.filter(record => isCounted(record)).length;
		const summary = {
			requests: records.callers.length,
			served: count(({end, status}) => end === 'answered' && status === 200),
			refused: count(({end, status}) => end === 'answered' && status === 503),
			failed: count(({end, status}) => end !== 'answered' || (status !== 200 && status !== 503)),
			arrivals: records.arrivals.length,
			runs: records.fates.filter(fate => fate.hasRun).length,
			configurations: records.operator.length,
		};
		const write = async (name: string, lines: readonly unknown[]) => writeFile(path.join(this.#opts.folder, name), lines.map(line => `${JSON.stringify(line)}\n`).join(''));
		await write('callers.jsonl', records.callers);
		await write('operator.jsonl', [...records.operator, ...records.readBacks]);
		await write('cases.jsonl', cases);
		return {cases, summary};
	}

	#createEdges(block: AddressBlock): void {
		const ips = Array.from({length: this.#opts.edges}, (_, index) => block.getIp(firstEdgeHost + index));
		const seeds = ips.slice(0, coreMembers).map(ip => `${ip}:${edgePorts.control}`);
		for (const [index, ip] of ips.entries()) {
			this.#edges.push(new EdgeProcess({
				name: `edge-${index + 1}`, ip, folder: this.#opts.folder, isCore: index < coreMembers, seeds, bounds, reportIntervalMs,
			}));
		}
	}

	/** Two fifths of the servers are plain, and two fifths of the others prefill. */
	#createServers(block: AddressBlock): void {
		const {servers, folder, faults, clock} = this.#opts;
		const plainServers = Math.floor(servers * plainFraction);
		const prefillServers = Math.ceil((servers - plainServers) * prefillFraction);
		for (let index = 0; index < servers; index++) {
			const id = `s${index + 1}`;
			const ip = block.getIp(firstServerHost + index);
			const modelStage = index < plainServers + prefillServers ? 'prefill' : 'decode';
			const random = this.#createRandom();
			const server: ManagedProcess = new ManagedProcess({
				name: id,
				logPath: path.join(folder, `${id}.log`),
				createArgs: () => [serverMainPath, JSON.stringify({
					id, service: index < plainServers ? 'plain' : 'model', stage: index < plainServers ? undefined : modelStage, listen: {host: ip, port: serverPort}, address: `${ip}:${serverPort}`, faults: [...faults], seed: random.nextInteger(seedRange), recordPath: path.join(folder, `${id}.jsonl`), controls: this.#edges.map(edge => edge.controlAddress), reportIntervalMs,
				} satisfies ServerProcessOptions)],
				onEnded: () => {
					void clock.sleep(random.nextBetween(0, maxRestartMs), this.#abortController.signal).then(async () => server.start());
				},
			});
			this.#servers.push(server);
		}
	}

	async #readServerRecords(): Promise<ServerRecord[]> {
		const {folder} = this.#opts;
		const names = await readdir(folder);
		const files = names.filter(name => /^s\d+\.jsonl$/.test(name));
		const texts = await Promise.all(files.map(async file => readFile(path.join(folder, file), 'utf8')));
		return texts.flatMap(text => text.split('\n').filter(line => line !== '').map(line => JSON.parse(line) as ServerRecord));
	}

	#createRandom(): Random {
		return new Random(this.#random.nextInteger(seedRange));
	}
}
