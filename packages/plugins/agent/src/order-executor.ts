/**
 * Executes orders on the engine, one at a time. An order is admitted by its fencing token and checked against the remaining
 * lease right before it is written. A repeated request for the same change returns the state of its order.
 */
import type {ControlClient} from '@hickorytrack/control-client';
import type {FenceGuard} from '@hickorytrack/fence';
import type {ProcessContext} from '@hickorytrack/kernel/plugin';
import type {FencedOrder} from '@hickorytrack/types/endpoint';
import type {EngineAdapter} from '@hickorytrack/types/engine-adapter';
import type {OrderReply} from '@hickorytrack/types/peer-methods';
import type {EngineMonitor} from './engine-monitor.js';

export type OrderExecutorOptions = {
	context: ProcessContext;
	control: ControlClient;
	adapter: EngineAdapter;
	guard: FenceGuard;
	monitor: EngineMonitor;
};

type OrderState = {
	changeId: string;
	isDone: boolean;
	failure?: string;
};

export class OrderExecutor {
	readonly #opts: OrderExecutorOptions;
	#last: OrderState | undefined;

	constructor(opts: OrderExecutorOptions) {
		this.#opts = opts;
	}

	handle(order: FencedOrder): OrderReply {
		const known = this.#last?.changeId === order.changeId ? this.#last : undefined;
		if (known && this.#opts.guard.isCurrent(order.fence)) {
			return this.#createReply(known);
		}

		const waitMs = this.#opts.monitor.orderWaitMs;
		if (waitMs > 0) {
			return {
				accepted: false, done: false, isFinal: false, message: `Orders of the previous agent may still be written to the engine for ${Math.ceil(waitMs)} ms; retry after that`,
			};
		}

		const verdict = this.#opts.guard.checkToken(order.fence);
		if (verdict !== 'admitted') {
			this.#opts.context.events.emit('orderRefused', {change: order.changeId, fence: order.fence, verdict});
			// Not final: a leader that has learnt the new epoch may send the order again.
			return {
				accepted: false, done: false, isFinal: false, message: `The fencing token of the order was rejected: ${verdict}`,
			};
		}

		const state: OrderState = {changeId: order.changeId, isDone: false};
		this.#last = state;
		void this.#runOrder(order, state);
		return this.#createReply(state);
	}

	dump(): unknown {
		return {epoch: this.#opts.guard.epoch, highest: this.#opts.guard.highest, last: this.#last};
	}

	#createReply(state: OrderState): OrderReply {
		return {
			accepted: state.failure === undefined, done: state.isDone, isFinal: state.failure !== undefined, message: state.failure ?? '',
		};
	}

	async #runOrder(order: FencedOrder, state: OrderState): Promise<void> {
		const {control, adapter, context, monitor} = this.#opts;
		// There must be no await between this check and the write, as the lease could expire meanwhile.
		if (control.lease.computeRemainingMs() <= order.timeLimitMs) {
			state.failure = 'The lease of the agent expires before the time limit of the order';
			return;
		}

		const result = await adapter.order(order);
		if (result.isErr()) {
			state.failure = result.error.message;
			context.events.emit('orderFailed', {change: order.changeId, message: result.error.message});
		} else {
			state.isDone = true;
			context.events.emit('orderDone', {change: order.changeId, order: order.order});
		}

		monitor.refresh();
	}
}
