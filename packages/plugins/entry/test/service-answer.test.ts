import {createServer} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {expect} from 'chai';
import type {ServiceAnswer} from '@hickorytrack/types/work';
import {sendServiceAnswer} from '../src/service-answer.js';

/** Sends an answer and returns the bytes that the caller receives. */
async function readRaw(answer: ServiceAnswer): Promise<string> {
	const server = createServer((_request, response) => {
		sendServiceAnswer(response, answer, {isReplayed: false});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const text = await new Promise<string>(resolve => {
		const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
		let received = '';
		socket.on('data', chunk => {
			received += chunk.toString();
			if ((answer.hasUnknownEnd === true && received.endsWith(answer.body)) || received.endsWith('\r\n0\r\n\r\n')) {
				socket.end();
			}
		});
		socket.on('close', () => {
			resolve(received.toLowerCase());
		});
		socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
	});
	server.close();
	return text;
}

describe('answers of services to callers', () => {
	const answer = {status: 200, contentType: 'text/plain', body: 'maybe cut'};

	// An answer that only the end of the service's connection had delimited got chunks, which declared it complete.
	it('get neither a length nor chunks if the service gave none', async () => {
		const text = await readRaw({...answer, hasUnknownEnd: true});
		expect(text).not.to.match(/content-length|chunked/);
		expect(text).to.match(/connection: close\r\n/).and.to.match(/maybe cut$/);
	});

	it('are declared complete otherwise', async () => {
		expect(await readRaw(answer)).to.match(/transfer-encoding: chunked\r\n/).and.to.match(/maybe cut\r\n0\r\n\r\n$/);
	});
});
