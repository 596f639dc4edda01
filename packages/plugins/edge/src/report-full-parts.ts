/** Logs which part of the memory account is full, and who holds most of it. */
import type {ByteAccount, PartName} from '@hickorytrack/byte-account';
import type {Clock} from '@hickorytrack/clock';
import type {RateLimitedEventLog} from './front/rate-limited-event-log.js';

/** Least time between two lines about one part, in milliseconds. */
const intervalMs = 10_000;

export function reportFullParts(account: ByteAccount, {clock, events}: {clock: Clock; events: Pick<RateLimitedEventLog, 'emit'>}): void {
	const reportedAt = new Map<PartName, number>();
	account.onFull(name => {
		const now = clock.monotonic();
		if (now - (reportedAt.get(name) ?? Number.NEGATIVE_INFINITY) < intervalMs) {
			return;
		}

		reportedAt.set(name, now);
		const {held, limit, waiting, waits, refusals, largestHolder} = account.getPart(name);
		events.emit('bytesHeldUp', {
			part: name, held, limit, accountHeld: account.held, accountLimit: account.limit, waiting, waits, refusals, holder: largestHolder?.holder, holderBytes: largestHolder?.bytes,
		});
	});
}
