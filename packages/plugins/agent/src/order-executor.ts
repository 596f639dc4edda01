/**
 * Orders to the engine. An order is admitted by its fence, checked against the remaining lease right before it is
 * written, and carried out one at a time. The same change asked again gets the state of its order.
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
			return this.#describe(known);
		}

		const waitMs = this.#opts.monitor.orderWaitMs;
		if (waitMs > 0) {
			return {
				accepted: false, done: false, isFinal: false, message: `The orders of the agent before have to be waited out for ${Math.ceil(waitMs)} ms`,
			};
		}

		const verdict = this.#opts.guard.admit(order.fence);
		if (verdict !== 'admitted') {
			this.#opts.context.events.emit('orderRefused', {change: order.changeId, fence: order.fence, verdict});
			// A stale order may be sent again by a leader that has learnt the new epoch.
			return {
				accepted: false, done: false, isFinal: false, message: `The order is ${verdict}`,
			};
		}

		const state: OrderState = {changeId: order.changeId, isDone: false};
		this.#last = state;
		void this.#carryOut(order, state);
		return this.#describe(state);
	}

	dump(): unknown {
		return {epoch: this.#opts.guard.epoch, highest: this.#opts.guard.highest, last: this.#last};
	}

	#describe(state: OrderState): OrderReply {
		return {
			accepted: state.failure === undefined, done: state.isDone, isFinal: state.failure !== undefined, message: state.failure ?? '',
		};
	}

	async #carryOut(order: FencedOrder, state: OrderState): Promise<void> {
		const {control, adapter, context, monitor} = this.#opts;
		// No await may stand between this check and the write.
		if (control.lease.computeRemaining() <= order.timeLimitMs) {
			state.failure = 'The lease of the agent is too short for the order';
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
