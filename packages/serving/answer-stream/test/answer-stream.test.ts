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
	it('goes on over a second connection without losing or doubling a piece', async () => {
		const tail = new AnswerWriter('a1');
		const reader = new AnswerReader('a1');
		const lost: PieceRun[] = [];
		tail.connectSink({
			send(run) {
				reader.append(run);
			},
		}, 0);
		tail.write(['a', 'b']);
		tail.connectSink({
			send(run) {
				lost.push(run);
			},
		}, 2);
		tail.write(['c']);
		tail.close(end);
		expect(lost).to.have.length(2);
		reader.setBroken();
		reader.resume();
		tail.connectSink({
			send(run) {
				reader.append(run);
			},
		}, 1);
		expect(await readAll(reader)).to.equal('abcend');
	});

	it('reports a missing piece as a break, never as an end', async () => {
		const reader = new AnswerReader('a1');
		reader.append({attempt: 'a1', first: 0, texts: ['a']});
		reader.append({
			attempt: 'a1', first: 2, texts: ['c'], end,
		});
		expect(await readAll(reader)).to.equal('abroken');
	});

	it('makes the writer wait for a reader that confirms nothing', async () => {
		const tail = new AnswerWriter('a1');
		tail.write(Array.from({length: maximumUnconfirmedPieces}, () => 'x'));
		let hasRoom = false;
		void tail.waitForCapacity(new AbortController().signal).then(() => {
			hasRoom = true;
		});
		await Promise.resolve();
		expect(hasRoom).to.equal(false);
		tail.confirm(10);
		await new Promise(resolve => {
			setImmediate(resolve);
		});
		expect(hasRoom).to.equal(true);
		expect(tail.connectSink({
			send() {
			// Not reached.
			},
		}, 5)).to.equal(false);
	});
});
