import {expect} from 'chai';
import {Random} from '@hickorytrack/random';
import {RetryFleet, WholeMsClock} from './retry-fleet.js';

const seeds = [1, 2, 3, 4, 5];
const edges = 8;

async function startFleet(seed: number, clock = new WholeMsClock()): Promise<RetryFleet> {
	const fleet = new RetryFleet(clock, new Random(seed));
	for (let index = 0; index < edges; index++) {
		fleet.startEdge(index, {isFirstStart: true, countInstances: () => edges});
	}

	return fleet;
}

describe('retry budget of a fleet', () => {
	for (const seed of seeds) {
		// Guards against long prompts that pass one check of the budget together and are all sent again when their prefill ends.
		it(`holds when servers reject all runs of a burst (seed ${seed})`, async () => {
			const fleet = await startFleet(seed);
			await fleet.run(2000, {intervalMs: 20, streamFraction: 1});
			fleet.faults.set('run', {rejectsAtOnce: 1});
			await fleet.run(150, {intervalMs: 0.5, streamFraction: 1});
			fleet.faults.set('prefill', {slowness: 4});
			await fleet.run(3000, {intervalMs: 20, streamFraction: 1});
			fleet.faults.clear();
			await fleet.run(4000, {intervalMs: 20, streamFraction: 1});
			expect(fleet.computeExcess()).to.be.at.most(0);
		});

		// Guards against first prefills, which need no check, that are rejected together after a wait.
		it(`holds when servers reject the prefills that wait at them (seed ${seed})`, async () => {
			const fleet = await startFleet(seed);
			for (let round = 0; round < 4; round++) {
				fleet.faults.clear();
				await fleet.run(3000, {intervalMs: 6, streamFraction: 1});
				fleet.faults.set('prefill', {rejectsLate: 1}).set('run', {rejectsAtOnce: 0.3});
				await fleet.run(1500, {intervalMs: 6, streamFraction: 1});
			}

			expect(fleet.computeExcess()).to.be.at.most(0);
		});

		// Guards against restarted edges that forget what they spent and know no other edge yet.
		it(`holds when all edges restart within a second while servers reject (seed ${seed})`, async () => {
			const clock = new WholeMsClock();
			const fleet = await startFleet(seed, clock);
			fleet.faults.set('run', {rejectsAtOnce: 0.6});
			await fleet.run(9000, {intervalMs: 20});
			for (let index = 0; index < edges; index++) {
				const startedAt = clock.monotonic();
				fleet.startEdge(index, {isFirstStart: false, countInstances: () => clock.monotonic() - startedAt < 1000 ? 1 : edges});
				await fleet.run(100, {intervalMs: 20});
			}

			await fleet.run(12_000, {intervalMs: 20});
			expect(fleet.computeExcess()).to.be.at.most(0);
		});

		// Guards against retries for requests that no window with these retries counts.
		it(`holds when a second burst, rejected by all servers, comes just within a window of the first (seed ${seed})`, async () => {
			const fleet = await startFleet(seed);
			await fleet.run(200, {intervalMs: 0.5, streamFraction: 0});
			await fleet.run(9600, {intervalMs: 10_000});
			fleet.faults.set('run', {rejectsAtOnce: 1});
			await fleet.run(200, {intervalMs: 0.5, streamFraction: 0});
			await fleet.run(6000, {intervalMs: 10_000});
			expect(fleet.computeExcess()).to.be.at.most(0);
		});
	}
});
