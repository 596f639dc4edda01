import {expect} from 'chai';
import {UnevenFleet, type FleetOptions, type Rule} from './uneven-fleet.js';

const seeds = [1, 2];
const rules: Rule[] = ['least-requests', 'two-random', 'least-work', 'told'];

function measure(opts: Omit<FleetOptions, 'seed'>): number {
	return seeds.reduce((sum, seed) => sum + new UnevenFleet({...opts, seed}).run(), 0) / seeds.length;
}

describe('placement by expected work', () => {
	const cases: Array<[string, Omit<FleetOptions, 'seed' | 'rule'>]> = [
		...[0.4, 0.6, 0.75, 0.85, 0.95].map((load): [string, Omit<FleetOptions, 'seed' | 'rule'>] => [`load ${load}`, {load}]),
		['a quarter crashes', {load: 0.6, crashAtMs: 10_000}],
		['bursts', {load: 0.55, hasBursts: true}],
	];

	// Guards against servers that are slow, or in a slow phase, and get as many requests as the others.
	for (const [name, opts] of cases) {
		it(`answers nearly as many requests in time as with told figures: ${name}`, () => {
			const results = rules.map(rule => measure({...opts, rule, seconds: 20}));
			console.log(`      | ${name} | ${results.map(result => result.toFixed(3)).join(' | ')} |`);
			const [leastRequests, , leastWork, told] = results as [number, number, number, number];
			expect(leastWork).to.be.above(0.95 * told);
			expect(leastWork).to.be.above(leastRequests);
		}).timeout(30_000);
	}

	// Guards against a switch-on by chance, which would change the service of other deployments.
	for (const load of [0.4, 0.8, 0.95]) {
		it(`places requests at even servers as before: load ${load}`, () => {
			const opts = {
				load, isEven: true, seed: 3, seconds: 30,
			};
			const before = new UnevenFleet({...opts, rule: 'least-requests'});
			const fleet = new UnevenFleet({...opts, rule: 'least-work'});
			before.run();
			fleet.run();
			expect(fleet.isUneven).to.equal(false);
			expect(fleet.selected).to.deep.equal(before.selected);
		}).timeout(30_000);
	}
});
