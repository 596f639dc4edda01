import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {BanKeeper} from '../src/ban-keeper.js';
import {BanStore, type BanCommand, type BanRecord} from '../src/ban-store.js';
import {CrashAttribution} from '../src/crash-attribution.js';
import {mergeTraits, verdicts} from '../src/run-traits.js';

const badRun = {request: 'r', parts: ['a', 'bad', 'x']};

describe('bans in the replicated log', () => {
	let clock: ManualClock;
	let attribution: CrashAttribution;
	let store: BanStore;
	let commands: BanCommand[];
	let canStore: boolean;

	beforeEach(() => {
		clock = new ManualClock();
		attribution = new CrashAttribution({clock});
		store = new BanStore(() => {/* The memory has them. */});
		commands = [];
		canStore = true;
	});

	const update = async () => new BanKeeper({
		clock, attribution, store, canStore: () => canStore, async propose(command) {
			commands.push(command);
			store.apply(structuredClone(command));
			return true;
		},
	}).update();

	const ban = () => {
		for (const id of ['1', '2', '3']) {
			attribution.recordCrash({id, traits: mergeTraits([{request: id, parts: ['a', 'bad', id]}])});
			attribution.recordSound({request: `sound ${id}`, parts: ['a', 'y']});
		}
	};

	/** Returns the memory of a process that knows the log only. */
	const restore = (records: readonly BanRecord[]) => {
		const restored = new CrashAttribution({clock});
		for (const {suspects, crashes} of records) {
			for (const [id, at] of crashes) {
				restored.recordCrash({id, traits: suspects, ageMs: clock.now() - at});
			}
		}

		return restored;
	};

	// Bans were kept in memory only: after all processes had been killed at once, a part crashed as many servers once more.
	it('outlive the memory of all processes', async () => {
		ban();
		await update();
		let records: readonly BanRecord[] = [];
		const other = new BanStore(restored => {
			records = restored;
		});
		other.restoreSnapshot(structuredClone(store.createSnapshot()));
		expect(restore(records).checkRun(badRun).verdict).to.equal(verdicts.refused);
		expect(restore(records).checkRun({request: 'q', parts: ['a', 'y']}).verdict).to.equal(verdicts.allowed);
	});

	it('are tried as late as before', async () => {
		ban();
		await update();
		await clock.advance(4000);
		expect(restore(store.list()).listBans()[0]!.trialInMs).to.equal(attribution.listBans()[0]!.trialInMs);
	});

	it('are written once, and nothing without one', async () => {
		await update();
		expect(commands).to.have.length(0);
		ban();
		await update();
		await clock.advance(1000);
		await update();
		expect(commands).to.have.length(1);
	});

	it('end with the ban', async () => {
		ban();
		await update();
		attribution.clearBan(attribution.listBans()[0]!.trait);
		await update();
		expect(store.list()).to.deep.equal([]);
	});

	it('are not written while a member of the core does not know them', async () => {
		canStore = false;
		ban();
		await update();
		expect(commands).to.have.length(0);
	});

	it('are forgotten after a day', async () => {
		ban();
		await update();
		store.apply({
			kind: 'crash-bans', at: clock.now() + 86_400_001, put: [], removed: [],
		});
		expect(store.list()).to.deep.equal([]);
	});
});
