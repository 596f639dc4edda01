/**
 * A fleet of daemons in one Node.js process, with real sockets, real data folders and short timeouts: three instances with
 * the roles entry and controller, agents with stand-ins for engines and services, and a relay in front of every peer
 * listener. Each daemon has its own loopback addresses, so that the traffic between any two of them can be cut.
 */
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import type {Clock} from '@hickorytrack/clock';
import type {Kernel} from '@hickorytrack/kernel';
import {createDaemon} from '@hickorytrack/hickorytrackd/daemon';
import {Random} from '@hickorytrack/random';
import type {DaemonSettings} from '@hickorytrack/settings';
import type {StepName} from '@hickorytrack/step-points';
import {acquireAddressBlock, type AddressBlock} from '@hickorytrack/stand-ins/address-block';
import {ModelEngine} from '@hickorytrack/stand-ins/model-engine';
import {PlainService} from '@hickorytrack/stand-ins/plain-service';
import {passThroughRule, Relay, type RelayRule} from '@hickorytrack/stand-ins/relay';
import {PausableClock} from './pausable-clock.js';

/** Number of the first relay's address in the block of addresses, less one. */
const firstRelay = 100;
const peerPort = 7400;
const callerPort = 7480;
const operatorPort = 7490;
export const leaseMs = 1500;
export const modelName = 'drafting';
export const serviceName = 'dispatch';

export type StepListener = (step: StepName, owner: string) => Promise<void> | void;

export type FleetProcess = {
	name: string;
	host: string;
	relayHost: string;
	relay: Relay;
	settings: DaemonSettings;
	clock: PausableClock;
	kernel: Kernel | undefined;
	isPaused: boolean;
};

const instanceNames = ['instance-1', 'instance-2', 'instance-3'];
const engineNames = ['engine-1', 'engine-2', 'engine-3'];
const serviceNames = ['dispatch-1', 'dispatch-2'];

export class FaultFleet {
	readonly clock: Clock;
	readonly processes = new Map<string, FleetProcess>();
	readonly engines = new Map<string, ModelEngine>();
	readonly services = new Map<string, PlainService>();
	/** One message for each time that the configuration revision of a process decreased. */
	readonly revisionRegressions: string[] = [];
	onStep: StepListener = () => undefined;
	#block: AddressBlock | undefined;
	readonly #seed: number;
	readonly #overrides: Partial<DaemonSettings>;
	readonly #rules = new Map<string, RelayRule>();
	#folder = '';
	#revisionTimer: NodeJS.Timeout | undefined;

	constructor(opts: {clock: Clock; seed: number; settings?: Partial<DaemonSettings>}) {
		this.#overrides = opts.settings ?? {};
		this.clock = opts.clock;
		this.#seed = opts.seed;
	}

	get instances(): FleetProcess[] {
		return instanceNames.map(name => this.processes.get(name)!);
	}

	get agents(): FleetProcess[] {
		return [...engineNames, ...serviceNames].map(name => this.processes.get(name)!);
	}

	find(name: string): FleetProcess {
		return this.processes.get(name)!;
	}

	getCallerUrl(name: string): string {
		return `http://${this.find(name).host}:${callerPort}`;
	}

	getOperatorUrl(name: string): string {
		return `http://${this.find(name).host}:${operatorPort}`;
	}

	async start(): Promise<void> {
		this.#block = await acquireAddressBlock(new Random(this.#seed));
		this.#folder = await mkdtemp(path.join(tmpdir(), 'hickorytrack-faults-'));
		await this.#startStandIns();
		const names = [...instanceNames, ...engineNames, ...serviceNames];
		for (const [index, name] of names.entries()) {
			await this.#addProcess(name, index + 1);
		}

		await Promise.all(names.map(async name => this.startProcess(name)));
		this.#watchRevisions();
	}

