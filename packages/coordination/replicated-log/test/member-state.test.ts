import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {MemoryLogStorage} from '@hickorytrack/log-storage/memory-log-storage';
import {MemberState} from '../src/member-state.js';

describe('state of a member of a replicated log', () => {
	const snapshot = {
		index: 1, term: 1, members: [], state: {},
	};

	// A follower applied nothing any more until the next command, although its whole log was on its disk: the fault of a snapshot, a
	// vote or a truncation lasted until records were written.
	it('counts its log as synced after another write to a full disk has failed', async () => {
		const storage = new MemoryLogStorage();
		const state = new MemberState('a', (await storage.open())._unsafeUnwrap(), {storage, clock: new ManualClock(), initialMembers: []});
		state.appendInMemory([{
			index: 1, term: 1, kind: 'command', payload: 'x',
		}]);
		expect(await state.saveRecords()).to.equal(true);
		for (const write of [async () => state.saveSnapshot(snapshot), async () => state.grantVote(2, 'b'), async () => state.truncateFrom(1), async () => state.installSnapshot({...snapshot, index: 5})]) {
			storage.full = true;
			expect(await write()).to.equal(false);
			expect(state.diskFault).to.equal(true);
			storage.full = false;
			expect(await state.saveRecords()).to.equal(true);
		}

		expect(await state.grantVote(2, 'b')).to.equal(true);
		expect(state.diskFault).to.equal(false);
	});

	it('does not count records as synced that a full disk has refused', async () => {
		const storage = new MemoryLogStorage();
		const state = new MemberState('a', (await storage.open())._unsafeUnwrap(), {storage, clock: new ManualClock(), initialMembers: []});
		state.appendInMemory([{
			index: 1, term: 1, kind: 'command', payload: 'x',
		}]);
		storage.full = true;
		expect(await state.saveRecords()).to.equal(false);
		storage.full = false;
		expect(await state.grantVote(2, 'b')).to.equal(true);
		expect(state.durableIndex).to.equal(0);
		expect(await state.saveRecords()).to.equal(true);
		expect(state.durableIndex).to.equal(1);
	});
});
