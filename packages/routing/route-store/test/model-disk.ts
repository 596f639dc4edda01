import {err, type Result} from 'neverthrow';
import type {ManualClock} from '@hickorytrack/clock/manual-clock';
import {
	LogStorageError, type LogRecord, type SnapshotRecord, type VoteState,
} from '@hickorytrack/log-storage';
import {MemoryLogStorage} from '@hickorytrack/log-storage/memory-log-storage';

const syncMs = 5;

/** A disk that takes some milliseconds to sync; what was not synced is lost with the power. */
export class ModelDisk extends MemoryLogStorage {
	readonly #clock: ManualClock;
	#powerCuts = 0;

	constructor(folder: string, clock: ManualClock) {
		super(folder);
		this.#clock = clock;
	}

	simulatePowerLoss(): void {
		this.#powerCuts++;
	}

	override async saveVote(vote: VoteState): Promise<Result<void, LogStorageError>> {
		return this.#sync(async () => super.saveVote(vote));
	}

	override async append(records: readonly LogRecord[]): Promise<Result<void, LogStorageError>> {
		return this.#sync(async () => super.append(records));
	}

	override async truncateFrom(index: number): Promise<Result<void, LogStorageError>> {
		return this.#sync(async () => super.truncateFrom(index));
	}

	override async saveSnapshot(snapshot: SnapshotRecord, remaining: readonly LogRecord[]): Promise<Result<void, LogStorageError>> {
		return this.#sync(async () => super.saveSnapshot(snapshot, remaining));
	}

	async #sync(write: () => Promise<Result<void, LogStorageError>>): Promise<Result<void, LogStorageError>> {
		const cuts = this.#powerCuts;
		await this.#clock.sleep(syncMs);
		return cuts === this.#powerCuts ? write() : err(new LogStorageError('ERR_HICKORYTRACK_LOG_IO', 'The power was lost before the sync'));
	}
}
