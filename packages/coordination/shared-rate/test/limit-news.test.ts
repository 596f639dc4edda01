import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {LimitNews, type LimitNote} from '../src/limit-news.js';

const server = {id: 's1', startedAt: 1000};

describe('LimitNews', () => {
	let clock: ManualClock;
	let news: LimitNews;

	beforeEach(async () => {
		clock = new ManualClock();
		news = new LimitNews(clock);
		await clock.advance(100);
	});

	it('keeps a limit until an answer to a later request names none', async () => {
		expect(news.record(server, 5)).to.equal(true);
		await clock.advance(10);
		expect(news.record(server, 5)).to.equal(false);
		expect(news.find(server)).to.equal(5);
		expect(news.recordNone(server, clock.monotonic() + 1)).to.equal(true);
		expect(news.find(server)).to.equal(undefined);
		expect(news.recordNone(server, clock.monotonic() + 2)).to.equal(false);
	});

	// An answer that was on its way when the limit was named ended it.
	it('keeps a limit when an answer to an earlier request names none', async () => {
		const sentAt = clock.monotonic();
		await clock.advance(10);
		news.record(server, 5);
		expect(news.recordNone(server, sentAt)).to.equal(false);
		expect(news.find(server)).to.equal(5);
	});

	it('takes the limit that was named last, whoever tells it', async () => {
		news.record(server, 5);
		expect(news.merge([{...server, perSecond: 9, ageMs: 50}])).to.deep.equal([]);
		expect(news.find(server)).to.equal(5);
		await clock.advance(100);
		const note = {...server, perSecond: 9, ageMs: 50};
		expect(news.merge([note])).to.deep.equal([note]);
		expect(news.find(server)).to.equal(9);
		const end = {...server, ageMs: 10};
		expect(news.merge([end])).to.deep.equal([end]);
		expect(news.find(server)).to.equal(undefined);
		expect(news.merge([note])).to.deep.equal([]);
	});

	// One note that can't be read would hold a limit for good, or end the process.
	it('ignores notes that can\'t be read', () => {
		for (const note of [{...server, ageMs: Number.NaN}, {...server, perSecond: -1, ageMs: 0}, {...server, perSecond: '5', ageMs: 0}, {...server, perSecond: 5}, {
			id: 7, startedAt: 0, perSecond: 5, ageMs: 0,
		}, {id: 's1', perSecond: 5, ageMs: 0}]) {
			expect(news.merge([note as unknown as LimitNote])).to.deep.equal([]);
		}

		expect(news.list()).to.deep.equal([]);
	});

	it('keeps the limits of two starts of a server apart', async () => {
		news.record(server, 5);
		const next = {id: 's1', startedAt: 2000};
		expect(news.find(next)).to.equal(undefined);
		await clock.advance(10);
		expect(news.record(next, 7)).to.equal(true);
		expect(news.merge([{...server, perSecond: 1, ageMs: 0}])).to.deep.equal([]);
		expect(news.find(next)).to.equal(7);
		expect(news.find(server)).to.equal(undefined);
	});

	it('tells others of limits and of their ends for a while', async () => {
		news.record(server, 5);
		news.record({id: 's2', startedAt: 0}, 2);
		await clock.advance(10);
		news.recordNone(server, clock.monotonic());
		await clock.advance(20);
		expect(news.list()).to.deep.equal([{...server, perSecond: undefined, ageMs: 20}, {
			id: 's2', startedAt: 0, perSecond: 2, ageMs: 30,
		}]);
		await clock.advance(120_000);
		expect(news.list().map(({id}) => id)).to.deep.equal(['s2']);
		await clock.advance(600_000);
		expect(news.list()).to.deep.equal([]);
	});
});
