import {expect} from 'chai';
import {Random} from '@hickorytrack/random';
import {CacheView, computeBlockDigests} from '../src/cache-view.js';
import {ExpectedTimePlacer, type PlacementCandidate} from '../src/placement.js';

const createCandidate = (endpoint: string, opts: Partial<PlacementCandidate> = {}): PlacementCandidate => ({
	endpoint, availabilityZone: 'z1', speed: {prefillTokensPerSecond: 1000, decodeTokensPerSecond: 100}, capacity: 4, role: 'mixed', loadAgeMs: 0,
	unreported: {requests: 0, prefillTokens: 0, decodeTokens: 0}, cache: new CacheView(), ...opts,
});

const prompt = 'ordinance '.repeat(500);
const request = {
	promptTokens: 1000, maxTokens: 50, blocks: computeBlockDigests(prompt), availabilityZone: 'z1',
};

describe('expected time placer', () => {
	const placer = new ExpectedTimePlacer({random: new Random(1), crossZoneMs: 3});

	it('prefers an endpoint with a cached prefix until its queue costs more than the prefill that the cache saves', () => {
		const warm = createCandidate('warm');
		warm.cache.addBlocks(request.blocks);
		expect(placer.rank(request, [createCandidate('cold'), warm])[0]!.endpoint).to.equal('warm');
		warm.unreported.prefillTokens = 8000;
		expect(placer.rank(request, [createCandidate('cold'), warm])[0]!.endpoint).to.equal('cold');
	});

	it('chooses the same endpoint as other entries for a prefix that is not cached anywhere', () => {
		const candidates = ['a', 'b', 'c', 'd'].map(name => createCandidate(name));
		const other = new ExpectedTimePlacer({random: new Random(99), crossZoneMs: 3});
		expect(other.rank(request, candidates)[0]).to.equal(placer.rank(request, candidates)[0]);
	});

	it('distributes requests without a prefix over candidates with similar costs', () => {
		const candidates = ['a', 'b', 'c', 'd'].map(name => createCandidate(name));
		const chosen = new Set(Array.from({length: 50}, () => placer.rank({...request, promptTokens: 20, blocks: []}, candidates)[0]!.endpoint));
		expect(chosen.size).to.equal(4);
	});

	it('prefers the faster of two endpoints', () => {
		const fast = createCandidate('fast', {speed: {prefillTokensPerSecond: 4000, decodeTokensPerSecond: 400}});
		expect(placer.rank(request, [createCandidate('slow'), fast])[0]!.endpoint).to.equal('fast');
	});
});

describe('cache view', () => {
	it('is cleared at a gap in the events', () => {
		const view = new CacheView();
		view.applyEvents({first: 0, next: 2, events: [{kind: 'stored', block: 'x'}, {kind: 'stored', block: 'y'}]});
		expect(view.computeHitFraction(['x', 'y', 'z'])).to.be.closeTo(2 / 3, 1e-9);
		view.applyEvents({first: 9, next: 10, events: [{kind: 'stored', block: 'z'}]});
		expect(view.computeHitFraction(['x'])).to.equal(0);
		expect(view.size).to.equal(1);
	});

	it('computes different digests for equal blocks after different prefixes', () => {
		const other = computeBlockDigests('X' + prompt.slice(1));
		expect(other.at(-1)).to.not.equal(computeBlockDigests(prompt).at(-1));
	});
});
