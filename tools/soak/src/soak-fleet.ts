/** The processes of one run and the links between them: edges, three of which keep the configuration, and servers. */
import {setMaxListeners} from 'node:events';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import type {Clock} from '@hickorytrack/clock';
import {Random} from '@hickorytrack/random';
import type {AddressBlock} from '@hickorytrack/stand-ins/address-block';
import {EdgeProcess, edgePorts} from './edge-process.js';
import {lateFaults} from './fault-schedule.js';
import {Links} from './links.js';
import {ManagedProcess} from './managed-process.js';
import {getSecondService} from './operator.js';
import type {RetryBounds, ProcessEnd} from './records.js';
import type {ServerProcessOptions} from './server-main.js';
import {createVersionSeeds, selectVersion} from './server-versions.js';
import {workspaceBounds, workspaceFaults} from './workspaces.js';

export type SoakFleetOptions = {
	clock: Clock;
	random: Random;
	block: AddressBlock;
	edges: number;
	servers: number;
	faults: readonly string[];
	bounds: RetryBounds;
	folder: string;
};

/** Fraction of plain servers, and of those that prefill among the others. */
const plainFraction = 0.4;
const prefillFraction = 0.4;
const coreMembers = 3;
const reportIntervalMs = 500;
const serverPort = 8080;
/** Last parts of the addresses of edges and servers and of the relays in front of them. */
const hosts = {
	edge: 10, edgeRelay: 40, server: 100, serverRelay: 160, closed: 230, infrastructure: 240,
} as const;
const closedHosts = 6;
const maxPauseMs = 1500;
const seedRange = 2 ** 31;
const serverMainPath = fileURLToPath(new URL('server-main.js', import.meta.url));

export class SoakFleet {
	readonly edges: EdgeProcess[] = [];
	readonly servers: ManagedProcess[] = [];
	readonly links: Links;
	/** Edges that ended by themselves. */
	readonly endedEdges: string[] = [];
	readonly #opts: SoakFleetOptions;
	readonly #abortController = new AbortController();

	/** Ends of edges and servers, by a signal or by themselves. */
	readonly processEnds: ProcessEnd[] = [];

	constructor(opts: SoakFleetOptions) {
		this.#opts = opts;
		setMaxListeners(0, this.#abortController.signal);
		this.links = new Links(opts.clock);
		for (let index = 0; index < opts.edges; index++) {
			this.#addEdge(index);
		}

		for (let index = 0; index < opts.servers; index++) {
			this.#addServer(index);
		}
	}

	/** Addresses at which nothing listens. */
	get closedAddresses(): string[] {
		return Array.from({length: closedHosts}, (_, index) => `${this.#opts.block.getIp(hosts.closed + index)}:${serverPort}`);
	}

	/** Address at which the infrastructure takes reports of usage. */
	get infrastructureAddress(): {host: string; port: number} {
		return {host: this.#opts.block.getIp(hosts.infrastructure), port: serverPort};
	}

	async start(): Promise<void> {
		await Promise.all([...this.edges, ...this.servers].map(async member => member.start()));
	}

	/** Stops the servers so that their records are complete. */
	async stopServers(): Promise<void> {
		this.#abortController.abort();
		for (const server of this.servers) {
			server.signal('SIGTERM');
		}

		await Promise.all(this.servers.map(async server => server.waitForEnd()));
	}

	async stop(): Promise<void> {
		this.#abortController.abort();
		await Promise.all([...this.edges, ...this.servers].map(async member => member.kill()));
		await this.links.stop();
	}

	#addEdge(index: number): void {
		const {block, edges, bounds, folder, faults} = this.#opts;
		const name = `edge-${index + 1}`;
		const ip = block.getIp(hosts.edge + index);
		const listRelays = Array.from({length: edges}, (_, other) => [`${block.getIp(hosts.edge + other)}:${edgePorts.peer}`, {host: block.getIp(hosts.edgeRelay + other), port: edgePorts.peer}] as const);
		this.links.add({name, address: {host: ip, port: edgePorts.peer}, relayAddress: {host: block.getIp(hosts.edgeRelay + index), port: edgePorts.peer}});
		const edge: EdgeProcess = new EdgeProcess({
			name, ip, folder, isCore: index < coreMembers, bounds, reportIntervalMs, hasMemoryLimit: faults.includes(lateFaults.flood), workspaces: faults.includes(workspaceFaults.workspaces) ? {...workspaceBounds, infrastructureAddress: `${this.infrastructureAddress.host}:${this.infrastructureAddress.port}`} : undefined, seeds: Array.from({length: Math.min(edges, coreMembers)}, (_, seed) => `${block.getIp(hosts.edge + seed)}:${edgePorts.control}`), redirect: {localIp: ip, targets: Object.fromEntries(listRelays)}, ...this.#createListeners(name, () => {
				this.endedEdges.push(name);
				return edge;
			}),
		});
		this.edges.push(edge);
	}

	#addServer(index: number): void {
		const {block, servers, faults, folder, random} = this.#opts;
		const plainServers = Math.floor(servers * plainFraction);
		const prefillServers = Math.ceil((servers - plainServers) * prefillFraction);
		const name = `s${index + 1}`;
		const listen = {host: block.getIp(hosts.server + index), port: serverPort};
		const relayAddress = {host: block.getIp(hosts.serverRelay + index), port: serverPort};
		this.links.add({name, address: listen, relayAddress});
		const kind = index < plainServers ? 'plain' : 'model';
		const service = index % 2 === 0 ? kind : getSecondService(kind);
		const modelStage = index < plainServers + prefillServers ? 'prefill' : 'decode';
		const seeds = new Random(random.nextInteger(seedRange));
		const versionSeeds = createVersionSeeds(index);
		let starts = 0;
		// A server comes back under its id or under a new one.
		const createId = () => seeds.next() < 0.5 ? name : `${name}-${starts++}`;
		const createArgs = () => [serverMainPath, JSON.stringify({
			id: createId(), service, version: selectVersion(versionSeeds, {service, faults}), stage: index < plainServers ? undefined : modelStage, listen, address: `${relayAddress.host}:${relayAddress.port}`, faults: [...faults], seed: seeds.nextInteger(seedRange), recordPath: path.join(folder, `${name}.jsonl`), controls: this.edges.map(edge => edge.controlAddress), reportIntervalMs,
		} satisfies ServerProcessOptions)];
		const server: ManagedProcess = new ManagedProcess({
			name, logPath: path.join(folder, `${name}.log`), createArgs, ...this.#createListeners(name, () => server),
		});
		this.servers.push(server);
	}

	/** Opens and closes the link to a process with it, and starts the process again if it has ended by itself. */
	#createListeners(name: string, onUnexpectedEnd: () => ManagedProcess): {onStarted: () => void; onEnded: (isExpected: boolean) => void} {
		const {clock, random} = this.#opts;
		const {signal} = this.#abortController;
		return {
			onStarted: () => {
				void this.links.open(name, signal);
			},
			onEnded: isExpected => {
				this.processEnds.push({name, at: clock.now()});
				void this.links.close(name);
				if (!isExpected && !signal.aborted) {
					const ended = onUnexpectedEnd();
					void clock.sleep(random.nextBetween(0, maxPauseMs), signal).then(async () => signal.aborted ? undefined : ended.start());
				}
			},
		};
	}
}
