import {err, type Result} from 'neverthrow';
import type {ManualClock} from '@hickorytrack/clock/manual-clock';
import {
	LogStorageError, type LogRecord, type SnapshotRecord, type VoteState,
} from '@hickorytrack/log-storage';
import {MemoryLogStorage} from '@hickorytrack/log-storage/memory-log-storage';

const syncDelayMs = 5;

/** Simulated disk whose sync takes some milliseconds; writes that are not synced are lost on a power loss. */
export class ModelDisk extends MemoryLogStorage {
	readonly #clock: ManualClock;
	#powerLosses = 0;

	constructor(folder: string, clock: ManualClock) {
		super(folder);
		this.#clock = clock;
	}

	simulatePowerLoss(): void {
		this.#powerLosses++;
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
		const powerLosses = this.#powerLosses;
		await this.#clock.sleep(syncDelayMs);
		return powerLosses === this.#powerLosses ? write() : err(new LogStorageError('ERR_HICKORYTRACK_LOG_IO', 'Power loss before the sync'));
	}
}
