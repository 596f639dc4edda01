import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {expect} from 'chai';
import {SystemClock} from '@hickorytrack/clock/system-clock';
import {EventRelay} from '../src/streams/event-relay.js';

/** Returns what a caller receives until the text has arrived or its connection has closed. */
async function readResponse(use: (relay: EventRelay) => void, isComplete: (text: string) => boolean): Promise<string> {
	const server = createServer((_request, response) => {
		use(new EventRelay(response, {clock: new SystemClock(), isResumable: true}));
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
	socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
	let text = '';
	await new Promise<void>(resolve => {
		socket.on('data', chunk => {
			text += chunk.toString();
			if (isComplete(text)) {
				resolve();
			}
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			resolve();
		});
	});
	socket.destroy();
	server.closeAllConnections();
	server.close();
	return text;
}

describe('head of a relayed stream', () => {
	const head = {status: 200, headers: {'content-type': 'text/event-stream', 'transfer-encoding': 'chunked'}};
	const event = 'id: 1\ndata: a\n\n';

	// The head waits for the events that arrive with it, and must not wait for later ones.
	it('is sent without an event', async () => {
		const text = await readResponse(relay => {
			relay.open(head);
		}, received => received.includes('\r\n\r\n'));
		expect(text).to.match(/^HTTP\/1\.1 200 /);
	});

	it('is sent with the events that have arrived with it', async () => {
		const text = await readResponse(relay => {
			relay.open(head);
			relay.write(Buffer.from(event));
		}, received => received.includes(event));
		expect(text).to.match(/^HTTP\/1\.1 200 /).and.include(event);
	});

	// A caller that has got no head takes the request for one that has not begun.
	it('is sent before a break that follows at once', async () => {
		const text = await readResponse(relay => {
			relay.open(head);
			relay.abort();
		}, () => false);
		expect(text).to.match(/^HTTP\/1\.1 200 /);
		expect(text.endsWith('0\r\n\r\n')).to.equal(false);
	});
});
