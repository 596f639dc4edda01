/**
 * Executes planned changes on the leader, with one task per change. Each step is committed to the log before it is
 * executed, and each order carries the order number that the change got at its start. A new leader therefore resumes
 * where the previous one stopped, and a repeated order is idempotent.
 */
import type {PeerConnection} from '@hickorytrack/peer-link/peer-connection';
import type {ChangeStep, PlannedChange} from '@hickorytrack/types/control';
import {findNextStep, isEnded} from '@hickorytrack/control-state/planned-change';
import type {ControllerCore} from './controller-core.js';

const scanIntervalMs = 100;
const pollIntervalMs = 100;
const msPerSecond = 1000;
/** An agent that is unreachable for this long is considered drained. */
const agentUnreachableTimeoutMs = 10_000;
const orderTimeLimitMs = 1000;
const orderRetryTimeoutMs = 120_000;
const callTimeoutMs = 2000;

export class ChangeRunner {
	readonly #core: ControllerCore;
	readonly #running = new Set<string>();

	constructor(core: ControllerCore) {
		this.#core = core;
	}

	start(): void {
		void this.#scan();
	}

	async #scan(): Promise<void> {
		const {clock} = this.#core.context;
		while (!this.#core.stopped.signal.aborted) {
			if (this.#core.log.isLeader) {
				for (const change of this.#core.state.listOpenChanges()) {
					if (!this.#running.has(change.id)) {
						this.#running.add(change.id);
						void this.#run(change.id).finally(() => this.#running.delete(change.id));
					}
				}
			}

			await clock.sleep(scanIntervalMs, this.#core.stopped.signal);
		}
	}

