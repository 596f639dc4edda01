/**
 * A core of three members and further instances in simulated time, without a network: one log that all members apply, a leader
 * that the test elects, and an infrastructure that checks the rules of holders and of reports at each call.
 */
import type {Clock} from '@hickorytrack/clock';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {SingletonDuty} from '@hickorytrack/singleton-duty';
import {callOutcomes, type CallResult, type DutyTransport} from '@hickorytrack/singleton-duty/duty';
import {expect} from 'chai';
import {UsageCounter} from '../src/usage-counter.js';
import {UsageDuty, type WindowReport} from '../src/usage-duty.js';
import {UsageStore, type UsageCommand} from '../src/usage-store.js';
import {UsageWindows} from '../src/usage-windows.js';

export const windowMs = 5000;
export const leaseMs = 3000;
const stepMs = 50;
const reportMs = 1000;

export type SentCall = {at: number; holder: string; token: number; bytes: string; window: number};

export class Instance {
	readonly counter: UsageCounter;
	isAlive = true;
	/** Connected to no other instance. */
	isCut = false;
	#reportedAt = 0;

	constructor(readonly fleet: UsageFleet, readonly name: string) {
		this.counter = new UsageCounter({clock: fleet.clock, windowMs, sender: name});
		this.counter.begin();
	}

	count(workspace: string, times = 1): void {
		for (let index = 0; index < times; index++) {
			this.counter.count(workspace);
		}

		this.fleet.counted[workspace] = (this.fleet.counted[workspace] ?? 0) + times;
	}

	report(): void {
		const {leader, clock} = this.fleet;
		const isDue = clock.now() - this.#reportedAt >= reportMs || clock.now() % windowMs === 0;
		if (!isDue || !leader || leader.name === this.name || this.isCut || leader.isCut) {
			return;
		}

		this.#reportedAt = clock.now();
		let isAgain = true;
		while (isAgain) {
			const report = this.counter.createReport()!;
			const reply = leader.windows.collect(structuredClone(report));
			isAgain = !this.fleet.areRepliesLost && this.counter.handleReply(report, reply);
		}
	}
}

export class Member extends Instance {
	readonly store = new UsageStore();
	readonly windows: UsageWindows;
	readonly duty: SingletonDuty<WindowReport>;
	/** The term in which it believes that it leads. */
	term: number | undefined;
	isFrozen = false;
	/** By how much its wall clock is ahead, in milliseconds. */
	clockOffsetMs = 0;
	/** What a confirmation waits for. */
	confirmation: Promise<void> = Promise.resolve();

	constructor(fleet: UsageFleet, name: string) {
		super(fleet, name);
		const propose = async (command: UsageCommand) => this.isAlive && fleet.append(this, command);
		for (const command of fleet.log) {
			this.store.apply(structuredClone(command));
		}

		const {clock} = fleet;
		const ownClock: Clock = {
			now: () => clock.now() + this.clockOffsetMs, monotonic: () => clock.monotonic(), sleep: async (ms, signal) => clock.sleep(ms, signal), startTimer: (ms, onExpired) => clock.startTimer(ms, onExpired),
		};
		this.windows = new UsageWindows({
			clock: ownClock, events: fleet, windowMs, dueMs: 10_000, counter: this.counter, store: this.store, getTerm: () => this.term, listSenders: () => fleet.listOthers(this), propose,
		});
		this.duty = new SingletonDuty({
			clock: fleet.clock, events: fleet, leadership: this,
			duties: [new UsageDuty({store: this.store, propose})], transport: fleet.transport, holder: name, leaseMs, callsPerSecond: 2,
		});
	}

	async confirm(): Promise<number | undefined> {
		const isConfirmed = this.fleet.leader === this && !this.isCut;
		await this.confirmation;
		return isConfirmed ? this.term : undefined;
	}
}

