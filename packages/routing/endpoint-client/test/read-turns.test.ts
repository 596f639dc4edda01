import {Buffer} from 'node:buffer';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {SystemClock} from '@hickorytrack/clock/system-clock';
import type {SocketAddress} from '@hickorytrack/socket-address';
import {EndpointClient} from '../src/endpoint-client.js';
import {ReadTurns, type TurnReader} from '../src/read-turns.js';
import {unlimitedGrant} from '../src/send-grant.js';

const clock = new SystemClock();
const kib = 1024;
const answerBytes = 4 * kib * kib;

async function waitForNextTurn(): Promise<void> {
	await new Promise<void>(resolve => {
		setImmediate(resolve);
	});
}

// Small requests got no answer in time while eight callers read events of 50 KB as fast as a server sent them.
describe('answers that are sent without a pause', () => {
	let server: Server;
	let client: EndpointClient;

	beforeEach(async () => {
		const body = Buffer.alloc(answerBytes, 'x');
		server = createServer((_request, response) => {
			response.end(body);
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		client = new EndpointClient({clock, connectTimeoutMs: 500});
	});

	afterEach(() => {
		client.close();
		server.close();
	});

	/** Reads an answer and returns its size, and the most bytes of it that came in one turn of the event loop. */
	const read = async (pause?: (resume: () => void) => void) => new Promise<{bytes: number; mostInTurn: number; end: string}>(resolve => {
		let [bytes, turnBytes, mostInTurn] = [0, 0, 0];
		const sent = client.send(`127.0.0.1:${(server.address() as AddressInfo).port}` as SocketAddress, {
			callKind: 'run', method: 'GET', grant: unlimitedGrant, path: '/a', headers: ['host', 'a.example'], needsVerifiedConnection: false, connectionLimit: 100, identity: {expectedId: '1', readId: () => '1'},
		}, {
			onHead() {/* Only the body counts. */},
			onData(chunk) {
				if (turnBytes === 0) {
					setImmediate(() => {
						turnBytes = 0;
					});
				}

				bytes += chunk.length;
				turnBytes += chunk.length;
				mostInTurn = Math.max(mostInTurn, turnBytes);
				if (pause) {
					sent.pause();
					pause(() => {
						sent.resume();
					});
				}
			},
			onEnd() {
				resolve({bytes, mostInTurn, end: 'whole'});
			},
			onFailure(error) {
				resolve({bytes, mostInTurn, end: error.message});
			},
		});
	});

	it('are read in turns', async () => {
		const answers = await Promise.all(Array.from({length: 20}, async () => read()));
		for (const {bytes, mostInTurn, end} of answers) {
			expect({bytes, end}).to.deep.equal({bytes: answerBytes, end: 'whole'});
			expect(mostInTurn).to.be.at.most(256 * kib);
		}
	});

	it('stay paused for a reader that has paused them, and come whole', async () => {
		const answers = await Promise.all(Array.from({length: 20}, async () => read(resume => {
			void clock.sleep(1).then(resume);
		})));
		expect(answers.map(({bytes, end}) => ({bytes, end}))).to.deep.equal(answers.map(() => ({bytes: answerBytes, end: 'whole'})));
	});
});

describe('turns of readers', () => {
	const createReader = (resumed: string[], name: string): TurnReader => ({
		turn: -1, bytes: 0, resume() {
			resumed.push(name);
		},
	});

	it('stop a reader that has read enough, until the next turn', async () => {
		const [turns, resumed] = [new ReadTurns(), [] as string[]];
		const reader = createReader(resumed, 'a');
		expect(turns.record(reader, (64 * kib) - 1)).to.equal(true);
		await waitForNextTurn();
		expect(turns.record(reader, (64 * kib) - 1)).to.equal(true);
		expect(turns.record(reader, 1)).to.equal(false);
		expect(turns.has(reader)).to.equal(true);
		await waitForNextTurn();
		expect([resumed, turns.has(reader)]).to.deep.equal([['a'], false]);
	});

	it('resume a few readers each, in the order in which they stopped, and none that has ended', async () => {
		const [turns, resumed] = [new ReadTurns(), [] as string[]];
		const readers = Array.from({length: 20}, (_, index) => createReader(resumed, String(index)));
		for (const reader of readers) {
			turns.record(reader, 64 * kib);
		}

		turns.remove(readers[1]!);
		await waitForNextTurn();
		expect(resumed).to.deep.equal(['0', '2', '3', '4', '5', '6', '7', '8']);
		await waitForNextTurn();
		await waitForNextTurn();
		expect(resumed).to.have.length(19);
	});
});
