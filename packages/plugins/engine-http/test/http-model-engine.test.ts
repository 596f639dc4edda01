import {createServer, type AddressInfo, type Server} from 'node:net';
import {setTimeout} from 'node:timers/promises';
import {expect} from 'chai';
import type {EngineEvent} from '@hickorytrack/types/engine-adapter';
import {HttpModelEngine} from '../src/http-model-engine.js';

/** Creates the streamed answer of an engine that generates one text. */
function createAnswer(text: string): string {
	const body = `data: ${JSON.stringify({choices: [{text, finish_reason: 'stop'}]})}\n\ndata: [DONE]\n\n`;
	return `HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}

describe('client of a model engine', () => {
	let server: Server;

	afterEach(() => {
		server.close();
	});

	// Engines do not echo the id of an attempt. A second answer to one was streamed to the caller of the next.
	it('does not take an answer that comes twice for that of the next generation', async () => {
		let count = 0;
		server = createServer(socket => {
			let answer = '';
			socket.on('error', () => {
				// The client closes its connections.
			});
			socket.on('data', () => {
				count++;
				const late = answer;
				answer = createAnswer(`text ${count}`);
				socket.write(late + answer);
			});
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const engine = new HttpModelEngine(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
		const generate = async () => {
			const events: EngineEvent[] = [];
			for await (const event of engine.generate({
				kind: 'generation', api: 'completions', model: 'm', body: {}, promptTokens: 1, maxTokens: 1, expectedCachedTokens: 0, resumeFrom: 0, resumeText: '',
			}, {
				workspace: 'w', attempt: `attempt-${count}`, priority: 0, signal: new AbortController().signal, onWrite() {
					// The test does not look at writes.
				},
			})) {
				events.push(event);
			}

			return events[0];
		};

		expect(await generate()).to.deep.equal({kind: 'texts', texts: ['text 1']});
		expect(await generate()).to.deep.equal({kind: 'texts', texts: ['text 2']});
		expect(await generate()).to.deep.equal({kind: 'texts', texts: ['text 3']});
	});

	/** Has the engine answer a generation that goes on behind the first text. */
	const collectResumed = async (segments: string[], end: 'open' | 'close' | 'reset'): Promise<EngineEvent[]> => {
		server = createServer(socket => {
			socket.on('error', () => {
				// The client closes its connections.
			});
			socket.once('data', async () => {
				for (const segment of segments) {
					socket.write(segment);
					await setTimeout(2);
				}

				if (end === 'close') {
					socket.end();
				} else if (end === 'reset') {
					socket.resetAndDestroy();
				}
			});
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const engine = new HttpModelEngine(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
		const events: EngineEvent[] = [];
		for await (const event of engine.generate({
			kind: 'generation', api: 'completions', model: 'm', body: {}, promptTokens: 1, maxTokens: 2, expectedCachedTokens: 0, resumeFrom: 1, resumeText: 'a',
		}, {
			workspace: 'w', attempt: 'attempt', priority: 0, signal: new AbortController().signal, onWrite() {
				// The test does not look at writes.
			},
		})) {
			events.push(event);
		}

		return events;
	};

	const errorText = '{"error":{"message":"the model failed"}}';
	const formatAnswer = (status: string, type: string, {body = errorText, framing = `content-length: ${body.length}`}: {body?: string; framing?: string} = {}) => [`HTTP/1.1 ${status}\r\ncontent-type: ${type}\r\n${framing}\r\n\r\n`, body];

	// The error of an engine that was asked to go on with a stream must not become a text of the stream, nor its end.
	const errors: Record<string, {segments: string[]; end: 'open' | 'close' | 'reset'}> = {
		'an error': {segments: formatAnswer('500 Internal Server Error', 'application/json'), end: 'open'},
		'an error without a length': {segments: formatAnswer('500 Internal Server Error', 'application/json', {framing: 'connection: close'}), end: 'close'},
		'an error after a hint': {segments: ['HTTP/1.1 103 Early Hints\r\n\r\n', ...formatAnswer('503 Service Unavailable', 'application/json')], end: 'open'},
		'an error of the type of a stream': {segments: formatAnswer('500 Internal Server Error', 'text/event-stream', {body: createAnswer('b').split('\r\n\r\n')[1]}), end: 'open'},
		'200 with an error body': {segments: formatAnswer('200 OK', 'application/json'), end: 'open'},
		'200 with an error event': {segments: formatAnswer('200 OK', 'text/event-stream', {body: `data: ${errorText}\n\ndata: [DONE]\n\n`}), end: 'open'},
		'200 with an error event without a length': {segments: formatAnswer('200 OK', 'text/event-stream', {body: `data: ${errorText}\n\n`, framing: 'connection: close'}), end: 'close'},
		'206 with a stream': {segments: formatAnswer('206 Partial Content', 'text/event-stream', {body: createAnswer('b').split('\r\n\r\n')[1]}), end: 'open'},
		'an empty stream': {segments: formatAnswer('200 OK', 'text/event-stream', {body: ''}), end: 'open'},
		'an empty stream without a length': {segments: formatAnswer('200 OK', 'text/event-stream', {body: '', framing: 'connection: close'}), end: 'close'},
		'a head that is reset': {segments: formatAnswer('200 OK', 'text/event-stream', {body: '', framing: 'transfer-encoding: chunked'}), end: 'reset'},
		garbage: {segments: [errorText], end: 'close'},
	};
	for (const [name, {segments, end}] of Object.entries(errors)) {
		it(`fails a generation that goes on with ${name}`, async () => {
			const events = await collectResumed(segments, end);
			expect(events.map(({kind}) => kind)).to.deep.equal(['failed']);
		});
	}
});
