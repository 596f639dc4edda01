/**
 * Keeps the bans in the replicated log as they are in memory. The leader of the core writes them; every other instance has told
 * it of the crashes and of the answers that end a ban.
 */
import type {Clock} from '@hickorytrack/clock';
import type {CrashAttribution} from './crash-attribution.js';
import type {BanCommand, BanRecord, BanStore} from './ban-store.js';

export type BanKeeperOptions = {
	clock: Clock;
	attribution: Pick<CrashAttribution, 'listBanRecords'>;
	store: Pick<BanStore, 'list' | 'has'>;
	/** Tells whether this instance leads the core, and all members of the core know such records. */
	canStore: () => boolean;
	/** Appends a command to the replicated log; resolves with false without a confirmation. */
	propose: (command: BanCommand) => Promise<boolean>;
};

const intervalMs = 100;

export class BanKeeper {
	readonly #opts: BanKeeperOptions;

	constructor(opts: BanKeeperOptions) {
		this.#opts = opts;
	}

	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await this.#opts.clock.sleep(intervalMs, signal);
			await this.update();
		}
	}

	/** Writes what differs; without a difference nothing. */
	async update(): Promise<void> {
		const {clock, attribution, store, canStore, propose} = this.#opts;
		if (!canStore()) {
			return;
		}

		const at = clock.now();
		const bans = attribution.listBanRecords(at);
		const banned = new Set(bans.map(({trait}) => trait));
		const put = bans.filter(ban => !store.has(ban));
		const removed = store.list().map(({trait}: BanRecord) => trait).filter(trait => !banned.has(trait));
		if (put.length > 0 || removed.length > 0) {
			await propose({
				kind: 'crash-bans', at, put, removed,
			});
		}
	}
}
