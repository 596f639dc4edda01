/** A cluster of members in one process: memory storage, a transport whose links can be cut, and a manual clock. */
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {Random} from '@hickorytrack/random';
import {MemoryLogStorage} from '@hickorytrack/log-storage/memory-log-storage';
import {ReplicatedLog, type StateMachine} from '../src/replicated-log.js';
import type {MemberInfo} from '../src/member-set.js';
import type {LogTiming} from '../src/member-state.js';

export class ListStateMachine implements StateMachine {
	values: unknown[] = [];

	apply(command: unknown): unknown {
		this.values.push(command);
		return this.values.length;
	}

	takeSnapshot(): unknown {
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
	/** Pairs `from>to` on which messages vanish. */
	readonly blockedLinks = new Set<string>();
	/** Part of all messages that vanish. */
	lossRate = 0;
	readonly #timing: Partial<LogTiming>;

	constructor(seed: number, timing: Partial<LogTiming> = {}) {
		this.random = new Random(seed);
		this.#timing = timing;
	}

	async startMember(id: string, initial: string[], storage = new MemoryLogStorage(`folder of ${id}`)): Promise<TestMember> {
		const stateMachine = new ListStateMachine();
		const initialMembers = initial.map((name): MemberInfo => ({id: name, address: name, voter: true}));
		const log = new ReplicatedLog({
			id, initialMembers, storage, stateMachine, clock: this.clock, random: this.random, timing: this.#timing,
			transport: {
				call: async (to, message, timeoutMs) => {
					const target = this.members.get(to.id);
					if (!target || this.#isLost(id, to.id)) {
						return this.#loseMessage(timeoutMs);
					}

					await this.clock.sleep(this.random.nextInteger(4));
					const reply = await target.log.handle(structuredClone(message));
					return this.#isLost(to.id, id) ? this.#loseMessage(timeoutMs) : structuredClone(reply);
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

	/** Cuts a member off from all others, both ways. */
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

		throw new Error('no leader within ten seconds');
	}

	/** Proposes at the member and moves time until there is an outcome. */
	async waitForResult<T>(work: Promise<T>): Promise<T> {
		const outcomes: T[] = [];
		void work.then(value => {
			outcomes.push(value);
		});
		for (let round = 0; round < 1000; round++) {
			if (outcomes.length > 0) {
				return outcomes[0]!;
			}

			await this.clock.advance(10);
		}

		throw new Error('no outcome within ten seconds');
	}

	#isLost(from: string, to: string): boolean {
		return this.blockedLinks.has(`${from}>${to}`) || this.random.next() < this.lossRate;
	}

	async #loseMessage(timeoutMs: number): Promise<never> {
		await this.clock.sleep(timeoutMs);
		throw new Error('no reply');
	}
}
