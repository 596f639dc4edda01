import {createServer, type AddressInfo} from 'node:net';
import {expect} from 'chai';
import type {EngineEvent} from '@hickorytrack/types/engine-adapter';
import {HttpModelEngine} from '@hickorytrack/engine-http/http-model-engine';
import {HttpPlainService} from '@hickorytrack/engine-http/http-plain-service';
import {OperatorClient} from '@hickorytrack/hickorytrack/operator-client';
import {RawServer, type RawAnswer} from '../src/raw-server.js';

const ok = 'HTTP/1.1 200 OK\r\n';
/** Far above the limits of the clients, which must have closed the connection long before. */
const maxAcceptedBytes = 160 * 1024 * 1024;
const finish = 'data: {"choices":[{"text":"a","finish_reason":"stop"}]}\n\n';

describe('clients of engines, services and operators', () => {
	let server: RawServer;

	const start = async (answer: RawAnswer) => {
		server = new RawServer(answer);
		await server.start();
		return `http://${server.address}`;
	};

	afterEach(async () => {
		await server.stop();
	});

	const callService = async (url: string) => new HttpPlainService({url, service: 's'}).callService({
		kind: 'service', service: 's', method: 'POST', path: '/a', contentType: 'text/plain', body: 'b', repeatable: false,
	}, {
		attempt: 'a', workspace: 'w', priority: 0, signal: new AbortController().signal, onWrite() {/* The answer is looked at. */},
	});

	const generate = async (url: string, {slowMs = 0} = {}) => {
		const events: EngineEvent[] = [];
		for await (const event of new HttpModelEngine(url).generate({
			kind: 'generation', api: 'completions', model: 'm', body: {}, promptTokens: 1, maxTokens: 1, expectedCachedTokens: 0, resumeFrom: 0, resumeText: '',
		}, {
			workspace: 'w', attempt: 'a', priority: 0, signal: new AbortController().signal, onWrite() {/* The events are looked at. */},
		})) {
			events.push(event);
			if (slowMs > 0) {
				await new Promise(resolve => {
					setTimeout(resolve, slowMs);
				});
			}
		}

		return events;
	};

	// The HTTP client ends an answer without a length as whole when it is reset, and the adapter passed it on with a length.
	it('a service: an answer without a length that is reset is not one', async () => {
		const url = await start({start: `${ok}\r\n${'x'.repeat(100)}`, end: 'reset'});
		for (let i = 0; i < 10; i++) {
			const answer = await callService(url);
			expect(answer._unsafeUnwrapErr().written).to.equal(true);
		}
	});

	it('a service: only the end of the connection delimits an answer, and the answer says so', async () => {
		const url = await start({start: `${ok}\r\nabc`, end: 'close'});
		expect((await callService(url))._unsafeUnwrap()).to.include({status: 200, body: 'abc', hasUnknownEnd: true});
		server.answer = {start: `${ok}Content-Length: 3\r\n\r\nabc`, end: 'close'};
		expect((await callService(url))._unsafeUnwrap()).not.to.have.property('hasUnknownEnd');
		server.answer = {start: `${ok}Content-Length: 4\r\n\r\nabc`, end: 'close'};
		expect((await callService(url))._unsafeUnwrapErr().written).to.equal(true);
	});

	// Half an answer looked complete: the system closes the connections of a process that has ended in order.
	it('a service: an answer that only its connection delimits is lost if the service has crashed', async () => {
		const crashing = createServer(socket => {
			socket.on('error', () => {
				// The adapter closes the connection.
			});
			socket.once('data', () => {
				crashing.close();
				socket.end(`${ok}\r\nab`);
			});
		});
		await new Promise<void>(resolve => {
			crashing.listen(0, '127.0.0.1', resolve);
		});
		const answer = await callService(`http://127.0.0.1:${(crashing.address() as AddressInfo).port}`);
		expect(answer._unsafeUnwrapErr()).to.include({code: 'ERR_HICKORYTRACK_ENGINE_LOST', written: true});
	});

	it('an engine: a stream that breaks off fails, however it does', async () => {
		const head = `${ok}Content-Type: text/event-stream\r\n\r\n`;
		for (const end of ['close', 'reset'] as const) {
			const url = await start({start: `${head}data: {"choices":[{"text":"a"}]}\n\ndata: {"cho`, end});
			expect((await generate(url)).map(event => event.kind).at(-1)).to.equal('failed');
			server.answer = {start: head + finish, end};
			expect((await generate(url)).map(event => event.kind)).to.deep.equal(['texts', 'end']);
			await server.stop();
		}

		await start({start: ''});
	});

	// The HTTP client threw out of the event loop, which ended the agent.
	it('an engine: a reset while the reader is slow does not end the process', async () => {
		const piece = `data: {"choices":[{"text":"${'x'.repeat(1000)}"}]}\n\n`;
		const url = await start({start: `${ok}Content-Type: text/event-stream\r\n\r\n${piece.repeat(300)}`, end: 'reset'});
		expect((await generate(url, {slowMs: 30})).at(-1)!.kind).to.equal('failed');
	});

	for (const [name, answer] of [
		['in a body without a length', {start: `${ok}\r\n`, endless: 'x'}],
		['in chunks', {start: `${ok}Transfer-Encoding: chunked\r\n\r\n`, endless: '5\r\nabcde\r\n'}],
		['in an event', {start: `${ok}Content-Type: text/event-stream\r\n\r\ndata: `, endless: 'x'}],
		['in an event of another content type', {start: `${ok}\r\ndata: `, endless: 'x'}],
		['in a header', {start: `${ok}X-Any: `, endless: 'x'}],
		['in headers', {start: ok, endless: 'X-Any: x\r\n'}],
		['in a status line', {start: 'HTTP/1.1 200 ', endless: 'x'}],
		['in a chunk extension', {start: `${ok}Transfer-Encoding: chunked\r\n\r\n5;`, endless: 'x'}],
		['in early hints', {start: '', endless: 'HTTP/1.1 103 Early Hints\r\n\r\n'}],
		['that are no answer', {start: '', endless: 'x'}],
	] as const) {
		it(`all: bytes without end ${name} end the call`, async () => {
			const url = await start(answer);
			expect((await callService(url)).isErr()).to.equal(true);
			expect((await generate(url)).at(-1)!.kind).to.equal('failed');
			const engine = new HttpModelEngine(url);
			expect((await engine.describe()).isErr()).to.equal(true);
			expect(await engine.probe('a')).to.equal('unreachable');
			await engine.cancel('a');
			expect((await engine.order({fence: {term: 1, epoch: 1, order: 1}, changeId: 'c', order: {kind: 'load'}} as never)).isErr()).to.equal(true);
			expect((await new OperatorClient({server: url}).call('a')).isErr()).to.equal(true);
			expect(server.sentBytes).to.be.lessThan(maxAcceptedBytes);
		});
	}
});
