/**
 * Counts this instance's usage and reports it to the leader of the core: every second what has changed, and right after the end
 * of a window, so that the leader need not wait for the rest of a second.
 */
import type {BackgroundTasks} from '@hickorytrack/background-tasks';
import type {Clock} from '@hickorytrack/clock';
import type {Mesh} from '@hickorytrack/mesh';
import type {ConfigurationFollower} from '@hickorytrack/route-store/configuration-follower';
import {peerFeatures} from '@hickorytrack/types/peer-methods';
import {UsageCounter} from '@hickorytrack/usage-windows/usage-counter';
import type {UsageWindows} from '@hickorytrack/usage-windows';

export type UsageLinkOptions = {
	clock: Clock;
	tasks: BackgroundTasks;
	mesh: Mesh;
	configuration: Pick<ConfigurationFollower, 'findLeaderConnection'>;
	windowMs: number;
	incarnation: string;
};

const reportIntervalMs = 1000;
/** A report is sent this long after the end of a window, as timers may fire a little early. */
const afterEndMs = 5;
const callTimeoutMs = 900;

export class UsageLink {
	readonly counter: UsageCounter;
	readonly #opts: UsageLinkOptions;

	constructor(opts: UsageLinkOptions) {
		this.#opts = opts;
		this.counter = new UsageCounter({clock: opts.clock, windowMs: opts.windowMs, sender: opts.incarnation});
	}

	/** Answers the reports of the other instances; without the leader's part, they get no term. */
	answer(windows: UsageWindows | undefined): void {
		this.#opts.mesh.peers.handle('usage.report', report => windows?.collect(report) ?? {});
	}

	/** Returns what counts a caller's request, once; undefined for a request of no workspace. */
	createRunCount(workspace: string | undefined): (() => void) | undefined {
		if (workspace === undefined) {
			return undefined;
		}

		let isCounted = false;
		return () => {
			if (!isCounted) {
				isCounted = true;
				this.counter.count(workspace);
			}
		};
	}

	async run(signal: AbortSignal): Promise<void> {
		const {clock} = this.#opts;
		while (!signal.aborted) {
			await clock.sleep(Math.min(reportIntervalMs, this.counter.windowEndsInMs + afterEndMs), signal);
			// A new leader asks for all totals in its answer to the first report.
			if (!signal.aborted && await this.#report()) {
				await this.#report();
			}
		}
	}

	/** Sends what has not been sent, before this instance stops. */
	async finish(): Promise<void> {
		await this.#report();
	}

	/** Sends a report. Returns whether another one is due at once. */
	async #report(): Promise<boolean> {
		const connection = this.#opts.configuration.findLeaderConnection();
		const report = connection?.remote.features?.includes(peerFeatures.usageWindows) ? this.counter.createReport() : undefined;
		const reply = report && await connection?.request('usage.report', report, {timeoutMs: callTimeoutMs});
		return reply?.isOk() ? this.counter.handleReply(report!, reply.value) : false;
	}
}
