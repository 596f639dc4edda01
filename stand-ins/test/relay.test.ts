import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {expect} from 'chai';
import {SystemClock} from '@hickorytrack/clock/system-clock';
import {passThroughRule, Relay} from '../src/relay.js';

const clock = new SystemClock();

describe('relay', () => {
	let target: Server;
	let relay: Relay;
	let callerSocket: Socket;
	let listenerSocket: Socket;
	const received = {forward: '', back: ''};

	const waitFor = async (direction: 'forward' | 'back', text: string) => {
		while (received[direction] !== text) {
			await clock.sleep(1);
		}
	};

	beforeEach(async () => {
		received.forward = '';
		received.back = '';
		const accepted = new Promise<Socket>(resolve => {
			target = createServer(socket => {
				resolve(socket);
			});
		});
		await new Promise<void>(resolve => {
			target.listen(0, '127.0.0.1', resolve);
		});
		relay = new Relay({host: '127.0.0.1', port: (target.address() as AddressInfo).port});
		await relay.start({host: '127.0.0.1', port: 0});
		callerSocket = connect(relay.port, '127.0.0.1');
		listenerSocket = await accepted;
		callerSocket.setNoDelay(true).on('data', chunk => {
			received.back += String(chunk);
		});
		listenerSocket.setNoDelay(true).on('data', chunk => {
			received.forward += String(chunk);
		});
	});

	afterEach(async () => {
		await relay.stop();
		callerSocket.destroy();
		listenerSocket.destroy();
		target.close();
	});

	// A chunk of the direction that passes released the held one, which was held again, without end.
	it('passes one direction while it holds the other', async () => {
		relay.setRule(() => ({...passThroughRule, forward: 'hold'}));
		callerSocket.write('held');
		listenerSocket.write('a');
		await waitFor('back', 'a');
		listenerSocket.write('b');
		await waitFor('back', 'ab');
		expect(received.forward).to.equal('');
		relay.setRule(() => passThroughRule);
		await waitFor('forward', 'held');
	});

	// A chunk that was sent after a delay had ended overtook the delayed ones, so that a message arrived damaged.
	it('keeps the order of bytes when a delay ends', async () => {
		relay.setRule(() => ({...passThroughRule, delayMs: 60}));
		listenerSocket.write('1');
		callerSocket.write('sync');
		await waitFor('forward', 'sync');
		listenerSocket.write('2');
		await clock.sleep(20);
		relay.setRule(() => passThroughRule);
		listenerSocket.write('3');
		await waitFor('back', '123');
	});
});