export class UsageFleet {
	readonly clock = new ManualClock(1_700_000_000_000);
	readonly log: UsageCommand[] = [];
	readonly members: Member[];
	readonly others: Instance[];
	readonly calls: SentCall[] = [];
	readonly events: Array<{name: string; fields: Record<string, unknown>}> = [];
	/** Requests that were counted, by workspace. */
	readonly counted: Record<string, number> = {};
	leader: Member | undefined;
	areRepliesLost = false;
	term = 0;
	/** What the infrastructure answers. */
	answer: (call: SentCall) => Promise<CallResult> | CallResult = () => ({outcome: callOutcomes.accepted, status: 200});
	readonly transport: DutyTransport<WindowReport> = {
		send: async (report, {holder, fencingToken, canSend}) => {
			if (!canSend()) {
				return {outcome: callOutcomes.notSent};
			}

			const call = {
				at: this.clock.now(), holder, token: fencingToken, bytes: JSON.stringify(report), window: report.window,
			};
			this.calls.push(call);
			this.#checkCalls();
			return this.answer(call);
		},
	};

	constructor() {
		this.members = ['a', 'b', 'c'].map(name => new Member(this, name));
		this.others = ['x', 'y'].map(name => new Instance(this, name));
	}

	get instances(): Instance[] {
		return [...this.members, ...this.others];
	}

	emit(name: string, fields: Record<string, unknown> = {}): void {
		this.events.push({name, fields});
	}

	listOthers(member: Instance): string[] {
		return this.instances.filter(other => other !== member && other.isAlive && !other.isCut && !member.isCut).map(({name}) => name);
	}

	/** A former leader that was cut off or frozen goes on in its belief. */
	elect(member: Member): void {
		const former = this.leader;
		if (former && !former.isCut && !former.isFrozen) {
			former.term = undefined;
		}

		this.term++;
		this.leader = member;
		member.term = this.term;
	}

	/** Appends to the log if the member leads with a majority. */
	append(member: Member, command: UsageCommand): boolean {
		if (this.leader !== member || member.isCut) {
			return false;
		}

		this.log.push(structuredClone(command));
		for (const {store} of this.members) {
			store.apply(structuredClone(command));
		}

		return true;
	}

	kill(instance: Instance): void {
		instance.isAlive = false;
		if (this.leader === instance) {
			this.leader = undefined;
		}
	}

	/** Replaces all members by new processes that have the log alone. */
	restartCore(): void {
		this.leader = undefined;
		for (const [index, {name}] of this.members.entries()) {
			this.members[index] = new Member(this, `${name}'`);
		}
	}

	async run(ms: number, onStep: () => void = () => undefined): Promise<void> {
		for (let elapsed = 0; elapsed < ms; elapsed += stepMs) {
			await this.clock.advance(stepMs);
			onStep();
			for (const instance of this.instances.filter(({isAlive}) => isAlive)) {
				if (!(instance instanceof Member)) {
					instance.report();
				} else if (!instance.isFrozen) {
					instance.report();
					await instance.windows.update();
					// Not awaited: a call that has no answer yet must not stop the time.
					void instance.duty.runOnce();
				}
			}
		}
	}

	async runUntil(isReached: () => boolean, maxMs = 60_000): Promise<void> {
		const until = this.clock.now() + maxMs;
		while (!isReached() && this.clock.now() < until) {
			await this.run(stepMs);
		}

		expect(isReached(), 'reached in time').to.equal(true);
	}

	/** Sums of all windows that the infrastructure has, each counted once. */
	get reported(): Record<string, number> {
		const sums: Record<string, number> = {};
		for (const bytes of new Map(this.calls.map(call => [call.window, call.bytes])).values()) {
			for (const [workspace, count] of (JSON.parse(bytes) as WindowReport).counts) {
				sums[workspace] = (sums[workspace] ?? 0) + count;
			}
		}

		return sums;
	}

	#checkCalls(): void {
		const call = this.calls.at(-1)!;
		for (const earlier of this.calls) {
			expect(earlier.window !== call.window || earlier.bytes === call.bytes, `one report for window ${call.window}`).to.equal(true);
			expect(earlier.token <= call.token && (earlier.token !== call.token || earlier.holder === call.holder), 'token of one holder, never falling').to.equal(true);
		}

		const changes = this.calls.filter((each, index) => index > 0 && this.calls[index - 1]!.holder !== each.holder);
		expect(changes.length < 2 || changes.at(-1)!.at - changes.at(-2)!.at > leaseMs, 'no holder returns within the lease').to.equal(true);
	}
}
