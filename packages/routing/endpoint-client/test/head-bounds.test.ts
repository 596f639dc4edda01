import {createServer, type AddressInfo, type Server} from 'node:net';
import {expect} from 'chai';
import {SystemClock} from '@hickorytrack/clock/system-clock';
import {ByteBudget} from '@hickorytrack/http-answer/byte-budget';
import type {SocketAddress} from '@hickorytrack/socket-address';
import {EndpointClient} from '../src/endpoint-client.js';
import {unlimitedGrant} from '../src/send-grant.js';

const clock = new SystemClock();
const limit = 100_000;
const oneHead = `HTTP/1.1 200 OK\r\nContent-Length: 2\r\n${'a: b\r\n'.repeat(200)}`;

describe('heads of answers together', () => {
	let client: EndpointClient;
	let server: Server;
	let budget: ByteBudget;
	let text: string;

	beforeEach(async () => {
		budget = new ByteBudget(limit);
		client = new EndpointClient({clock, connectTimeoutMs: 500, headBound: budget});
		server = createServer(socket => {
			socket.on('error', () => {
				// The client resets connections on purpose.
			});
			socket.on('data', () => {
				socket.write(text);
			});
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
	});

	afterEach(() => {
		client.close();
		server.close();
	});

	const send = async () => new Promise<string>(resolve => {
		client.send(`127.0.0.1:${(server.address() as AddressInfo).port}` as SocketAddress, {
			callKind: 'run', method: 'GET', grant: unlimitedGrant, path: '/', headers: [], needsVerifiedConnection: false, connectionLimit: 10, identity: {expectedId: '1', readId: () => '1'},
		}, {
			onHead() {/* The end tells. */}, onData() {/* The end tells. */}, onEnd() {
				resolve('ended');
			}, onFailure(error) {
				resolve(error.message);
			},
		});
	});

	const isAllReleased = () => budget.acquire(limit);

	it('release their room when an answer has ended', async () => {
		text = `${oneHead}\r\nok`;
		for (let count = 0; count < 10; count++) {
			expect(await send()).to.equal('ended');
		}

		expect(isAllReleased()).to.equal(true);
	});

	// One faulty server ended a process with the heads of a few dozen answers.
	it('fail the answer for whose head there is no room, and release all of it', async () => {
		text = oneHead;
		const results: string[] = [];
		const calls = Array.from({length: 4}, async () => {
			results.push(await send());
		});
		while (results.length < 3) {
			await clock.sleep(5);
		}

		expect(results.every(result => result.includes('heads together may take'))).to.equal(true);
		client.close();
		await Promise.all(calls);
		while (!isAllReleased()) {
			await clock.sleep(5);
		}
	});
});
