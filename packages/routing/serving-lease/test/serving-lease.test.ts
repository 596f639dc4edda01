import {setMaxListeners} from 'node:events';
import {expect} from 'chai';
import type {Clock} from '@hickorytrack/clock';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {LeaseIssuer, type LeaseAnswer} from '../src/lease-issuer.js';
import {ServingLease} from '../src/serving-lease.js';

const lengthMs = 4000;
const revocationMs = 5000;

/** A machine whose wall clock can be set, and which can be suspended: its monotonic clock stops, and the wall clock goes on. */
class MachineClock implements Clock {
	wallOffsetMs = 0;
	readonly #manual: ManualClock;

	constructor(manual: ManualClock) {
		this.#manual = manual;
	}

	now(): number {
		return this.#manual.now() + this.wallOffsetMs;
	}

	monotonic(): number {
		return this.#manual.monotonic();
	}

	async sleep(ms: number, signal?: AbortSignal): Promise<void> {
		return this.#manual.sleep(ms, signal);
	}

	startTimer(ms: number, onExpired: () => void): () => void {
		return this.#manual.startTimer(ms, onExpired);
	}
}

describe('serving lease', () => {
	let manual: ManualClock;
	let clock: MachineClock;
	let leaderClock: MachineClock;
	let installed: number | undefined;
	let newest: number | undefined;
	let isConnected: boolean;
	let delayMs: number;
	let confirmations: number;
	let changes: boolean[];
	let fetches: number;
	let issuer: LeaseIssuer;
	let lease: ServingLease;
	let abortController: AbortController;

	const createLease = () => new ServingLease({
		clock, lengthMs, getVersion: () => installed, async fetch() {
			fetches++;
			installed = newest;
		}, onChanged(isValid) {
			changes.push(isValid);
		}, async ask(): Promise<LeaseAnswer | undefined> {
			if (!isConnected) {
				return undefined;
			}

			const answer = await issuer.answer();
			await clock.sleep(delayMs);
			return answer;
		},
	});

	beforeEach(() => {
		manual = new ManualClock();
		clock = new MachineClock(manual);
		leaderClock = new MachineClock(manual);
		installed = 3;
		newest = 3;
		isConnected = true;
		delayMs = 0;
		confirmations = 0;
		changes = [];
		fetches = 0;
		issuer = new LeaseIssuer({
			clock: leaderClock, async confirm() {
				confirmations++;
				return newest;
			},
		});
		lease = createLease();
		abortController = new AbortController();
		setMaxListeners(0, abortController.signal);
	});

	afterEach(() => {
		abortController.abort();
	});

	const run = () => {
		void lease.run(abortController.signal);
	};

	const renew = async () => {
		const renewal = lease.renew();
		await manual.advance(0);
		await renewal;
	};

	it('holds while the leader answers, and only until its time after the last question once it does not', async () => {
		expect(lease.isValid).to.equal(false);
		run();
		await manual.advance(20_000);
		expect(lease.isValid).to.equal(true);
		isConnected = false;
		await manual.advance(3000);
		expect(lease.isValid).to.equal(true);
		await manual.advance(1000);
		expect(lease.isValid).to.equal(false);
		isConnected = true;
		await manual.advance(200);
		expect(lease.isValid).to.equal(true);
		expect(changes).to.deep.equal([true, false, true]);
	});

	// A suspended machine finds requests in its sockets before any timer runs.
	it('has expired at the first use after a suspension', async () => {
		run();
		await manual.advance(2000);
		clock.wallOffsetMs += lengthMs;
		expect(lease.isValid).to.equal(false);
		await manual.advance(1000);
		expect(lease.isValid).to.equal(true);
	});

	it('is not lengthened by a wall clock that is set back, also before a suspension', async () => {
		run();
		await manual.advance(2000);
		isConnected = false;
		clock.wallOffsetMs -= 60_000;
		expect(lease.isValid).to.equal(true);
		await manual.advance(100);
		expect(lease.isValid).to.equal(true);
		clock.wallOffsetMs += lengthMs;
		expect(lease.isValid).to.equal(false);
	});

	it('ends when the wall clock is set forward, and returns with the next answer', async () => {
		run();
		await manual.advance(2000);
		clock.wallOffsetMs += 60_000;
		expect(lease.isValid).to.equal(false);
		await manual.advance(1000);
		expect(lease.isValid).to.equal(true);
	});

	it('counts from the question, so that an answer that comes late is worth less or nothing', async () => {
		delayMs = 3000;
		run();
		await manual.advance(3000);
		expect(lease.isValid).to.equal(true);
		expect(lease.remainingMs).to.equal(lengthMs - 3000);
		delayMs = lengthMs;
		await manual.advance(20_000);
		expect(lease.isValid).to.equal(false);
	});

	it('counts from the confirmation, not from the answer, also if the leader was suspended in between', async () => {
		await issuer.answer();
		await manual.advance(250);
		leaderClock.wallOffsetMs += 49;
		await renew();
		expect(confirmations).to.equal(1);
		expect(lease.remainingMs).to.equal(lengthMs - 299);
		leaderClock.wallOffsetMs += 60_000;
		await renew();
		expect(confirmations).to.equal(2);
	});

	it('needs the confirmed version, and fetches it at once', async () => {
		newest = 4;
		run();
		await manual.advance(100);
		expect(fetches).to.equal(1);
		expect(lease.isValid).to.equal(true);
		expect(installed).to.equal(4);
	});

	// Guards against a lease that ends while versions follow each other faster than they are installed, and nobody asks for it.
	it('counts from the confirmation of a version that is installed just before the next answer names a newer one', async () => {
		const slow = new ServingLease({
			clock, lengthMs, getVersion: () => installed, async fetch() {/* The link is slow. */}, onChanged() {/* Not looked at. */}, ask: async () => issuer.answer(),
		});
		newest = 4;
		await slow.renew();
		await manual.advance(400);
		installed = 4;
		newest = 5;
		await slow.renew();
		expect(slow.remainingMs).to.equal(lengthMs - 400);
	});

	it('does not go on when a newer version can\'t be installed', async () => {
		run();
		await manual.advance(1000);
		const stuck = new ServingLease({
			clock, lengthMs, getVersion: () => 3, async fetch() {/* The document can't be used here. */}, onChanged() {/* Not looked at. */}, ask: async () => issuer.answer(),
		});
		await stuck.renew();
		expect(stuck.isValid).to.equal(true);
		newest = 4;
		void stuck.run(abortController.signal);
		await manual.advance(lengthMs + 500);
		expect(stuck.isValid).to.equal(false);
	});

	it('does not exist after a restart, nor without a leader, until a majority confirms', async () => {
		newest = undefined;
		run();
		await manual.advance(10_000);
		expect(lease.isValid).to.equal(false);
		newest = 3;
		await manual.advance(200);
		expect(lease.isValid).to.equal(true);
		expect(createLease().isValid).to.equal(false);
	});

	it('costs the core one confirmation for all askers in an interval, and none while nobody asks', async () => {
		const leases = Array.from({length: 20}, () => createLease());
		for (const one of leases) {
			void one.run(abortController.signal);
		}

		await manual.advance(10_000);
		expect(confirmations).to.be.within(10, 34);
		abortController.abort();
		const before = confirmations;
		await manual.advance(10_000);
		expect(confirmations).to.be.at.most(before + 1);
	});

	// Else a caller with a key of a newer configuration is told that its key is wrong.
	it('confirms a version only by what the core confirms after the call', async () => {
		run();
		await manual.advance(1000);
		newest = 4;
		const confirmed = lease.confirmVersion(1500);
		await manual.advance(1000);
		expect(await confirmed).to.equal(true);
		expect(installed).to.equal(4);
		isConnected = false;
		await manual.advance(10);
		const unconfirmed = lease.confirmVersion(1500);
		await manual.advance(2000);
		expect(await unconfirmed).to.equal(false);
	});

	it('is over everywhere before the time of a revocation, whatever is cut off or suspended in between', async () => {
		for (let seed = 1; seed <= 40; seed++) {
			lease = createLease();
			delayMs = (seed * 37) % 900;
			isConnected = true;
			installed = newest;
			const controller = new AbortController();
			void lease.run(controller.signal);
			await manual.advance(1000 + (seed * 83));
			const acknowledgedAt = manual.monotonic() + clock.wallOffsetMs;
			const old = newest!;
			newest = old + 1;
			isConnected = seed % 3 === 0;
			while (manual.monotonic() + clock.wallOffsetMs - acknowledgedAt < revocationMs) {
				await manual.advance(97);
				if (seed % 4 === 0 && manual.monotonic() + clock.wallOffsetMs - acknowledgedAt > 700) {
					clock.wallOffsetMs += 1700;
				}
			}

			expect(lease.isValid && installed === old, `seed ${seed}`).to.equal(false);
			controller.abort();
			await manual.advance(2000);
		}
	});
});
