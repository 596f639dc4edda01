import {expect} from 'chai';
import type {AttemptEnd, PieceRun} from '@hickorytrack/types/work';
import {AnswerReader} from '../src/answer-reader.js';
import {AnswerWriter, maximumUnconfirmedPieces} from '../src/answer-writer.js';

const end: AttemptEnd = {
	kind: 'complete', finishReason: 'stop', promptTokens: 1, outputTokens: 3, cachedTokens: 0,
};

const readAll = async (reader: AnswerReader): Promise<string> => {
	let text = '';
	for (;;) {
		const item = await reader.read(AbortSignal.timeout(1000));
		if (item?.kind !== 'texts') {
			return text + (item?.kind ?? 'nothing');
		}

		text += item.texts.join('');
	}
};

describe('answer stream', () => {
	it('reports a stall behind the pieces before it, and no more once a piece has followed', async () => {
		const writer = new AnswerWriter('a1');
		const reader = new AnswerReader('a1');
		const stall = {silentMs: 1, limit: 'query'} as const;
		const {signal} = new AbortController();
		writer.connectSink({
			send(run) {
				reader.append(run);
			},
		}, 0);
		writer.write(['a']);
		writer.reportStall(stall);
		expect(reader.hasProgress).to.equal(true);
		expect(await reader.read(signal)).to.deep.equal({kind: 'texts', texts: ['a']});
		expect(await reader.read(signal)).to.deep.equal({kind: 'stalled', stall});
		expect(reader.hasProgress).to.equal(false);
		writer.reportStall(stall);
		writer.write(['b']);
		writer.close(end);
		expect(await reader.read(signal)).to.deep.equal({kind: 'texts', texts: ['b']});
		expect(await reader.read(signal)).to.deep.equal({kind: 'end', end});
	});

	it('resumes over a second connection without losing or duplicating a piece', async () => {
		const writer = new AnswerWriter('a1');
		const reader = new AnswerReader('a1');
		const lost: PieceRun[] = [];
		writer.connectSink({
			send(run) {
				reader.append(run);
			},
		}, 0);
		writer.write(['a', 'b']);
		writer.connectSink({
			send(run) {
				lost.push(run);
			},
		}, 2);
		writer.write(['c']);
		writer.close(end);
		expect(lost).to.have.length(2);
		reader.setBroken();
		reader.resume();
		writer.connectSink({
			send(run) {
				reader.append(run);
			},
		}, 1);
		expect(await readAll(reader)).to.equal('abcend');
	});

	// An agent that stopped closed its connections when the answer of a service had been handed to one, before it was sent.
	it('is confirmed once the entry has the end, also of an answer without pieces', () => {
		for (const texts of [[], ['a', 'b']]) {
			const writer = new AnswerWriter('a1');
			writer.connectSink({
				send() {
					// The entry has not received it yet.
				},
			}, 0);
			writer.write(texts);
			writer.close(end);
			writer.confirm(texts.length);
			expect(writer.isConfirmed).to.equal(false);
			writer.confirm(texts.length + 1);
			expect(writer.isConfirmed).to.equal(true);
		}
	});

	it('expects no confirmation of an attempt that its entry has cancelled', () => {
		const writer = new AnswerWriter('a1');
		writer.write(['a']);
		writer.close({kind: 'cancelled', written: true});
		expect(writer.isConfirmed).to.equal(true);
	});

	it('reports a missing piece as broken, never as the end', async () => {
		const reader = new AnswerReader('a1');
		reader.append({attempt: 'a1', first: 0, texts: ['a']});
		reader.append({
			attempt: 'a1', first: 2, texts: ['c'], end,
		});
		expect(await readAll(reader)).to.equal('abroken');
	});

	it('makes the producer wait for a reader that confirms nothing', async () => {
		const writer = new AnswerWriter('a1');
		writer.write(Array.from({length: maximumUnconfirmedPieces}, () => 'x'));
		let hasCapacity = false;
		void writer.waitForCapacity(new AbortController().signal).then(() => {
			hasCapacity = true;
		});
		await Promise.resolve();
		expect(hasCapacity).to.equal(false);
		writer.confirm(10);
		await new Promise(resolve => {
			setImmediate(resolve);
		});
		expect(hasCapacity).to.equal(true);
		expect(writer.connectSink({
			send() {
			// Never called.
			},
		}, 5)).to.equal(false);
	});
});
