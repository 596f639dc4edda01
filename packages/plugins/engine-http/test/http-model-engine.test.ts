import {createServer, type AddressInfo, type Server} from 'node:net';
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
});