	async stop(): Promise<void> {
		clearInterval(this.#revisionTimer);
		for (const fleetProcess of this.processes.values()) {
			fleetProcess.clock.resume();
		}

		await Promise.all([...this.processes.values()].map(async fleetProcess => fleetProcess.kernel?.crash()));
		await Promise.all([...this.processes.values()].map(async fleetProcess => fleetProcess.relay.stop()));
		await Promise.all([...this.engines.values(), ...this.services.values()].map(async standIn => standIn.stop()));
		await rm(this.#folder, {
			recursive: true, force: true, maxRetries: 10, retryDelay: 100,
		});
		this.#block?.release();
	}

	/** Starts a process, or restarts it after a kill. */
	async startProcess(name: string): Promise<void> {
		const fleetProcess = this.find(name);
		fleetProcess.clock = new PausableClock(this.clock);
		const kernel = createDaemon(fleetProcess.settings, {clock: fleetProcess.clock, steps: {onStep: async (step, owner) => this.#handleStep(fleetProcess, {step, owner, getKernel: () => kernel})}});
		fleetProcess.kernel = kernel;
		const started = await kernel.start();
		if (started.isErr()) {
			throw started.error;
		}
	}

	/** Crashes a process without a drain and resets the peer connections to it. */
	async kill(name: string): Promise<void> {
		const fleetProcess = this.find(name);
		const {kernel} = fleetProcess;
		fleetProcess.kernel = undefined;
		fleetProcess.clock.pause();
		await kernel?.crash();
		fleetProcess.relay.resetConnections();
	}

	/** Deletes the data folder of a killed process, as a lost disk would. */
	async removeData(name: string): Promise<void> {
		await rm(this.find(name).settings.data!, {recursive: true, force: true});
	}

	pause(name: string): void {
		const fleetProcess = this.find(name);
		fleetProcess.isPaused = true;
		fleetProcess.clock.pause();
		this.#applyRules();
	}

	resume(name: string): void {
		const fleetProcess = this.find(name);
		fleetProcess.isPaused = false;
		this.#applyRules();
		fleetProcess.clock.resume();
	}

	/** Drops the traffic between a process and all others; connections stay open. */
	isolate(name: string, opts: {incoming: boolean; outgoing: boolean}): void {
		for (const other of this.processes.keys()) {
			if (other !== name) {
				// `incoming` drops bytes sent to the process, `outgoing` drops bytes sent by it, whichever side opened the connection.
				this.#rules.set(`${other}>${name}`, {forward: opts.incoming ? 'drop' : 'pass', back: opts.outgoing ? 'drop' : 'pass', delayMs: 0});
				this.#rules.set(`${name}>${other}`, {forward: opts.outgoing ? 'drop' : 'pass', back: opts.incoming ? 'drop' : 'pass', delayMs: 0});
			}
		}

		this.#applyRules();
	}

	/** Delays all traffic to and from a process. */
	addDelay(name: string, delayMs: number): void {
		for (const other of this.processes.keys()) {
			this.#rules.set(`${other}>${name}`, {...passThroughRule, delayMs});
			this.#rules.set(`${name}>${other}`, {...passThroughRule, delayMs});
		}

		this.#applyRules();
	}

	/** Drops all further bytes on the open connections to a process; new connections work. */
	stopDelivery(name: string): void {
		this.find(name).relay.stopDelivery();
	}

	resetConnections(name: string): void {
		for (const fleetProcess of this.processes.values()) {
			if (fleetProcess.name === name) {
				fleetProcess.relay.resetConnections();
			}
		}
	}

	/** Removes all relay rules and resumes all paused processes. */
	clearFaults(): void {
		this.#rules.clear();
		for (const fleetProcess of this.processes.values()) {
			if (fleetProcess.isPaused) {
				this.resume(fleetProcess.name);
			}
		}

		this.#applyRules();
	}

	findLeader(): string | undefined {
		const leader = this.instances.find(instance => instance.kernel && !instance.isPaused && (instance.kernel.dump() as {plugins: {controller?: {log: {role: string}}}}).plugins.controller?.log.role === 'leader');
		return leader?.name;
	}

	async #handleStep(fleetProcess: FleetProcess, opts: {step: StepName; owner: string; getKernel: () => Kernel}): Promise<void> {
		await this.onStep(opts.step, opts.owner);
		if (fleetProcess.kernel !== opts.getKernel()) {
			// A killed process must not go on after the step, so the step never returns to it.
			await new Promise(() => {
				// Never resolves.
			});
		}

		await fleetProcess.clock.resumed;
	}

	async #startStandIns(): Promise<void> {
		for (const name of engineNames) {
			const engine = new ModelEngine({
				clock: this.clock, models: [modelName], roleChangeMs: 200, restartMs: 250, checksFencing: name !== 'engine-2',
				speed: {
					prefillTokensPerSecond: 50_000, decodeTokensPerSecond: 4000, sequenceTokensPerSecond: 250, capacity: 16,
				},
			});
			await engine.start();
			this.engines.set(name, engine);
		}

		for (const name of serviceNames) {
			const service = new PlainService({callMs: 60});
			await service.start();
			this.services.set(name, service);
		}
	}

	async #addProcess(name: string, number: number): Promise<void> {
		const host = this.#block!.getIp(number);
		const relayHost = this.#block!.getIp(firstRelay + number);
		const relay = new Relay({host, port: peerPort});
		await relay.start({host: relayHost, port: peerPort});
		this.processes.set(name, {
			name, host, relayHost, relay, settings: this.#createSettings(name, {host, relayHost, number}), clock: new PausableClock(this.clock), kernel: undefined, isPaused: false,
		});
	}

