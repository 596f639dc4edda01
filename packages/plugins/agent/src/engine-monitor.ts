/**
 * Watches the engine: one task asks it about itself, announces the endpoint when something changed, and notices a new
 * engine process. It also judges whether a failed request was a crash of the engine.
 */
import type {Clock} from '@hickorytrack/clock';
import type {ControlClient} from '@hickorytrack/control-client';
import type {FenceGuard} from '@hickorytrack/fence';
import type {ProcessContext} from '@hickorytrack/kernel/plugin';
import type {EngineAdapter, EngineDescription} from '@hickorytrack/types/engine-adapter';

const watchMs = 1000;
const retryMs = 100;
const crashChecks = 3;
const crashCheckMs = 60;

export type EngineMonitorOptions = {
	context: ProcessContext;
	control: ControlClient;
	adapter: EngineAdapter;
	guard: FenceGuard;
	/** Called when the engine is gone or another process stands in its place. */
	onLost: () => void;
	onReady: () => void;
};

export class EngineMonitor {
	readonly #opts: EngineMonitorOptions;
	readonly #clock: Clock;
	readonly #stopped = new AbortController();
	#wake = new AbortController();
	#description: EngineDescription | undefined;
	#announced: string | undefined;
	#ordersAllowedAt = Number.POSITIVE_INFINITY;

	constructor(opts: EngineMonitorOptions) {
		this.#opts = opts;
		this.#clock = opts.context.clock;
	}

	/** What the engine last said about itself, while it is there. */
	get description(): EngineDescription | undefined {
		return this.#description;
	}

	/** Milliseconds until orders of the present epoch may be written. */
	get orderWaitMs(): number {
		return Math.max(0, this.#ordersAllowedAt - this.#clock.monotonic());
	}

	start(): void {
		void this.#run();
	}

	stop(): void {
		this.#stopped.abort();
		this.#wake.abort();
	}

	/** Looks again at once, and announces again when asked to. */
	refresh(opts: {registerAgain?: boolean} = {}): void {
		if (opts.registerAgain) {
			this.#announced = undefined;
		}

		this.#wake.abort();
	}

	/** Tells whether the engine process that served `incarnation` is gone. */
	async checkCrash(incarnation: string): Promise<boolean> {
		for (let check = 0; check < crashChecks; check++) {
			const described = await this.#opts.adapter.describe();
			if (described.isOk()) {
				return described.value.incarnation !== incarnation;
			}

			await this.#clock.sleep(crashCheckMs, this.#stopped.signal);
		}

		return true;
	}

	handleLoss(): void {
		if (this.#description) {
			this.#description = undefined;
			this.#announced = undefined;
			this.#opts.onLost();
		}

		this.refresh();
	}

	async #run(): Promise<void> {
		let wasMissing = false;
		while (!this.#stopped.signal.aborted) {
			this.#wake = new AbortController();
			const described = await this.#opts.adapter.describe();
			if (described.isErr()) {
				this.handleLoss();
				this.#wake = new AbortController();
				if (!wasMissing) {
					this.#opts.context.events.emit('engineMissing', {message: described.error.message});
				}
			} else {
				await this.#noteDescription(described.value);
			}

			wasMissing = described.isErr();
			await this.#clock.sleep(this.#announced === undefined ? retryMs : watchMs, this.#wake.signal);
		}
	}

	async #noteDescription(description: EngineDescription): Promise<void> {
		const isOther = this.#description !== undefined && this.#description.incarnation !== description.incarnation;
		if (isOther) {
			this.handleLoss();
		}

		this.#description = description;
		const text = JSON.stringify(description);
		if (text !== this.#announced && await this.#announce(description)) {
			this.#announced = text;
		}

		this.#opts.onReady();
	}

	async #announce(description: EngineDescription): Promise<boolean> {
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

		guard.grantEpoch(grant.value.epoch);
		events.emit('endpointAnnounced', {endpoint: settings.endpoint, epoch: grant.value.epoch, role: description.role});
		return true;
	}
}
