import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {selectReadySet, type InstanceCapacity} from '../src/ready-set.js';
import {ReadyState} from '../src/ready-state.js';

const createInstance = (instance: string, opts: Partial<InstanceCapacity> = {}): InstanceCapacity => ({
	instance, processorShare: 0.2, linkMbps: 7, usedProcessor: 0, usedMbps: 0, ...opts,
});
const strong = (instance: string, opts: Partial<InstanceCapacity> = {}) => createInstance(instance, {processorShare: 0.9, linkMbps: 100, ...opts});
const createZone = (opts: Partial<InstanceCapacity> = {}) => [
	...['w1', 'w2', 'w3', 'w4', 'w5'].map(instance => createInstance(instance, opts)), strong('s1', opts), strong('s2', opts),
];

describe('ready set', () => {
	// With fewer than half of a zone's instances ready, the load balancer uses all of them.
	it('holds the strongest instances and at least half of the zone', () => {
		expect([...selectReadySet(createZone())]).to.deep.equal(['s1', 's2', 'w1', 'w2']);
		expect(selectReadySet([createInstance('w1')]).size).to.equal(1);
		expect(selectReadySet([]).size).to.equal(0);
	});

	it('grows until it carries the load of the zone on each resource', () => {
		// 7 × 0.2 of a core need 1.4 / 0.6 = 2.34: both strong ones and three weak ones.
		expect([...selectReadySet(createZone({usedProcessor: 0.2}))]).to.deep.equal(['s1', 's2', 'w1', 'w2', 'w3']);
		// 7 × 18.5 Mbit/s need 215.9.
		expect([...selectReadySet(createZone({usedMbps: 18.5}))]).to.deep.equal(['s1', 's2', 'w1', 'w2', 'w3']);
		expect(selectReadySet(createZone({usedProcessor: 1})).size).to.equal(7);
	});

	it('leaves out an instance that takes no new connections, but carries its load', () => {
		const zone = [...createZone(), strong('s0', {processorShare: 0, usedProcessor: 1.4})];
		expect([...selectReadySet(zone)]).to.deep.equal(['s1', 's2', 'w1', 'w2', 'w3']);
	});

	it('is the same in whatever order the instances are known', () => {
		expect([...selectReadySet(createZone().reverse())]).to.deep.equal([...selectReadySet(createZone())]);
	});

	// Without damping, a load near the bound would make the load balancer move connections with each measurement.
	it('is entered at once and left after five seconds outside', async () => {
		const clock = new ManualClock();
		const state = new ReadyState(clock);
		expect(state.update(false)).to.equal(true);
		await clock.advance(4900);
		expect(state.update(true)).to.equal(true);
		await clock.advance(4900);
		expect(state.update(false)).to.equal(true);
		await clock.advance(5000);
		expect(state.update(false)).to.equal(false);
		expect(state.update(true)).to.equal(true);
	});
});
