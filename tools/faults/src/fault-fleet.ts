/**
 * A fleet in one process with real sockets, real data folders and short timings: three instances with entry and
 * controller, agents with engine and service stand-ins, and a relay before every peer listener. Each process has a
 * loopback address of its own, so that any pair can be cut.
 */
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import type {Clock} from '@hickorytrack/clock';
import type {Kernel} from '@hickorytrack/kernel';
import {createDaemon} from '@hickorytrack/hickorytrackd/daemon';
import type {DaemonSettings} from '@hickorytrack/settings';
import type {StepName} from '@hickorytrack/step-points';
import {ModelEngine} from '@hickorytrack/stand-ins/model-engine';
import {PlainService} from '@hickorytrack/stand-ins/plain-service';
import {openRule, Relay, type RelayRule} from '@hickorytrack/stand-ins/relay';
import {PausableClock} from './pausable-clock.js';

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
	/** Every configuration revision that a process showed lower than one before. */
	readonly revisionRegressions: string[] = [];
	listener: StepListener = () => undefined;
	readonly #slot: number;
	readonly #seed: number;
	readonly #overrides: Partial<DaemonSettings>;
	readonly #cuts = new Map<string, RelayRule>();
	#folder = '';
	#watch: NodeJS.Timeout | undefined;

	constructor(opts: {clock: Clock; slot: number; seed: number; settings?: Partial<DaemonSettings>}) {
		this.#overrides = opts.settings ?? {};
		this.clock = opts.clock;
		this.#slot = opts.slot;
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
		clearInterval(this.#watch);
		for (const one of this.processes.values()) {
			one.clock.resume();
		}

		await Promise.all([...this.processes.values()].map(async one => one.kernel?.crash()));
		await Promise.all([...this.processes.values()].map(async one => one.relay.stop()));
		await Promise.all([...this.engines.values(), ...this.services.values()].map(async one => one.stop()));
		await rm(this.#folder, {
			recursive: true, force: true, maxRetries: 10, retryDelay: 100,
		});
	}

	/** Starts a process, or starts it again after it was killed. */
	async startProcess(name: string): Promise<void> {
		const one = this.find(name);
		one.clock = new PausableClock(this.clock);
		const kernel = createDaemon(one.settings, {clock: one.clock, steps: {onStep: async (step, owner) => this.#reach(one, {step, owner, kernel: () => kernel})}});
		one.kernel = kernel;
		const started = await kernel.start();
		if (started.isErr()) {
			throw started.error;
		}
	}

	/** Ends a process as a kill does. */
	async kill(name: string): Promise<void> {
		const one = this.find(name);
		const {kernel} = one;
		one.kernel = undefined;
		one.clock.pause();
		await kernel?.crash();
		one.relay.resetConnections();
	}

	/** Loses the disk of a killed process. */
	async removeData(name: string): Promise<void> {
		await rm(this.find(name).settings.data!, {recursive: true, force: true});
	}

	pause(name: string): void {
		const one = this.find(name);
		one.isPaused = true;
		one.clock.pause();
		this.#applyRules();
	}

	resume(name: string): void {
		const one = this.find(name);
		one.isPaused = false;
		this.#applyRules();
		one.clock.resume();
	}

	/** Cuts a process off from all others, silently. */
	isolate(name: string, opts: {incoming: boolean; outgoing: boolean}): void {
		for (const other of this.processes.keys()) {
			if (other !== name) {
				// Bytes towards the process vanish on `incoming`, bytes from it on `outgoing`, whoever opened the connection.
				this.#cuts.set(`${other}>${name}`, {forward: opts.incoming ? 'drop' : 'pass', back: opts.outgoing ? 'drop' : 'pass', delayMs: 0});
				this.#cuts.set(`${name}>${other}`, {forward: opts.outgoing ? 'drop' : 'pass', back: opts.incoming ? 'drop' : 'pass', delayMs: 0});
			}
		}

		this.#applyRules();
	}

	/** Delays everything that goes to or comes from a process. */
	addDelay(name: string, delayMs: number): void {
		for (const other of this.processes.keys()) {
			this.#cuts.set(`${other}>${name}`, {...openRule, delayMs});
			this.#cuts.set(`${name}>${other}`, {...openRule, delayMs});
		}

		this.#applyRules();
	}

	/** Silences the open connections of a process for good; new ones work. */
	silenceConnections(name: string): void {
		this.find(name).relay.silenceOpenConnections();
	}

	resetConnections(name: string): void {
		for (const one of this.processes.values()) {
			if (one.name === name) {
				one.relay.resetConnections();
			}
		}
	}

	/** Ends every cut and every pause. */
	clearFaults(): void {
		this.#cuts.clear();
		for (const one of this.processes.values()) {
			if (one.isPaused) {
				this.resume(one.name);
			}
		}

		this.#applyRules();
	}

	findLeader(): string | undefined {
		const leading = this.instances.find(one => one.kernel && !one.isPaused && (one.kernel.dump() as {plugins: {controller?: {log: {role: string}}}}).plugins.controller?.log.role === 'leader');
		return leading?.name;
	}

	async #reach(one: FleetProcess, opts: {step: StepName; owner: string; kernel: () => Kernel}): Promise<void> {
		await this.listener(opts.step, opts.owner);
		if (one.kernel !== opts.kernel()) {
			// A killed process does nothing more.
			await new Promise(() => {
				// It never resolves.
			});
		}

		await one.clock.resumed;
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
		const host = `127.${this.#slot + 10}.0.${number}`;
		const relayHost = `127.${this.#slot + 10}.1.${number}`;
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
			controllers: instanceNames.map((id, index) => ({id, address: `127.${this.#slot + 10}.1.${index + 1}:${peerPort}`})),
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
		const nameOf = new Map([...this.processes.values()].map(one => [one.host, one.name]));
		for (const target of this.processes.values()) {
			target.relay.setRule(source => {
				const sourceName = nameOf.get(source) ?? '';
				const isHeld = target.isPaused || this.processes.get(sourceName)?.isPaused;
				return isHeld ? {forward: 'hold', back: 'hold', delayMs: 0} : this.#cuts.get(`${sourceName}>${target.name}`) ?? openRule;
			});
		}
	}

	/** Looks again and again at the revision that each process shows. */
	#watchRevisions(): void {
		const highest = new Map<Kernel, number>();
		this.#watch = setInterval(() => {
			for (const {kernel, name} of this.processes.values()) {
				if (!kernel) {
					continue;
				}

				const {revision} = kernel.context.control;
				const before = highest.get(kernel) ?? 0;
				if (revision < before) {
					this.revisionRegressions.push(`${name} went from revision ${before} to ${revision}`);
				}

				highest.set(kernel, Math.max(before, revision));
			}
		}, 20);
	}
}
