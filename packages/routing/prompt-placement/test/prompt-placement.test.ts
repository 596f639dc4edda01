import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import {Random} from '@hickorytrack/random';
import {PrefixCacheIndex} from '../src/prefix-cache-index.js';
import {LoadTracker} from '../src/load-tracker.js';
import {PartUsage} from '../src/part-usage.js';
import {PromptPlacement, type PlacementRequest} from '../src/prompt-placement.js';

const memoryTokens = 100_000;
const createServer = (id: string, stage: 'prefill' | 'decode'): KnownServer => ({
	id, startedAt: 0, sequence: 1, service: 'm', address: `10.0.0.1:${id}`, availabilityZone: 'z', slots: 8, state: 'ready', coldMs: 0, stage, heardAt: 0, order: 1,
});
const readers = ['r1', 'r2'].map(id => createServer(id, 'prefill'));
const generators = ['g1', 'g2', 'g3', 'g4'].map(id => createServer(id, 'decode'));
const createPrompt = (subject: string, request: string) => ({
	parts: [{id: 'head', tokens: 2000}, {id: subject, tokens: 4000}, {id: request, tokens: 3000}], tokens: 9000, maxOutputTokens: 100,
});

describe('prompt placement', () => {
	let clock: ManualClock;
	let board: LoadTracker;
	let cache: PrefixCacheIndex;
	let placement: PromptPlacement;
	const place = (opts: Partial<PlacementRequest> = {}) => placement.plan({
		prompt: createPrompt('s', 'q'), servers: [...readers, ...generators], objectiveMs: 200, excluded: new Set(), ...opts,
	});

	beforeEach(() => {
		clock = new ManualClock();
		board = new LoadTracker(clock);
		cache = new PrefixCacheIndex({getKvCapacity: () => memoryTokens});
		placement = new PromptPlacement({
			random: new Random(1), loadTracker: board, cacheIndex: cache, usage: new PartUsage(clock), getKvCapacity: () => memoryTokens,
		});
	});

	it('has a long prompt read apart and handed over', () => {
		const placed = place();
		expect(placed.kind).to.equal('hand-over');
	});

	it('fetches what another server holds and reads the rest only', () => {
		cache.recordPrompt(generators[2]!, createPrompt('s', 'earlier').parts);
		const placed = place();
		expect(placed.kind === 'hand-over' && placed.kvSource?.id).to.equal('g3');
		expect(placed.kind !== 'refuse' && placed.prefillTokens).to.equal(3000);
	});

	// Pattern: a burst of long prompts that the readers alone can't read in time.
	it('reads at a generating server while the readers have a queue', () => {
		for (const reader of readers) {
			board.add(reader.id, 60_000);
		}

		const placed = place();
		expect(placed.kind).to.equal('direct');
	});

	it('refuses at once when every queue is too long, and says when to come back', () => {
		for (const server of [...readers, ...generators]) {
			board.add(server.id, 60_000);
		}

		const placed = place();
		expect(placed.kind === 'refuse' && placed.retryAfterMs).to.be.greaterThan(200);
	});

	// Pattern: a tide of long answers; one prompt read beside a stream makes it pause.
	it('packs streams on the first servers and reads no prompt beside them', () => {
		const short = {parts: [{id: 'h', tokens: 50}, {id: 'x', tokens: 50}], tokens: 100, maxOutputTokens: 4000};
		const hosts = new Set<string>();
		for (let i = 0; i < 6; i++) {
			const placed = place({prompt: short});
			const {id} = (placed as {decodeServer: KnownServer}).decodeServer;
			board.add(id, 0, {isStream: true});
			hosts.add(id);
		}

		expect(hosts.size).to.equal(1);
		for (const reader of readers) {
			board.add(reader.id, 60_000);
		}

		for (let i = 0; i < 10; i++) {
			const placed = place();
			expect(placed.kind === 'direct' && hosts.has(placed.decodeServer.id)).to.equal(false);
		}
	});

	it('leaves out servers that failed the request', () => {
		const placed = place({excluded: new Set(['r1', 'r2'])});
		expect(placed.kind).to.equal('direct');
		expect(place({excluded: new Set([...readers, ...generators].map(server => server.id))}).kind).to.equal('refuse');
	});
});

