/** Breaks off answers that have begun. */
import type {ServerResponse} from 'node:http';
import type {Clock} from '@hickorytrack/clock';

/** Callers on Node.js take a reset that arrives together with the last bytes for an orderly close. */
const resetDelayMs = 20;

/** Breaks the connection of a response that has begun, so that the answer does not look complete. */
export function breakOff(response: ServerResponse, clock: Clock): void {
	const {socket} = response;
	if (!socket) {
		response.destroy();
		return;
	}

	if (response.chunkedEncoding) {
		if (socket.writableLength === 0) {
			// A connection that is closed with unread input is reset, and an earlier answer that its caller has not read is lost.
			socket.destroySoon();
		} else {
			response.destroy();
		}

		return;
	}

	// An orderly close would end the answer.
	clock.startTimer(resetDelayMs, () => {
		socket.resetAndDestroy();
	});
}
