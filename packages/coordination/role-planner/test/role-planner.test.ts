import {expect} from 'chai';
import type {EngineRole} from '@hickorytrack/types/endpoint';
import {estimateServedFraction} from '../src/capacity-estimate.js';
import {DemandModel, type ClassDemand} from '../src/demand-model.js';
import {computeSwappedDemand, PricePlanner} from '../src/price-planner.js';
import {GreedyPlanner} from '../src/baseline-planners.js';
import type {PlannedEndpoint, PlannerInput} from '../src/role-planner.js';

const createEndpoints = (roles: EngineRole[]): PlannedEndpoint[] => roles.map((role, index) => ({
	endpoint: `e${index}`, role, roles: ['mixed', 'prefill', 'decode'], isPinned: false, isBusy: false,
}));

const mixed: EngineRole[] = Array.from({length: 8}, () => 'mixed');
const decodeHeavy: ClassDemand[] = [{
	model: 'm', prefill: 0.5, decode: 9.5, requestPrefillSeconds: 0.01, uncertainty: 0,
}];

const createInput = (opts: Partial<PlannerInput> = {}): PlannerInput => ({
	at: 0, endpoints: createEndpoints(mixed), demand: decodeHeavy, changeSeconds: 3, changeWeight: 1, ...opts,
});

describe('capacity estimate', () => {
	it('is the capacity ratio for mixed engines and rises if a role matches the demand', () => {
		expect(estimateServedFraction({mixed: 8, prefill: 0, decode: 0}, decodeHeavy)).to.be.closeTo(0.8 * (1 - (0.45 / Math.sqrt(8))), 0.001);
		expect(estimateServedFraction({mixed: 0, prefill: 0, decode: 8}, decodeHeavy)).to.be.greaterThan(0.75);
		expect(estimateServedFraction({mixed: 0, prefill: 8, decode: 0}, decodeHeavy)).to.be.lessThan(0.4);
	});

	it('serves nothing in a role in which a request cannot meet its first-token target', () => {
		const long = [{...decodeHeavy[0]!, requestPrefillSeconds: 0.2}];
		expect(estimateServedFraction({mixed: 0, prefill: 0, decode: 8}, long)).to.equal(0);
		expect(estimateServedFraction({mixed: 8, prefill: 0, decode: 0}, long)).to.be.greaterThan(0.6);
	});

	it('is lower for a split fleet than for a mixed one', () => {
		const even = [{...decodeHeavy[0]!, prefill: 4, decode: 4}];
		expect(estimateServedFraction({mixed: 8, prefill: 0, decode: 0}, even)).to.be.greaterThan(estimateServedFraction({mixed: 4, prefill: 2, decode: 2}, even));
	});
});

describe('price planner', () => {
	it('changes nothing while the current roles serve the demand', () => {
		const planner = new PricePlanner();
		const demand = [{
			model: 'm', prefill: 0.2, decode: 5, requestPrefillSeconds: 0.01, uncertainty: 0,
		}];
		expect(planner.plan(createInput({demand})).change).to.equal(undefined);
		expect(planner.plan(createInput({demand, at: 600_000})).change).to.equal(undefined);
	});

	it('changes a role only after the mix has lasted long enough for the gain to exceed the price', () => {
		const planner = new PricePlanner();
		expect(planner.plan(createInput()).change).to.equal(undefined);
		const later = planner.plan(createInput({at: 600_000}));
		expect(later.change?.role).to.equal('decode');
	});

	it('waits longer if the deployment has a higher weight on changes', () => {
		const light = new PricePlanner();
		const heavy = new PricePlanner();
		light.plan(createInput());
		heavy.plan(createInput());
		expect(light.plan(createInput({at: 60_000})).change).to.not.equal(undefined);
		expect(heavy.plan(createInput({at: 60_000, changeWeight: 20})).change).to.equal(undefined);
	});

	it('includes the reverse change in the price if the loads of two classes can swap', () => {
		const demand = [
			{
				model: 'short', prefill: 0.4, decode: 6.8, requestPrefillSeconds: 0.006, uncertainty: 0,
			},
			{
				model: 'long', prefill: 0.3, decode: 0.1, requestPrefillSeconds: 0.2, uncertainty: 0,
			},
		];
		const swapped = computeSwappedDemand(demand);
		expect(swapped.find(candidate => candidate.model === 'long')!.prefill).to.be.closeTo(5.4, 0.001);
		const planner = new PricePlanner();
		planner.plan(createInput({demand}));
		const withBoth = planner.plan(createInput({demand, at: 120_000})).considered.find(candidate => candidate.to === 'decode' && candidate.count === 6)!;
		const alone = new PricePlanner();
		alone.plan(createInput({demand: demand.slice(0, 1)}));
		const withOne = alone.plan(createInput({demand: demand.slice(0, 1), at: 120_000})).considered.find(candidate => candidate.to === 'decode' && candidate.count === 6)!;
		expect(withBoth.price).to.be.greaterThan(withOne.price + 30);
	});

	it('never changes a pinned endpoint and plans nothing while a change is in progress', () => {
		const planner = new PricePlanner();
		const pinned = createEndpoints(mixed).map(candidate => ({...candidate, isPinned: true}));
		planner.plan(createInput({endpoints: pinned}));
		expect(planner.plan(createInput({endpoints: pinned, at: 600_000})).change).to.equal(undefined);
		const busy = createEndpoints(mixed).map((candidate, index) => ({...candidate, isBusy: index === 0}));
		expect(planner.plan(createInput({endpoints: busy, at: 900_000})).change).to.equal(undefined);
	});

	it('changes nothing on a small shortfall that has just begun, unlike the greedy planner', () => {
		const demand = [{
			model: 'm', prefill: 0.4, decode: 8, requestPrefillSeconds: 0.01, uncertainty: 0.5,
		}];
		expect(new GreedyPlanner().plan(createInput({demand})).change).to.not.equal(undefined);
		expect(new PricePlanner().plan(createInput({demand})).change).to.equal(undefined);
	});
});

describe('demand model', () => {
	it('follows a shift, forecasts its trend and keeps the averages while reports are missing', () => {
		const model = new DemandModel({fastMs: 1000, slowMs: 10_000});
		const report = (prefillSeconds: number, at: number) => {
			model.addReports([{
				endpoint: 'e', model: 'm', prefillSeconds, decodeSeconds: 1, requests: 10, intervalMs: 1000,
			}], at);
		};

		for (let second = 0; second < 20; second++) {
			report(1, second * 1000);
		}

		for (let second = 20; second < 25; second++) {
			report(3, second * 1000);
		}

		const [now] = model.forecast(0);
		const [ahead] = model.forecast(9000);
		expect(now!.prefill).to.be.within(2.8, 3.1);
		expect(ahead!.prefill).to.be.greaterThan(now!.prefill);
		model.addReports([], 60_000);
		expect(model.forecast(0)[0]!.prefill).to.equal(now!.prefill);
	});
});
