/**
 * Carries planned changes out at the leader: one task per change, written straight down. Each step is in the log before
 * it is acted on, and each order carries the number that the change got at its start, so a new leader goes on where the
 * old one stopped and a repeated order changes nothing.
 */
import type {PeerConnection} from '@hickorytrack/peer-link/peer-connection';
import type {ChangeStep, PlannedChange} from '@hickorytrack/types/control';
import {findNextStep, isEnded} from '@hickorytrack/control-state/planned-change';
import type {ControllerCore} from './controller-core.js';

const scanMs = 100;
const pollMs = 100;
const msPerSecond = 1000;
/** An agent that can't be reached for this long has nothing left to drain. */
const agentGoneMs = 10_000;
const orderTimeLimitMs = 1000;
const orderPatienceMs = 120_000;
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

			await clock.sleep(scanMs, this.#core.stopped.signal);
		}
	}

	/** Runs one change until it has ended or this member no longer leads. */
	async #run(id: string): Promise<void> {
		const {term} = this.#core.log;
		const isMine = () => this.#core.log.isLeader && this.#core.log.term === term && !this.#core.stopped.signal.aborted;
		while (isMine()) {
			const change = this.#core.state.changes.get(id);
			if (!change || isEnded(change)) {
				return;
			}

			const isReady = await this.#work({...change}, isMine);
			if (isReady && isMine()) {
				await this.#advance({...change});
			}

			await this.#core.context.clock.sleep(pollMs, this.#core.stopped.signal);
		}
	}

	/** Does the work of the step that the change is at; true when it may go on to the next one. */
	async #work(change: PlannedChange, isMine: () => boolean): Promise<boolean> {
		switch (change.step) {
			case 'draining': {
				return this.#drain(change, isMine);
			}

			case 'ordering': {
				return change.kind === 'replace' ? this.#awaitReplacement(change, isMine) : this.#order(change, isMine);
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

		// The message of a replacement keeps the incarnation that is to be replaced.
		let before = change.message;
		if (before === '') {
			before = this.#core.state.endpoints.get(change.endpoint)?.announcement.incarnation ?? '';
		}

		await this.#move(change, to, change.kind === 'replace' && to !== 'finished' ? before : '');
	}

	async #move(change: PlannedChange, to: ChangeStep, message: string): Promise<void> {
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

		const step = ({
			draining: 'change.started', ordering: 'change.drained', restoring: 'change.ordered', finished: 'change.finished',
		} as const)[to as 'draining'];
		if (step) {
			await steps.onStep(step, settings.instance);
		}
	}

	/** Waits until the agent has nothing in hand; long streams are handed over at the limit. */
	async #drain(change: PlannedChange, isMine: () => boolean): Promise<boolean> {
		const {clock} = this.#core.context;
		const limitMs = Number(this.#core.state.readSetting('drain.limitSeconds').value) * msPerSecond;
		const startedAt = clock.monotonic();
		let lastSeenAt = startedAt;
		while (isMine() && this.#core.state.changes.get(change.id)?.step === 'draining') {
			const connection = await this.#connect(change.endpoint);
			if (connection) {
				lastSeenAt = clock.monotonic();
				const isDone = await this.#checkDrained(connection, {change, isOverLimit: clock.monotonic() - startedAt > limitMs});
				connection.close();
				if (isDone) {
					return true;
				}
			} else if (clock.monotonic() - lastSeenAt > agentGoneMs) {
				return true;
			}

			await clock.sleep(pollMs, this.#core.stopped.signal);
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
			await connection.request('agent.hand-over', {fence: this.#createFence(opts.change)}, {timeoutMs: callTimeoutMs});
		}

		return phase !== 'serving' && running + queued === 0;
	}

	/** Sends the order until the agent says that the engine has carried it out. */
	async #order(change: PlannedChange, isMine: () => boolean): Promise<boolean> {
		const {clock} = this.#core.context;
		const startedAt = clock.monotonic();
		while (isMine() && change.order) {
			const connection = await this.#connect(change.endpoint);
			const order = {
				fence: this.#createFence(change), changeId: change.id, order: change.order, timeLimitMs: orderTimeLimitMs,
			};
			const reply = await connection?.request('agent.order', {order}, {timeoutMs: callTimeoutMs});
			connection?.close();
			if (reply?.isOk() && reply.value.done) {
				return true;
			}

			const isRefused = reply?.isOk() === true && !reply.value.accepted && reply.value.isFinal;
			if (isRefused || clock.monotonic() - startedAt > orderPatienceMs) {
				await this.#move(change, 'failed', reply?.isOk() ? reply.value.message : 'The agent could not be reached');
				return false;
			}

			await clock.sleep(pollMs, this.#core.stopped.signal);
		}

		return false;
	}

	/** Waits until a new engine process stands behind the endpoint. */
	async #awaitReplacement(change: PlannedChange, isMine: () => boolean): Promise<boolean> {
		const {clock} = this.#core.context;
		const before = change.message;
		while (isMine()) {
			const now = this.#core.state.endpoints.get(change.endpoint)?.announcement.incarnation;
			if (now !== undefined && now !== before) {
				return true;
			}

			await clock.sleep(pollMs, this.#core.stopped.signal);
		}

		return false;
	}

	#createFence(change: PlannedChange): {term: number; epoch: number; orderNumber: number} {
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