	#createSettings(name: string, opts: {host: string; relayHost: string; number: number}): DaemonSettings {
		const isInstance = instanceNames.includes(name);
		const engine = this.engines.get(name) ?? this.services.get(name);
		return {
			instance: name,
			availabilityZone: `zone-${opts.number % 3}`,
			roles: isInstance ? ['entry', 'controller'] : ['agent'],
			peerListen: `${opts.host}:${peerPort}`,
			peerAdvertise: `${opts.relayHost}:${peerPort}`,
			callerListen: `${opts.host}:${callerPort}`,
			operatorListen: `${opts.host}:${operatorPort}`,
			controllers: instanceNames.map((id, index) => ({id, address: `${this.#block!.getIp(firstRelay + index + 1)}:${peerPort}`})),
			join: false,
			data: path.join(this.#folder, name),
			peerKeys: ['fault-matrix-key'],
			operatorKeys: [],
			engine: engine?.url,
			engineAdapter: this.services.has(name) ? 'service' : 'model',
			endpoint: name,
			service: this.services.has(name) ? serviceName : undefined,
			leaseMs,
			heartbeatMs: 80,
			silenceMs: 350,
			electionMs: 250,
			snapshotRecords: 12,
			requestTimeoutMs: 15_000,
			stallMs: 600,
			stopSeconds: 5,
			logLevel: 'silent',
			seed: (this.#seed * 100) + opts.number,
			...this.#overrides,
		};
	}

	#applyRules(): void {
		const nameByHost = new Map([...this.processes.values()].map(fleetProcess => [fleetProcess.host, fleetProcess.name]));
		for (const target of this.processes.values()) {
			target.relay.setRule(source => {
				const sourceName = nameByHost.get(source) ?? '';
				const isPaused = target.isPaused || this.processes.get(sourceName)?.isPaused;
				return isPaused ? {forward: 'hold', back: 'hold', delayMs: 0} : this.#rules.get(`${sourceName}>${target.name}`) ?? passThroughRule;
			});
		}
	}

	/** Polls the configuration revision of each process and records every decrease. */
	#watchRevisions(): void {
		const highest = new Map<Kernel, number>();
		this.#revisionTimer = setInterval(() => {
			for (const {kernel, name} of this.processes.values()) {
				if (!kernel) {
					continue;
				}

				const {revision} = kernel.context.control;
				const previous = highest.get(kernel) ?? 0;
				if (revision < previous) {
					this.revisionRegressions.push(`${name}: configuration revision decreased from ${previous} to ${revision}`);
				}

				highest.set(kernel, Math.max(previous, revision));
			}
		}, 20);
	}
}
