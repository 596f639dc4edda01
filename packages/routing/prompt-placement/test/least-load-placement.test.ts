import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import {Random} from '@hickorytrack/random';
import type {SocketAddress} from '@hickorytrack/socket-address';
import {LeastLoadPlacement} from '../src/least-load-placement.js';
import {LoadTracker} from '../src/load-tracker.js';

/** Places requests that don't end, and returns how many each server got. */
function placeAll(slots: readonly number[], requests: number): number[] {
	const loadTracker = new LoadTracker(new ManualClock());
	const placement = new LeastLoadPlacement({loadTracker, random: new Random(1), getFailureRate: () => 0});
	const servers = slots.map((count, index): KnownServer => ({
		id: `s${index}`, startedAt: 0, sequence: 1, service: 'p', address: `10.0.0.1:${index + 1}` as SocketAddress, availabilityZone: 'z', slots: count, state: 'ready', coldMs: 0, heardAt: 0, order: 1,
	}));
	for (let index = 0; index < requests; index++) {
		loadTracker.add(placement.select(servers, {excluded: new Set(), availabilityZone: 'z'})!.id, 0);
	}

	return servers.map(({id}) => loadTracker.getLoad(id).requests);
}

describe('least-load placement', () => {
	// Guards against a server that drew all requests of its service because it reported an absurd number of slots.
	for (const absurd of [1e9, 1e308]) {
		it(`gives a server that reports ${absurd} slots no more than all others together`, () => {
			const [first, ...sound] = placeAll([absurd, 8, 8, 8], 96);
			expect(first).to.be.within(44, 52);
			expect(Math.min(...sound)).to.be.at.least(14);
			const [one, other] = placeAll([absurd, 8], 40);
			expect(one).to.be.within(18, 22);
			expect(other).to.be.within(18, 22);
			// Two of them don't vouch for each other.
			expect(Math.min(...placeAll([absurd, 8, absurd, 8, 8], 96).filter((_, index) => index !== 0 && index !== 2))).to.be.at.least(6);
			expect(placeAll([absurd], 5)).to.deep.equal([5]);
		});
	}

	it('fills honest servers of mixed sizes by what they report', () => {
		for (const slots of [[8, 8, 8], [4, 64, 64], [4, 4, 64, 64], [8, 8, 8, 24], [4, 8, 16, 32, 64, 64], Array.from({length: 20}, (_, index) => index < 12 ? 4 : 64)]) {
			const sum = slots.reduce((total, count) => total + count, 0);
			const taken = placeAll(slots, Math.floor(sum / 2));
			for (const [index, count] of taken.entries()) {
				expect(count, slots.join(' ')).to.be.within(Math.floor(slots[index]! / 2) - 2, Math.ceil(slots[index]! / 2) + 2);
			}
		}
	});
});
