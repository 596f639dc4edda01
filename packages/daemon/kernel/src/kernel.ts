/**
 * The kernel of a process: creates the context that plug-ins share, starts the plug-ins of the configured roles, serves
 * the state dump, and stops the plug-ins in reverse order.
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
	/** Unique for each start of the process. */
	incarnation: string;
};

const msPerSecond = 1000;
/** Time for the calls of operators that are open when the plug-ins have stopped. */
const operatorCloseMs = 200;
const agentTopics = ['contract/', 'setting/'];
const entryTopics = ['endpoint/', 'quarantine/'];

export class Kernel {
	readonly context: ProcessContext;
	readonly #opts: KernelOptions;
	readonly #operatorServer: OperatorServer;
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
		this.#operatorServer = new OperatorServer({
			keys: settings.operatorKeys, clock: opts.clock, onCut(cut) {
				opts.events.emit('closeCut', {address: 'operators', ...cut});
			},
		});
		this.context = {
			...opts,
			peers,
			control,
			member: peers.member,
			findEngineAdapter: name => registry.findEngineAdapter(name),
			addOperatorMethod: (name, method) => {
				this.#operatorServer.add(name, method);
			},
		};
		this.#addKernelMethods();
	}

	async start(): Promise<Result<void, HickorytrackError>> {
		const {settings, registry} = this.#opts;
		const roles = settings.roles.map(role => registry.findRole(role)).filter(role => role !== undefined).sort((a, b) => a.startOrder - b.startOrder);
		for (const role of roles) {
			this.#plugins.push({role: role.role, plugin: role.create(this.context)});
		}

		const operatorAddress = parseAddress(settings.operatorListen);
		const startupSteps = [
			async () => this.context.peers.listen(parseAddress(settings.peerListen)),
			async () => this.#operatorServer.listen(operatorAddress.host, operatorAddress.port),
			...this.#plugins.map(({plugin}) => async () => plugin.start()),
		];
		for (const step of startupSteps) {
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

	/** Stops gracefully: new work is rejected at once, and work in progress is finished or handed over until the timeout. */
	async stop(): Promise<void> {
		if (this.#phase === 'stopping' || this.#phase === 'stopped') {
			return;
		}

		this.#phase = 'stopping';
		this.context.events.emit('daemonStopping', {instance: this.#opts.settings.instance});
		const drainController = new AbortController();
		const timerController = new AbortController();
		void this.#opts.clock.sleep(this.#opts.settings.stopSeconds * msPerSecond, timerController.signal).then(() => {
			drainController.abort();
		});
		for (const {plugin} of [...this.#plugins].reverse()) {
			await plugin.drain(drainController.signal);
			await plugin.stop();
		}

		timerController.abort();
		await this.#operatorServer.stop(operatorCloseMs);
		await this.kill();
		this.context.events.emit('daemonStopped', {instance: this.#opts.settings.instance});
		this.#opts.metrics.close();
	}

	/** Closes all connections and servers at once, without a drain. */
	async kill(): Promise<void> {
		this.#phase = 'stopped';
		this.context.control.stop();
		await this.context.peers.stop();
		await this.#operatorServer.stop();
	}

	/** Simulates a crash in fault tests: closes all connections before it stops the plug-ins, without a drain. */
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

	/** Returns the state of the process without secrets. */
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

	#addKernelMethods(): void {
		const {peers, events} = this.context;
		if (!this.#opts.settings.roles.includes('controller')) {
			this.#operatorServer.setFallback(async (method, params, {hops}) => this.context.control.forwardOperatorCall(method, params, hops));
		}

		this.#operatorServer.add('state.dump', () => ({ok: true, result: this.dump()}));
		this.#operatorServer.add('events.list', params => ({ok: true, result: {events: events.listSince(Number((params as {since?: number}).since ?? 0))}}));
		peers.handle('state.dump', () => ({state: this.dump()}));
		peers.handle('operator.call', async ({method, params, hops}, connection) => this.#operatorServer.call(method, params, {operator: connection.remote.instance, hops}));
	}
}

