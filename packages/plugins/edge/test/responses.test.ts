import {Buffer} from 'node:buffer';
import {createServer, type Server} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {expect} from 'chai';
import type {ResponseHead} from '@hickorytrack/endpoint-client';
import {forwardResponse} from '../src/responses.js';

/** Serves one response and returns the bytes that a caller receives. */
async function readRaw(head: ResponseHead, body: string): Promise<string> {
	const server: Server = createServer((_request, response) => {
		forwardResponse(response, head, Buffer.from(body));
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const text = await new Promise<string>(resolve => {
		const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
		let received = '';
		socket.on('data', chunk => {
			received += chunk.toString();
			if (received.endsWith(body)) {
				socket.end();
			}
		});
		socket.on('close', () => {
			resolve(received);
		});
		socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
	});
	server.close();
	return text;
}

describe('responses', () => {
	it('adds no content-length to a response that its connection delimited', async () => {
		const text = await readRaw({status: 200, headers: {'x-any': 's', connection: 'close'}}, 'maybe cut');
		expect(text.toLowerCase()).not.to.match(/content-length|chunked/);
		expect(text).to.match(/connection: close\r\n/i).and.to.match(/maybe cut$/);
	});

	it('sends a complete response with its content-length', async () => {
		const text = await readRaw({status: 200, headers: {'content-length': '5', 'keep-alive': 'timeout=77'}}, 'whole');
		expect(text).to.match(/content-length: 5\r\n/i);
		expect(text).not.to.match(/timeout=77\r\n/i);
	});
});
