/** The agent plug-in: it stands beside one endpoint and is the only process that gives it work and orders. */
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
	readonly #work: WorkScheduler;
	readonly #orders: OrderExecutor;
	readonly #guard = new FenceGuard();

	constructor(context: ProcessContext, adapter: EngineAdapter) {
		this.#context = context;
		this.#control = context.control;
		this.#control.addDemandSource(() => ({demands: [], reports: this.#work.collectReports()}));
		this.#control.onItems(items => {
			this.#noteItems(items);
		});
		this.#control.onSubscribed(() => {
			this.#monitor.refresh({registerAgain: true});
		});
		this.#monitor = new EngineMonitor({
			context, control: this.#control, adapter, guard: this.#guard,
			onLost: () => {
				this.#work.handleEngineLoss();
			},
			onReady() {
				// Work is started by the housekeeping of the work desk.
			},
		});
		this.#work = new WorkScheduler({
			context, control: this.#control, adapter, monitor: this.#monitor,
		});
		this.#orders = new OrderExecutor({
			context, control: this.#control, adapter, guard: this.#guard, monitor: this.#monitor,
		});
		this.#registerHandlers();
	}

	async start(): Promise<Result<void, HickorytrackError>> {
		this.#monitor.start();
		this.#work.start();
		return ok(undefined);
	}

	async drain(signal: AbortSignal): Promise<void> {
		this.#work.rejectNewWork();
		await this.#work.waitUntilIdle(signal);
		if (this.#work.running > 0) {
			this.#work.handOver();
			await this.#work.waitUntilIdle(AbortSignal.abort());
		}
	}

	async stop(): Promise<void> {
		this.#work.stop();
		this.#monitor.stop();
	}

	dump(): unknown {
		return {engine: this.#monitor.description, work: this.#work.dump(), orders: this.#orders.dump()};
	}

	listOpenWork(): string[] {
		return this.#work.listOpenWork();
	}

	#registerHandlers(): void {
		const {peers} = this.#context;
		peers.handle('work.submit', async (submission, connection) => this.#work.submit(submission, connection));
		peers.handle('work.resume', ({attempt, from}, connection) => ({known: this.#work.resume(attempt, from, connection)}));
		peers.handle('work.acknowledge', ({received}) => {
			this.#work.confirm(received);
		});
		peers.handle('work.cancel', ({attempt}) => {
			this.#work.cancel(attempt);
		});
		peers.handle('work.resolve', ({attempt, cancel}) => this.#work.resolve(attempt, {cancel}));
		peers.handle('agent.order', ({order}) => this.#orders.handle(order));
		peers.handle('agent.progress', () => ({
			endpoint: this.#context.settings.endpoint, phase: this.#work.phase, running: this.#work.running, queued: this.#work.queued,
		}));
		peers.handle('agent.hand-over', ({fence}) => ({handedOver: this.#guard.isCurrent(fence) ? this.#work.handOver() : 0}));
	}

	#noteItems(items: readonly ControlItem[]): void {
		for (const {value} of items) {
			if (value.kind === 'directive' && value.directive.endpoint === this.#context.settings.endpoint) {
				this.#work.setPhase(value.directive.phase);
			}
		}
	}
}

/** Stands in for an agent whose engine adapter is not known, so that the start fails with a clear error. */
class MissingAdapterPlugin implements Plugin {
	readonly #name: string;

	constructor(name: string) {
		this.#name = name;
	}

	async start(): Promise<Result<void, HickorytrackError>> {
		return err(new HickorytrackError('ERR_HICKORYTRACK_UNKNOWN_ADAPTER', `There is no engine adapter ${this.#name}`, {hint: 'Set --engine-adapter to model or service.'}));
	}

	async drain(): Promise<void> {
		// It never started.
	}

	async stop(): Promise<void> {
		// It never started.
	}

	dump(): unknown {
		return {};
	}

	listOpenWork(): string[] {
		return [];
	}
}

/** Registers the agent role. */
export function registerAgent(registry: PluginRegistry): void {
	registry.registerRole({
		role: 'agent',
		order: 2,
		create(context) {
			const {engineAdapter, engine, service} = context.settings;
			const adapter = context.findEngineAdapter(engineAdapter)?.create({url: engine!, service});
			return adapter ? new AgentPlugin(context, adapter) : new MissingAdapterPlugin(engineAdapter);
		},
	});
}
