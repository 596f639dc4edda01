import {Buffer} from 'node:buffer';
import {createServer, type Server} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {expect} from 'chai';
import type {ResponseHead} from '@hickorytrack/endpoint-client';
import {forwardResponse, writeUndelimitedHead} from '../src/front/responses.js';

/** Serves one response and returns the bytes that a caller receives. */
async function readRaw(head: ResponseHead, body: string, {isStream = false, version = '1.1'} = {}): Promise<string> {
	const server: Server = createServer((_request, response) => {
		if (isStream) {
			writeUndelimitedHead(response, head);
			response.end(body);
		} else {
			forwardResponse(response, head, Buffer.from(body));
		}
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const text = await new Promise<string>(resolve => {
		const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
		let received = '';
		socket.on('data', chunk => {
			received += chunk.toString();
			if (received.endsWith(body) || received.endsWith('\r\n0\r\n\r\n')) {
				socket.end();
			}
		});
		socket.on('close', () => {
			resolve(received);
		});
		socket.write(`GET / HTTP/${version}\r\nHost: a\r\n\r\n`);
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

	it('sends a stream in chunks if its server delimits it, and to a caller of HTTP/1.0 without them', async () => {
		for (const headers of [{}, {connection: 'close'}, {'content-length': '5'}, {'transfer-encoding': 'chunked'}]) {
			const head = {status: 200, headers};
			const isDelimited = 'content-length' in headers || 'transfer-encoding' in headers;
			const text = (await readRaw(head, 'event', {isStream: true})).toLowerCase();
			expect(text).to.match(isDelimited ? /transfer-encoding: chunked\r\n[^]*\r\n0\r\n\r\n$/ : /connection: close\r\n[^]*\r\n\r\nevent$/).and.not.to.match(/content-length/);
			const old = (await readRaw(head, 'event', {isStream: true, version: '1.0'})).toLowerCase();
			expect(old).to.match(/connection: close\r\n/).and.to.match(/\r\n\r\nevent$/).and.not.to.match(/content-length|chunked/);
		}
	});

	it('sends a complete response with its content-length', async () => {
		const text = await readRaw({status: 200, headers: {'content-length': '5', 'keep-alive': 'timeout=77'}}, 'whole');
		expect(text).to.match(/content-length: 5\r\n/i);
		expect(text).not.to.match(/timeout=77\r\n/i);
	});
});
