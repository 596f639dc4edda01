import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {findFraming} from '../src/answer-framing.js';
import {AnswerReader} from '../src/answer-reader.js';
import {EventStreamBody} from '../src/body-format.js';
import type {ConnectionEnd} from '../src/connection-watch.js';

const eventStream = {'content-type': 'text/event-stream; charset=utf-8'};
const lengths = {'content-length': '10'};
const chunks = {'transfer-encoding': 'chunked'};

function judge(headers: Record<string, string>, body: string, end: ConnectionEnd): string {
	const reader = new AnswerReader({status: 200, headers}, {method: 'POST'});
	reader.read(Buffer.from(body));
	return reader.describeEnd(end).verdict;
}

describe('verdict on an answer', () => {
	it('is whole by a length or chunks, and unknown or broken off when only the connection ended it', () => {
		expect(judge(lengths, 'abc', 'open')).to.equal('whole');
		expect(judge(chunks, 'abc', 'closed')).to.equal('whole');
		expect(judge({}, 'abc', 'closed')).to.equal('unknown');
		expect(judge({}, 'abc', 'reset')).to.equal('broken-off');
		expect(judge({}, '', 'closed')).to.equal('unknown');
	});

	// An event stream shows by itself that it was broken off, whatever delimits it.
	it('is broken off for a stream that ends inside an event', () => {
		for (const framing of [lengths, chunks, {}]) {
			expect(judge({...framing, ...eventStream}, 'data: a\n\nda', 'closed')).to.equal('broken-off');
			expect(judge({...framing, ...eventStream}, 'data: a\n\ndata: b\n', 'closed')).to.equal('broken-off');
		}
	});

	it('is broken off for a stream without an event only if nothing but the connection ended it', () => {
		expect(judge({...lengths, ...eventStream}, '', 'open')).to.equal('whole');
		expect(judge({...chunks, ...eventStream}, '', 'open')).to.equal('whole');
		expect(judge(eventStream, '', 'closed')).to.equal('broken-off');
		expect(judge(eventStream, ': ping\n\n', 'closed')).to.equal('broken-off');
		expect(judge(eventStream, 'data: a\n\n', 'closed')).to.equal('unknown');
		expect(judge(eventStream, 'data: a\n\n', 'reset')).to.equal('broken-off');
	});

	it('reads the framing from the head', () => {
		const find = (headers: Record<string, string>, status = 200, method = 'GET') => findFraming({status, headers}, method);
		expect(find({'transfer-encoding': 'gzip, Chunked'})).to.equal('chunks');
		expect(find({'transfer-encoding': 'chunked, gzip'})).to.equal('connection');
		expect(find({'transfer-encoding': 'identity'})).to.equal('connection');
		expect(find(lengths)).to.equal('length');
		expect(find({})).to.equal('connection');
		expect(find({}, 204)).to.equal('no-body');
		expect(find(lengths, 200, 'HEAD')).to.equal('no-body');
	});
});

describe('event stream body', () => {
	/** Reads a stream in chunks of this size and returns what is released before its end. */
	const readInChunks = (text: string, size: number) => {
		const body = new EventStreamBody();
		let released = '';
		for (let offset = 0; offset < text.length; offset += size) {
			released += body.read(Buffer.from(text.slice(offset, offset + size))).toString();
		}

		return {body, released};
	};

	for (const [name, newline] of [['LF', '\n'], ['CRLF', '\r\n'], ['CR', '\r']] as const) {
		const event = (id: number) => ['id: ' + id, 'data: x', '', ''].join(newline);

		it(`releases complete events only, however the stream is cut: ${name}`, () => {
			const text = event(1) + event(2);
			for (let length = 0; length <= text.length; length++) {
				for (const size of [1, 2, 3, 7, 100]) {
					const {body, released} = readInChunks(text.slice(0, length), size);
					const prefix = text.slice(0, length);
					const isInside = body.isInsideUnit;
					expect(prefix.startsWith(released)).to.equal(true);
					expect(released.length + body.heldBytes).to.equal(length);
					// Only the line feed of the CRLF that ends an event may follow the event.
					const trimmed = released.replaceAll(/[\r\n]+$/g, '');
					expect(['', event(1).trimEnd(), (event(1) + event(2)).trimEnd()]).to.include(trimmed);
					expect(isInside).to.equal(prefix.slice(released.length).length > 0);
				}
			}
		});
	}

	it('takes a comment for no event, and releases it with the end of its line', () => {
		const body = new EventStreamBody();
		expect(body.read(Buffer.from(': ping\n')).toString()).to.equal(': ping\n');
		expect(body.isInsideUnit).to.equal(false);
		expect(body.read(Buffer.from('data: a\n: in between\n')).toString()).to.equal('');
		expect(body.isInsideUnit).to.equal(true);
		expect(body.read(Buffer.from('\n: pi')).toString()).to.equal('data: a\n: in between\n\n');
		expect([body.isInsideUnit, body.isWithoutUnit, body.finish().toString()]).to.deep.equal([false, false, ': pi']);
	});
});
