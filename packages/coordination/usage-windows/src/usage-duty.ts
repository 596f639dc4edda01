/** The duty to report usage: the oldest decided window first, until it was accepted. */
import type {Duty} from '@hickorytrack/singleton-duty/duty';
import type {WorkspaceCount} from '@hickorytrack/types/peer-methods';
import type {UsageCommand, UsageStore} from './usage-store.js';

/** What is reported of a window; the counts are sorted by name. */
export type WindowReport = {readonly window: number; readonly counts: readonly WorkspaceCount[]};

export type UsageDutyOptions = {
	store: Pick<UsageStore, 'findWaiting'>;
	/** Appends a command to the replicated log; resolves with false without a confirmation. */
	propose: (command: UsageCommand) => Promise<boolean>;
};

export class UsageDuty implements Duty<WindowReport> {
	readonly name = 'usage';
	readonly #opts: UsageDutyOptions;

	constructor(opts: UsageDutyOptions) {
		this.#opts = opts;
	}

	findCall(): WindowReport | undefined {
		const waiting = this.#opts.store.findWaiting();
		return waiting && {window: waiting.window, counts: waiting.counts};
	}

	/** Without a confirmation the window is sent again, which is harmless. */
	async handleAccepted({window}: WindowReport): Promise<void> {
		await this.#opts.propose({kind: 'usage-windows', accepted: window});
	}
}
