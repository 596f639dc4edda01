import {createServer, type AddressInfo, type Server} from 'node:net';
import {expect} from 'chai';
import {sendCall} from '../src/http-call.js';

describe('calls to HTTP servers', () => {
	let server: Server;
	let answer = '';

	beforeEach(async () => {
		server = createServer(socket => {
			socket.on('error', () => {
				// The client resets connections whose answers it gives up.
			});
			socket.once('data', () => {
				socket.end(answer);
			});
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
	});

	afterEach(() => {
		server.close();
	});

	// Guards against an adapter that takes the answer of a server in trouble for an answer, or waits for one behind it.
	for (const status of ['000', '099', '600', '999']) {
		it(`fail on an answer with the status ${status}`, async () => {
			answer = `HTTP/1.1 ${status} Trouble\r\nContent-Length: 2\r\n\r\nok`;
			const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/`;
			let message = '';
			try {
				await sendCall(url, {maxBodyBytes: 100, timeoutMs: 2000});
			} catch (error) {
				({message} = error as Error);
			}

			expect(message).to.include('status');
		});
	}
});
