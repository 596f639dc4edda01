/**
 * The kernel of a process: it builds what plug-ins share, starts the plug-ins of the process's roles, answers for their
 * state, and stops them in order.
 */
import {err, ok, type Result} from 'neverthrow';
import type {Clock} from '@hickorytrack/clock';
import {ControlClient} from '@hickorytrack/control-client';
import type {HickorytrackError} from '@hickorytrack/errors';
import type {EventLog} from '@hickorytrack/events';
import type {Metrics} from '@hickorytrack/events/metrics';
import {parseAddress, PeerNode} from '@hickorytrack/peer-link/peer-node';
import {defaultPeerTiming} from '@hickorytrack/peer-link/peer-connection';
import type {Random} from '@hickorytrack/random';
import type {DaemonSettings} from '@hickorytrack/settings';
import type {StepPoints} from '@hickorytrack/step-points';
import {OperatorServer} from './operator-server.js';
import type {Plugin, PluginRegistry, ProcessContext} from './plugin.js';

export type KernelOptions = {
	settings: DaemonSettings;
	registry: PluginRegistry;
	clock: Clock;
	random: Random;
	events: EventLog;
	metrics: Metrics;
	steps: StepPoints;
	/** Differs for every start of the process. */
	incarnation: string;
};

const msPerSecond = 1000;
const agentTopics = ['contract/', 'setting/'];
const entryTopics = ['endpoint/', 'quarantine/'];

export class Kernel {
	readonly context: ProcessContext;
	readonly #opts: KernelOptions;
	readonly #operators: OperatorServer;
	readonly #plugins: Array<{role: string; plugin: Plugin}> = [];
	#phase: 'starting' | 'serving' | 'stopping' | 'stopped' = 'starting';

	constructor(opts: KernelOptions) {
		this.#opts = opts;
		const {settings, registry} = opts;
		const member = {
			instance: settings.instance, roles: settings.roles, availabilityZone: settings.availabilityZone, address: settings.peerListen, incarnation: opts.incarnation,
		};
		const peers = new PeerNode({
			clock: opts.clock,
			random: opts.random,
			timing: {...defaultPeerTiming, heartbeatMs: settings.heartbeatMs, silenceMs: settings.silenceMs},
			keys: settings.peerKeys,
			member,
			advertise: settings.peerAdvertise,
		});
		const control = new ControlClient({
			...opts,
			peers,
			controllers: settings.controllers.map(controller => controller.address),
			topics: settings.roles.includes('entry') ? [...entryTopics, ...agentTopics, 'directive/'] : [...agentTopics, `directive/${settings.endpoint}`],
			leaseMs: settings.leaseMs,
		});
		this.#operators = new OperatorServer({keys: settings.operatorKeys});
		this.context = {
			...opts,
			peers,
			control,
			member: peers.member,
			findEngineAdapter: name => registry.findEngineAdapter(name),
			addOperatorMethod: (name, method) => {
				this.#operators.add(name, method);
			},
		};
		this.#addOwnMethods();
	}

	async start(): Promise<Result<void, HickorytrackError>> {
		const {settings, registry} = this.#opts;
		const roles = settings.roles.map(role => registry.findRole(role)).filter(role => role !== undefined).sort((a, b) => a.order - b.order);
		for (const role of roles) {
			this.#plugins.push({role: role.role, plugin: role.create(this.context)});
		}

		const operatorAddress = parseAddress(settings.operatorListen);
		const steps = [
			async () => this.context.peers.listen(parseAddress(settings.peerListen)),
			async () => this.#operators.listen(operatorAddress.host, operatorAddress.port),
			...this.#plugins.map(({plugin}) => async () => plugin.start()),
		];
		for (const step of steps) {
			const result = await step();
			if (result.isErr()) {
				return err(result.error);
			}
		}

		if (this.#usesControl) {
			this.context.control.start();
		}

		this.#phase = 'serving';
		this.context.events.emit('daemonStarted', {instance: settings.instance, roles: settings.roles});
		return ok(undefined);
	}

	/** Stops gracefully: new work is refused at once, work in hand is finished or handed over. */
	async stop(): Promise<void> {
		if (this.#phase === 'stopping' || this.#phase === 'stopped') {
			return;
		}

		this.#phase = 'stopping';
		this.context.events.emit('daemonStopping', {instance: this.#opts.settings.instance});
		const limit = new AbortController();
		const finished = new AbortController();
		void this.#opts.clock.sleep(this.#opts.settings.stopSeconds * msPerSecond, finished.signal).then(() => {
			limit.abort();
		});
		for (const {plugin} of [...this.#plugins].reverse()) {
			await plugin.drain(limit.signal);
			await plugin.stop();
		}

		finished.abort();
		await this.kill();
		this.context.events.emit('daemonStopped', {instance: this.#opts.settings.instance});
		this.#opts.metrics.close();
	}

	/** Ends everything at once, as a crash would; fault tests use it. */
	async kill(): Promise<void> {
		this.#phase = 'stopped';
		this.context.control.stop();
		await this.context.peers.stop();
		await this.#operators.stop();
	}

	/** Ends the plug-ins without draining them. */
	async crash(): Promise<void> {
		await this.kill();
		for (const {plugin} of this.#plugins) {
			await plugin.stop();
		}
	}

	get #usesControl(): boolean {
		return this.#opts.settings.roles.some(role => role !== 'controller');
	}

	listOpenWork(): string[] {
		return this.#plugins.flatMap(({role, plugin}) => plugin.listOpenWork().map(line => `${role}: ${line}`));
	}

	/** Returns the state of the process with its secrets left out. */
	dump(): unknown {
		const {settings} = this.#opts;
		return {
			instance: settings.instance,
			phase: this.#phase,
			incarnation: this.#opts.incarnation,
			settings: {...settings, peerKeys: `${settings.peerKeys.length} key(s)`, operatorKeys: `${settings.operatorKeys.length} key(s)`},
			control: this.context.control.dump(),
			traffic: {...this.context.peers.traffic},
			connections: [...this.context.peers.connections].map(connection => connection.remote),
			plugins: Object.fromEntries(this.#plugins.map(({role, plugin}) => [role, plugin.dump()])),
			openWork: this.listOpenWork(),
		};
	}

	#addOwnMethods(): void {
		const {peers, events} = this.context;
		if (!this.#opts.settings.roles.includes('controller')) {
			this.#operators.setFallback(async (method, params, {hops}) => this.context.control.forwardOperatorCall(method, params, hops));
		}

		this.#operators.add('state.dump', () => ({ok: true, result: this.dump()}));
		this.#operators.add('events.list', params => ({ok: true, result: {events: events.listSince(Number((params as {since?: number}).since ?? 0))}}));
		peers.handle('state.dump', () => ({state: this.dump()}));
		peers.handle('operator.call', async ({method, params, hops}, connection) => this.#operators.call(method, params, {operator: connection.remote.instance, hops}));
	}
}

