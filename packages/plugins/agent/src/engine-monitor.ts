/**
 * Monitors the engine. One task polls its description, registers the endpoint when the description changed, and detects a
 * new engine process. The monitor also decides whether a failed request was caused by a crash of the engine. An engine that
 * leaves a query unanswered may be sound: no work starts on it until it answers, and what it has or what waits for it stays.
 */
import type {Clock} from '@hickorytrack/clock';
import type {ControlClient} from '@hickorytrack/control-client';
import type {HickorytrackError} from '@hickorytrack/errors';
import type {FenceGuard} from '@hickorytrack/fence';
import type {ProcessContext} from '@hickorytrack/kernel/plugin';
import type {EngineAdapter, EngineDescription} from '@hickorytrack/types/engine-adapter';

const pollIntervalMs = 1000;
const retryIntervalMs = 100;
const crashCheckAttempts = 3;
const crashCheckIntervalMs = 60;

export type EngineMonitorOptions = {
	context: ProcessContext;
	control: ControlClient;
	adapter: EngineAdapter;
	guard: FenceGuard;
	/** Called when the engine does not answer or another process has replaced it. */
	onLost: () => void;
	onReady: () => void;
};

export class EngineMonitor {
	readonly #opts: EngineMonitorOptions;
	readonly #clock: Clock;
	readonly #abortController = new AbortController();
	#sleepAbortController = new AbortController();
	#description: EngineDescription | undefined;
	#registeredText: string | undefined;
	#answeredAt = 0;
	#isSilent = false;
	#ordersAllowedAt = Number.POSITIVE_INFINITY;

	constructor(opts: EngineMonitorOptions) {
		this.#opts = opts;
		this.#clock = opts.context.clock;
	}

	/** The last description that the engine returned; `undefined` while it is unreachable, but kept while it is silent. */
	get description(): EngineDescription | undefined {
		return this.#description;
	}

	/** Whether the engine answered the last query. */
	get isAnswering(): boolean {
		return this.#description !== undefined && !this.#isSilent;
	}

	/** Milliseconds until orders of the current epoch may be written. */
	get orderWaitMs(): number {
		return Math.max(0, this.#ordersAllowedAt - this.#clock.monotonic());
	}

	start(): void {
		void this.#run();
	}

	stop(): void {
		this.#abortController.abort();
		this.#sleepAbortController.abort();
	}

	/** Polls the engine at once; with `registerAgain`, registers the endpoint again even if nothing changed. */
	refresh(opts: {registerAgain?: boolean} = {}): void {
		if (opts.registerAgain) {
			this.#registeredText = undefined;
		}

		this.#sleepAbortController.abort();
	}

	/**
	 * Returns whether the engine process with this incarnation is gone: another process answers, or none can be reached. Silence
	 * shows neither.
	 */
	async checkCrash(incarnation: string): Promise<boolean> {
		let isReachable = true;
		for (let check = 0; check < crashCheckAttempts; check++) {
			const described = await this.#opts.adapter.describe();
			if (described.isOk()) {
				return described.value.incarnation !== incarnation;
			}

			isReachable = isSilence(described.error);
			await this.#clock.sleep(crashCheckIntervalMs, this.#abortController.signal);
		}

		return !isReachable;
	}

	handleLoss(): void {
		this.#isSilent = false;
		if (this.#description) {
			this.#description = undefined;
			this.#registeredText = undefined;
			this.#opts.onLost();
		}

		this.refresh();
	}

	async #run(): Promise<void> {
		let wasMissing = false;
		while (!this.#abortController.signal.aborted) {
			this.#sleepAbortController = new AbortController();
			const described = await this.#opts.adapter.describe();
			let isMissing = false;
			if (described.isOk()) {
				await this.#handleDescription(described.value);
			} else if (this.#description && isSilence(described.error)) {
				this.#recordSilence(described.error);
			} else {
				isMissing = true;
				this.handleLoss();
				this.#sleepAbortController = new AbortController();
				if (!wasMissing) {
					this.#opts.context.events.emit('engineMissing', {message: described.error.message});
				}
			}

			wasMissing = isMissing;
			await this.#clock.sleep(this.#isSilent || this.#registeredText === undefined ? retryIntervalMs : pollIntervalMs, this.#sleepAbortController.signal);
		}
	}

	#recordSilence(error: HickorytrackError): void {
		if (!this.#isSilent) {
			this.#isSilent = true;
			this.#opts.context.events.emit('engineFellSilent', {silentMs: this.#computeSilentMs(), limit: error.message});
		}
	}

	#recordAnswer(): void {
		if (this.#isSilent) {
			this.#isSilent = false;
			this.#opts.context.events.emit('engineAnswersAgain', {silentMs: this.#computeSilentMs()});
		}

		this.#answeredAt = this.#clock.monotonic();
	}

	#computeSilentMs(): number {
		return Math.round(this.#clock.monotonic() - this.#answeredAt);
	}

	async #handleDescription(description: EngineDescription): Promise<void> {
		const isNewProcess = this.#description !== undefined && this.#description.incarnation !== description.incarnation;
		if (isNewProcess) {
			this.handleLoss();
		}

		this.#recordAnswer();
		this.#description = description;
		// The rate may change with each answer and is kept here only.
		const {maxRequestsPerSecond: _maxRequestsPerSecond, ...announced} = description;
		const text = JSON.stringify(announced);
		if (text !== this.#registeredText && await this.#register(announced)) {
			this.#registeredText = text;
		}

		this.#opts.onReady();
	}

	async #register(description: EngineDescription): Promise<boolean> {
		const {context, control, guard} = this.#opts;
		const {settings, peers, events} = context;
		const grant = await control.register({
			announcement: {...description, endpoint: settings.endpoint, availabilityZone: settings.availabilityZone},
			agent: settings.instance,
			agentIncarnation: peers.member.incarnation,
			agentAddress: peers.member.address,
		});
		if (grant.isErr()) {
			return false;
		}

		if (guard.epoch !== grant.value.epoch) {
			this.#ordersAllowedAt = this.#clock.monotonic() + grant.value.waitMs;
		}

		guard.updateEpoch(grant.value.epoch);
		events.emit('endpointAnnounced', {endpoint: settings.endpoint, epoch: grant.value.epoch, role: description.role});
		return true;
	}
}

function isSilence(error: HickorytrackError): boolean {
	return error.code === 'ERR_HICKORYTRACK_ENGINE_SILENT';
}