	/** Runs one change until it has ended or this member no longer leads. */
	async #run(id: string): Promise<void> {
		const {term} = this.#core.log;
		const isStillLeader = () => this.#core.log.isLeader && this.#core.log.term === term && !this.#core.stopped.signal.aborted;
		while (isStillLeader()) {
			const change = this.#core.state.changes.get(id);
			if (!change || isEnded(change)) {
				return;
			}

			const isStepDone = await this.#runStep({...change}, isStillLeader);
			if (isStepDone && isStillLeader()) {
				await this.#advance({...change});
			}

			await this.#core.context.clock.sleep(pollIntervalMs, this.#core.stopped.signal);
		}
	}

	/** Runs the current step of the change. Returns true when the change may advance to the next step. */
	async #runStep(change: PlannedChange, isStillLeader: () => boolean): Promise<boolean> {
		switch (change.step) {
			case 'draining': {
				return this.#drain(change, isStillLeader);
			}

			case 'ordering': {
				return change.kind === 'replace' ? this.#waitForReplacement(change, isStillLeader) : this.#sendOrder(change, isStillLeader);
			}

			default: {
				return true;
			}
		}
	}

	async #advance(change: PlannedChange): Promise<void> {
		const to = findNextStep(change);
		if (!to) {
			return;
		}

		// The message of a replacement holds the incarnation of the engine that is to be replaced.
		let previousIncarnation = change.message;
		if (previousIncarnation === '') {
			previousIncarnation = this.#core.state.endpoints.get(change.endpoint)?.announcement.incarnation ?? '';
		}

		await this.#recordStep(change, to, change.kind === 'replace' && to !== 'finished' ? previousIncarnation : '');
	}

	async #recordStep(change: PlannedChange, to: ChangeStep, message: string): Promise<void> {
		const {events, steps, settings, metrics, clock} = this.#core.context;
		const outcome = await this.#core.proposeAsLeader({
			kind: 'advance-change', changeId: change.id, from: change.step, to, message, at: clock.now(),
		});
		if (!outcome?.ok) {
			return;
		}

		events.emit(to === 'failed' ? 'changeFailed' : 'changeStep', {
			change: change.id, kind: change.kind, endpoint: change.endpoint, step: to, message,
		});
		if (to === 'finished' || to === 'failed') {
			metrics.count('controller.changes', {kind: change.kind, outcome: to});
		}

		const stepPoint = ({
			draining: 'change.started', ordering: 'change.drained', restoring: 'change.ordered', finished: 'change.finished',
		} as const)[to as 'draining'];
		if (stepPoint) {
			await steps.onStep(stepPoint, settings.instance);
		}
	}

	/** Waits until the agent has no running or queued requests. After the drain limit the rest is handed over. */
	async #drain(change: PlannedChange, isStillLeader: () => boolean): Promise<boolean> {
		const {clock} = this.#core.context;
		const limitMs = Number(this.#core.state.readSetting('drain.limitSeconds').value) * msPerSecond;
		const startedAt = clock.monotonic();
		let lastSeenAt = startedAt;
		while (isStillLeader() && this.#core.state.changes.get(change.id)?.step === 'draining') {
			const connection = await this.#connect(change.endpoint);
			if (connection) {
				lastSeenAt = clock.monotonic();
				const isDrained = await this.#checkDrained(connection, {change, isOverLimit: clock.monotonic() - startedAt > limitMs});
				connection.close();
				if (isDrained) {
					return true;
				}
			} else if (clock.monotonic() - lastSeenAt > agentUnreachableTimeoutMs) {
				return true;
			}

			await clock.sleep(pollIntervalMs, this.#core.stopped.signal);
		}

		return false;
	}

	async #checkDrained(connection: PeerConnection, opts: {change: PlannedChange; isOverLimit: boolean}): Promise<boolean> {
		const progress = await connection.request('agent.progress', {}, {timeoutMs: callTimeoutMs});
		if (progress.isErr()) {
			return false;
		}

		const {running, queued, phase} = progress.value;
		if (running + queued > 0 && opts.isOverLimit) {
			await connection.request('agent.hand-over', {fence: this.#createFencingToken(opts.change)}, {timeoutMs: callTimeoutMs});
		}

		return phase !== 'serving' && running + queued === 0;
	}

	/** Sends the order until the agent confirms that the engine has executed it. */
	async #sendOrder(change: PlannedChange, isStillLeader: () => boolean): Promise<boolean> {
		const {clock} = this.#core.context;
		const startedAt = clock.monotonic();
		while (isStillLeader() && change.order) {
			const connection = await this.#connect(change.endpoint);
			const order = {
				fence: this.#createFencingToken(change), changeId: change.id, order: change.order, timeLimitMs: orderTimeLimitMs,
			};
			const reply = await connection?.request('agent.order', {order}, {timeoutMs: callTimeoutMs});
			connection?.close();
			if (reply?.isOk() && reply.value.done) {
				return true;
			}

			const isRefused = reply?.isOk() === true && !reply.value.accepted && reply.value.isFinal;
			if (isRefused || clock.monotonic() - startedAt > orderRetryTimeoutMs) {
				await this.#recordStep(change, 'failed', reply?.isOk() ? reply.value.message : 'The agent did not reply to the order before the timeout');
				return false;
			}

			await clock.sleep(pollIntervalMs, this.#core.stopped.signal);
		}

		return false;
	}

	/** Waits until a new engine process, with a new incarnation, serves the endpoint. */
	async #waitForReplacement(change: PlannedChange, isStillLeader: () => boolean): Promise<boolean> {
		const {clock} = this.#core.context;
		const previousIncarnation = change.message;
		while (isStillLeader()) {
			const currentIncarnation = this.#core.state.endpoints.get(change.endpoint)?.announcement.incarnation;
			if (currentIncarnation !== undefined && currentIncarnation !== previousIncarnation) {
				return true;
			}

			await clock.sleep(pollIntervalMs, this.#core.stopped.signal);
		}

		return false;
	}

	#createFencingToken(change: PlannedChange): {term: number; epoch: number; orderNumber: number} {
		return {term: this.#core.log.term, epoch: this.#core.state.endpoints.get(change.endpoint)?.epoch ?? 0, orderNumber: change.orderNumber};
	}

	async #connect(endpoint: string): Promise<PeerConnection | undefined> {
		const record = this.#core.state.endpoints.get(endpoint);
		if (!record) {
			return undefined;
		}

		const opened = await this.#core.context.peers.connect(record.agentAddress);
		return opened.isOk() ? opened.value : undefined;
	}
}