describe('fleet cache', () => {
	it('forgets the least recently used parts first', () => {
		const cache = new PrefixCacheIndex({getKvCapacity: () => 20_000});
		const [server] = generators;
		cache.recordPrompt(server!, createPrompt('a', '1').parts);
		cache.recordPrompt(server!, createPrompt('b', '2').parts);
		cache.recordPrompt(server!, createPrompt('c', '3').parts);
		expect(cache.countCachedTokens(server!, createPrompt('c', 'x').parts)).to.equal(6000);
		expect(cache.countCachedTokens(server!, createPrompt('a', 'x').parts)).to.equal(2000);
	});

	it('is told by other instances, and forgets a server that started again', () => {
		const mine = new PrefixCacheIndex({getKvCapacity: () => memoryTokens});
		const others = new PrefixCacheIndex({getKvCapacity: () => memoryTokens});
		const [server] = generators;
		mine.recordPrompt(server!, createPrompt('a', '1').parts);
		others.mergeRemotePrompts(mine.drainUnsent(), () => server);
		expect(others.countCachedTokens(server!, createPrompt('a', 'x').parts)).to.equal(6000);
		expect(others.countCachedTokens({...server!, startedAt: 5}, createPrompt('a', 'x').parts)).to.equal(0);
		expect(others.drainUnsent()).to.have.length(0);
	});
});

describe('part usage', () => {
	// Pattern: more shared parts in use than fit, each asked for every few seconds.
	it('gives lasting places to the most used parts that fit', async () => {
		const clock = new ManualClock();
		const usage = new PartUsage(clock);
		for (let round = 0; round < 20; round++) {
			usage.record([{id: 'often', tokens: 1000}]);
			if (round % 4 === 0) {
				usage.record([{id: 'seldom', tokens: 1000}]);
			}

			await clock.advance(100);
		}

		expect(usage.isHot({id: 'often', tokens: 1000}, 1500)).to.equal(true);
		expect(usage.isHot({id: 'seldom', tokens: 1000}, 1500)).to.equal(false);
	});
});

describe('load board', () => {
	it('adds up what all instances have in flight, until their share lapses', async () => {
		const clock = new ManualClock();
		const board = new LoadTracker(clock);
		const ticket = board.add('s', 500, {isStream: true});
		board.replaceSource('other', [['s', 100, 2, 0]]);
		expect(board.getLoad('s')).to.deep.equal({promptTokens: 600, requests: 3, streams: 1});
		await clock.advance(1001);
		expect(board.getLoad('s')).to.deep.equal({promptTokens: 500, requests: 1, streams: 1});
		ticket.releasePrefill();
		ticket.release();
		ticket.release();
		expect(board.getLoad('s')).to.deep.equal({promptTokens: 0, requests: 0, streams: 0});
	});

	it('tells once that its own load has changed', () => {
		const board = new LoadTracker(new ManualClock());
		expect(board.clearChanged()).to.equal(false);
		board.add('s', 5);
		expect(board.clearChanged()).to.equal(true);
		expect(board.clearChanged()).to.equal(false);
		expect(board.listOwn()).to.deep.equal([['s', 5, 1, 0]]);
	});

	it('replaces what a source told before', () => {
		const board = new LoadTracker(new ManualClock());
		board.replaceSource('other', [['s', 100, 2, 0], ['t', 10, 1, 1]]);
		board.replaceSource('other', [['s', 50, 1, 0]]);
		expect(board.getLoad('s')).to.deep.equal({promptTokens: 50, requests: 1, streams: 0});
		expect(board.getLoad('t')).to.deep.equal({promptTokens: 0, requests: 0, streams: 0});
	});

	it('lists the load of all but one source', () => {
		const board = new LoadTracker(new ManualClock());
		board.add('s', 5);
		board.replaceSource('one', [['s', 100, 2, 0]]);
		board.replaceSource('two', [['s', 30, 1, 1], ['t', 10, 1, 0]]);
		expect(board.listAllExcept('one')).to.have.deep.members([['s', 35, 2, 1], ['t', 10, 1, 0]]);
		expect(board.listOwn({with: ['one']})).to.deep.equal([['s', 105, 3, 0]]);
	});
});
