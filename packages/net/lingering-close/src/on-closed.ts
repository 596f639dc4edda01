/** Watches the end of a response. */
import type {ServerResponse} from 'node:http';

/** Calls the listener when the response is complete, or can't be any more since its connection has closed or its sending side has ended. */
export function onClosed(response: ServerResponse, listener: () => void): void {
	const {socket} = response.req;
	let isClosed = false;
	const finish = () => {
		if (!isClosed) {
			isClosed = true;
			socket.off('close', finish);
			socket.off('finish', finish);
			listener();
		}
	};

	response.once('close', finish);
	// A response that waits behind another one on its connection does not emit the event when the connection closes.
	socket.once('close', finish);
	socket.once('finish', finish);
}
