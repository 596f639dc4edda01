/** Sends the answer of a service to its caller. */
import type {ServerResponse} from 'node:http';
import type {ServiceAnswer} from '@hickorytrack/types/work';

export function sendServiceAnswer(response: ServerResponse, {status, contentType, body, hasUnknownEnd}: ServiceAnswer, opts: {isReplayed: boolean}): void {
	if (hasUnknownEnd) {
		// A length would declare the answer complete.
		response.useChunkedEncodingByDefault = false;
		response.setHeader('connection', 'close');
	}

	response.writeHead(status, {'content-type': contentType, ...(opts.isReplayed && {'idempotency-replayed': 'true'})}).end(body);
}
