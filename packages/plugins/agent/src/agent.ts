/** The agent plug-in: it runs next to one endpoint and is the only process that sends it work and orders. */
import {err, ok, type Result} from 'neverthrow';
import type {ControlClient} from '@hickorytrack/control-client';
import {HickorytrackError} from '@hickorytrack/errors';
import {FenceGuard} from '@hickorytrack/fence';
import type {Plugin, PluginRegistry, ProcessContext} from '@hickorytrack/kernel/plugin';
import type {ControlItem} from '@hickorytrack/types/control';
import type {EngineAdapter} from '@hickorytrack/types/engine-adapter';
import {EngineMonitor} from './engine-monitor.js';
import {OrderExecutor} from './order-executor.js';
import {WorkScheduler} from './work-scheduler.js';

class AgentPlugin implements Plugin {
	readonly #context: ProcessContext;
	readonly #control: ControlClient;
	readonly #monitor: EngineMonitor;
	readonly #scheduler: WorkScheduler;
	readonly #orderExecutor: OrderExecutor;
	readonly #guard = new FenceGuard();

	constructor(context: ProcessContext, adapter: EngineAdapter) {
		this.#context = context;
		this.#control = context.control;
		this.#control.addDemandSource(() => ({demands: [], reports: this.#scheduler.collectReports()}));
		this.#control.onItems(items => {
			this.#handleItems(items);
		});
		this.#control.onSubscribed(() => {
			this.#monitor.refresh({registerAgain: true});
		});
		this.#monitor = new EngineMonitor({
			context, control: this.#control, adapter, guard: this.#guard,
			onLost: () => {
				this.#scheduler.handleEngineLoss();
			},
			onReady() {
				// The housekeeping of the scheduler starts the work.
			},
		});
		this.#scheduler = new WorkScheduler({
			context, control: this.#control, adapter, monitor: this.#monitor,
		});
		this.#orderExecutor = new OrderExecutor({
			context, control: this.#control, adapter, guard: this.#guard, monitor: this.#monitor,
		});
		this.#registerHandlers();
	}

	async start(): Promise<Result<void, HickorytrackError>> {
		this.#monitor.start();
		this.#scheduler.start();
		return ok(undefined);
	}

	async drain(signal: AbortSignal): Promise<void> {
		this.#scheduler.rejectNewWork();
		await this.#scheduler.waitUntilIdle(signal);
		if (this.#scheduler.running > 0) {
			this.#scheduler.handOver();
			await this.#scheduler.waitUntilIdle(AbortSignal.abort());
		}
	}

	async stop(): Promise<void> {
		this.#scheduler.stop();
		this.#monitor.stop();
	}

	dump(): unknown {
		return {engine: this.#monitor.description, work: this.#scheduler.dump(), orders: this.#orderExecutor.dump()};
	}

	listOpenWork(): string[] {
		return this.#scheduler.listOpenWork();
	}

	#registerHandlers(): void {
		const {peers} = this.#context;
		peers.handle('work.submit', async (submission, connection) => this.#scheduler.submit(submission, connection));
		peers.handle('work.resume', ({attempt, from}, connection) => ({known: this.#scheduler.resume(attempt, from, connection)}));
		peers.handle('work.acknowledge', ({received}) => {
			this.#scheduler.confirm(received);
		});
		peers.handle('work.cancel', ({attempt}) => {
			this.#scheduler.cancel(attempt);
		});
		peers.handle('work.resolve', ({attempt, cancel}) => this.#scheduler.resolve(attempt, {cancel}));
		peers.handle('agent.order', ({order}) => this.#orderExecutor.handle(order));
		peers.handle('agent.progress', () => ({
			endpoint: this.#context.settings.endpoint, phase: this.#scheduler.phase, running: this.#scheduler.running, queued: this.#scheduler.queued,
		}));
		peers.handle('agent.hand-over', ({fence}) => ({handedOver: this.#guard.isCurrent(fence) ? this.#scheduler.handOver() : 0}));
	}

	#handleItems(items: readonly ControlItem[]): void {
		for (const {value} of items) {
			if (value.kind === 'directive' && value.directive.endpoint === this.#context.settings.endpoint) {
				this.#scheduler.setPhase(value.directive.phase);
			}
		}
	}
}

/** Replaces the agent when its engine adapter is unknown, so that the start fails with a clear error. */
class UnknownAdapterPlugin implements Plugin {
	readonly #name: string;

	constructor(name: string) {
		this.#name = name;
	}

	async start(): Promise<Result<void, HickorytrackError>> {
		return err(new HickorytrackError('ERR_HICKORYTRACK_UNKNOWN_ADAPTER', `There is no engine adapter ${this.#name}`, {hint: 'Set --engine-adapter to model or service.'}));
	}

	async drain(): Promise<void> {
		// `start` always fails, so there is no work.
	}

	async stop(): Promise<void> {
		// `start` always fails, so there is nothing to stop.
	}

	dump(): unknown {
		return {};
	}

	listOpenWork(): string[] {
		return [];
	}
}

export function registerAgent(registry: PluginRegistry): void {
	registry.registerRole({
		role: 'agent',
		startOrder: 2,
		create(context) {
			const {engineAdapter, engine, service} = context.settings;
			const adapter = context.findEngineAdapter(engineAdapter)?.create({url: engine!, service});
			return adapter ? new AgentPlugin(context, adapter) : new UnknownAdapterPlugin(engineAdapter);
		},
	});
}
