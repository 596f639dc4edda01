/** A cluster of members in one process, with in-memory storage, a transport whose links can be blocked, and a manual clock. */
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {Random} from '@hickorytrack/random';
import {MemoryLogStorage} from '@hickorytrack/log-storage/memory-log-storage';
import {ReplicatedLog, type StateMachine} from '../src/replicated-log.js';
import type {MemberMessage, MemberReply} from '../src/member-messages.js';
import type {MemberInfo} from '../src/member-set.js';
import type {LogTiming} from '../src/member-state.js';

export class ListStateMachine implements StateMachine {
	values: unknown[] = [];

	apply(command: unknown): unknown {
		this.values.push(command);
		return this.values.length;
	}

	createSnapshot(): unknown {
		return [...this.values];
	}

	restoreSnapshot(state: unknown): void {
		this.values = [...state as unknown[]];
	}
}

export type TestMember = {
	log: ReplicatedLog;
	stateMachine: ListStateMachine;
	storage: MemoryLogStorage;
};

export class TestCluster {
	readonly clock = new ManualClock();
	readonly random: Random;
	readonly members = new Map<string, TestMember>();
	/** Links, written `from>to`, on which all messages are dropped. */
	readonly blockedLinks = new Set<string>();
	/** Called with each message that reaches a member. */
	onMessage: (message: MemberMessage) => void = () => {/* Nobody listens. */};
	/** Changes the replies on their way to the sender. */
	transformReply: (reply: MemberReply) => MemberReply = reply => reply;
	/** Probability with which a message is dropped. */
	lossRate = 0;
	readonly #timing: Partial<LogTiming>;

	constructor(seed: number, timing: Partial<LogTiming> = {}) {
		this.random = new Random(seed);
		this.#timing = timing;
	}

	async startMember(id: string, initialIds: string[], storage = new MemoryLogStorage(`folder of ${id}`)): Promise<TestMember> {
		const stateMachine = new ListStateMachine();
		const initialMembers = initialIds.map((name): MemberInfo => ({id: name, address: name, voter: true}));
		const log = new ReplicatedLog({
			id, initialMembers, storage, stateMachine, clock: this.clock, random: this.random, timing: this.#timing,
			transport: {
				call: async (to, message, timeoutMs) => {
					const target = this.members.get(to.id);
					if (!target || this.#isDropped(id, to.id)) {
						return this.#dropMessage(timeoutMs);
					}

					await this.clock.sleep(this.random.nextInteger(4));
					this.onMessage(message);
					const reply = await target.log.handle(structuredClone(message));
					return this.#isDropped(to.id, id) ? this.#dropMessage(timeoutMs) : this.transformReply(structuredClone(reply));
				},
			},
		});
		await log.start();
		const member = {log, stateMachine, storage};
		this.members.set(id, member);
		return member;
	}

	async startAll(ids: string[]): Promise<void> {
		for (const id of ids) {
			await this.startMember(id, ids);
		}
	}

	async stopMember(id: string): Promise<TestMember> {
		const member = this.members.get(id)!;
		this.members.delete(id);
		await member.log.stop();
		return member;
	}

	async stopAll(): Promise<void> {
		for (const id of this.members.keys()) {
			await this.stopMember(id);
		}
	}

	/** Blocks all links between a member and the others, in both directions. */
	isolate(id: string): void {
		for (const other of this.members.keys()) {
			this.blockedLinks.add(`${id}>${other}`);
			this.blockedLinks.add(`${other}>${id}`);
		}
	}

	restoreLinks(): void {
		this.blockedLinks.clear();
	}

	get leaders(): TestMember[] {
		return [...this.members.values()].filter(member => member.log.isLeader);
	}

	async waitForLeader(): Promise<TestMember> {
		for (let round = 0; round < 100; round++) {
			const [leader] = this.leaders;
			if (leader && this.leaders.length === 1) {
				return leader;
			}

			await this.clock.advance(100);
		}

		throw new Error('no leader within 10 s');
	}

	/** Advances the clock until the promise resolves, and returns its result. */
	async waitForResult<T>(promise: Promise<T>): Promise<T> {
		const results: T[] = [];
		void promise.then(value => {
			results.push(value);
		});
		for (let round = 0; round < 1000; round++) {
			if (results.length > 0) {
				return results[0]!;
			}

			await this.clock.advance(10);
		}

		throw new Error('no result within 10 s');
	}

	#isDropped(from: string, to: string): boolean {
		return this.blockedLinks.has(`${from}>${to}`) || this.random.next() < this.lossRate;
	}

	async #dropMessage(timeoutMs: number): Promise<never> {
		await this.clock.sleep(timeoutMs);
		throw new Error('no reply');
	}
}
