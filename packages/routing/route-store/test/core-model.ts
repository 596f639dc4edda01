/**
 * A core of three members in one process without a network: the members' own code on a manual clock, with links and disks
 * that the checker controls. It plays one schedule of events and says which promise was broken, if any.
 */
import {err, ok, type Result} from 'neverthrow';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {EventLog} from '@hickorytrack/events';
import {
	LogStorageError, type LogRecord, type SnapshotRecord, type VoteState,
} from '@hickorytrack/log-storage';
import {MemoryLogStorage} from '@hickorytrack/log-storage/memory-log-storage';
import type {Mesh} from '@hickorytrack/mesh';
import {Random} from '@hickorytrack/random';
import type {PeerMember} from '@hickorytrack/types/peer-methods';
import {CoreMember, coreRole} from '../src/core-member.js';
import {storeOutcomes, type StoredConfiguration} from '../src/route-store.js';

/** What can happen; `leader` and `follower` are those of the moment, and the member that is dead for longest is revived. */
export const modelEvents = ['put', 'put and wait', 'conflicting put', 'kill leader', 'kill follower', 'wipe leader', 'wipe follower', 'replace follower', 'cut leader', 'power loss', 'revive', 'heal'] as const;
export type ModelEvent = typeof modelEvents[number];

type Handler = (params: unknown) => unknown;

type Node = {
	address: string;
	storage: ModelDisk;
	core?: CoreMember;
	handlers: Map<string, Handler>;
	/** Time of the last kill. */
	killedAt?: number;
};

/** A disk that takes some milliseconds to sync; what was not synced is lost with the power. */
class ModelDisk extends MemoryLogStorage {
	readonly #clock: ManualClock;
	#powerCuts = 0;

	constructor(folder: string, clock: ManualClock) {
		super(folder);
		this.#clock = clock;
	}

	cutPower(): void {
		this.#powerCuts++;
	}

	override async saveVote(vote: VoteState): Promise<Result<void, LogStorageError>> {
		return this.#sync(async () => super.saveVote(vote));
	}

	override async append(records: readonly LogRecord[]): Promise<Result<void, LogStorageError>> {
		return this.#sync(async () => super.append(records));
	}

	override async truncateFrom(index: number): Promise<Result<void, LogStorageError>> {
		return this.#sync(async () => super.truncateFrom(index));
	}

	override async saveSnapshot(snapshot: SnapshotRecord, remaining: readonly LogRecord[]): Promise<Result<void, LogStorageError>> {
		return this.#sync(async () => super.saveSnapshot(snapshot, remaining));
	}

	async #sync(write: () => Promise<Result<void, LogStorageError>>): Promise<Result<void, LogStorageError>> {
		const cuts = this.#powerCuts;
		await this.#clock.sleep(syncMs);
		return cuts === this.#powerCuts ? write() : err(new LogStorageError('ERR_HICKORYTRACK_LOG_IO', 'The power was lost before the sync'));
	}
}

export type ModelOptions = {
	seed: number;
	/** The bug put in on purpose: a disk that was lost comes back under its old identity, so its member keeps its vote. */
	hasForgottenVotes?: boolean;
};

const linkMs = 2;
const syncMs = 5;
const stopMs = 2000; // Longer than any task of a member sleeps.
const formLimitMs = 20_000;
const settleLimitMs = 20_000;
/** Time between two events of a schedule; a commit takes a few milliseconds, an election some hundred. */
const eventGapMs = [3, 40, 700];

export class CoreModel {
	readonly clock = new ManualClock();
	readonly #opts: ModelOptions;
	readonly #random: Random;
	readonly #nodes = new Map<string, Node>();
	readonly #cut = new Set<string>();
	readonly #acknowledged = new Map<number, string>();
	#version = 0;
	#diskLosses = 0;
	#added = 0;
	#broken: string | undefined;

	constructor(opts: ModelOptions) {
		this.#opts = opts;
		this.#random = new Random(opts.seed);
	}

	/** Forms the core and has one configuration acknowledged. */
	async form(): Promise<void> {
		for (const address of ['a', 'b', 'c']) {
			this.#start({address, storage: new ModelDisk(`disk of ${address}`, this.clock), handlers: new Map()}, {isFirstStart: true});
		}

		await this.#putUntil(formLimitMs);
	}

	/** Plays the events and then, with everything healed, judges; returns the promise that was broken. */
	async play(events: readonly ModelEvent[]): Promise<string | undefined> {
		for (const event of events) {
			await this.#happen(event);
			await this.clock.advance(this.#random.pick(eventGapMs));
		}

		this.#heal();
		await this.#readUntil(settleLimitMs);
		await this.#putUntil(settleLimitMs);
		for (const node of this.#nodes.values()) {
			this.#checkHeld(node.core?.store.held, `held by ${node.address} at the end`, {isNewest: node.core?.isLeader ?? false});
		}

		return this.#broken;
	}

	async stop(): Promise<void> {
		for (const node of this.#nodes.values()) {
			void node.core?.stop();
		}

		await this.clock.advance(stopMs);
	}

	async #happen(event: ModelEvent): Promise<void> {
		const leader = this.#findLeader();
		const follower = [...this.#nodes.values()].find(node => node.core && node !== leader);
		switch (event) {
			case 'put': {
				this.#put(this.#createDocument('a'));
				break;
			}

			case 'put and wait': {
				this.#put(this.#createDocument('a'));
				await this.clock.advance(1200);
				break;
			}

			case 'conflicting put': {
				this.#put(this.#createDocument('a'));
				this.#put({...this.#createDocument('b'), version: this.#version - 1});
				break;
			}

			case 'kill leader': {
				this.#kill(leader);
				break;
			}

			case 'kill follower': {
				this.#kill(follower);
				break;
			}

			case 'wipe leader': {
				this.#wipe(leader);
				break;
			}

			case 'wipe follower': {
				this.#wipe(follower);
				break;
			}

			case 'replace follower': {
				this.#replace(follower);
				break;
			}

			case 'cut leader': {
				if (leader) {
					this.#cut.add(leader.address);
				}

				break;
			}

			case 'power loss': {
				for (const node of this.#nodes.values()) {
					this.#kill(node);
				}

				this.#restartAll();
				break;
			}

			case 'revive': {
				const [dead] = [...this.#nodes.values()].filter(node => !node.core).sort((a, b) => a.killedAt! - b.killedAt!);
				if (dead) {
					this.#start(dead, {isFirstStart: false});
				}

				break;
			}

			default: {
				this.#heal();
			}
		}
	}

	#createDocument(text: string): StoredConfiguration {
		this.#version++;
		return {version: this.#version, digest: `${this.#version}/${text}`, document: text};
	}

	/** Sends a change to whichever members believe that they lead, as edges pass changes on. */
	#put(stored: StoredConfiguration): void {
		for (const node of this.#nodes.values()) {
			if (node.core?.isLeader) {
				void this.#putAt(node, stored);
			}
		}
	}

	async #putAt(node: Node, stored: StoredConfiguration): Promise<boolean> {
		const result = await node.core!.put(stored);
		const isAcknowledged = result.isOk() && (result.value === storeOutcomes.stored || result.value === storeOutcomes.same);
		if (isAcknowledged) {
			this.#noteAcknowledged(stored);
		}

		return isAcknowledged;
	}

	#noteAcknowledged({version, digest}: StoredConfiguration): void {
		const known = this.#acknowledged.get(version);
		if (known !== undefined && known !== digest) {
			this.#broken ??= `${known} and ${digest} were both acknowledged`;
		}

		this.#acknowledged.set(version, digest);
	}

	/** Puts new documents until one is acknowledged. */
	async #putUntil(limitMs: number): Promise<void> {
		const isDone = await this.#repeat(limitMs, async leader => this.#putAt(leader, this.#createDocument('a')));
		if (!isDone) {
			this.#broken ??= 'no change is acknowledged although everything is healed';
		}
	}

	/** Reads until a majority confirms, and compares with what was acknowledged. */
	async #readUntil(limitMs: number): Promise<void> {
		const isDone = await this.#repeat(limitMs, async leader => {
			const highest = Math.max(0, ...this.#acknowledged.keys());
			const result = await leader.core!.read();
			if (result.isOk() && (result.value?.version ?? 0) < highest) {
				this.#broken ??= `version ${result.value?.version} was read after ${highest} was acknowledged`;
			}

			return result.isOk();
		});
		if (!isDone) {
			this.#broken ??= 'no read is confirmed although everything is healed';
		}
	}

	/** Tries at whoever leads until it succeeds once. */
	async #repeat(limitMs: number, attempt: (leader: Node) => Promise<boolean>): Promise<boolean> {
		let isDone = false;
		for (let waitedMs = 0; waitedMs < limitMs && !isDone; waitedMs += 100) {
			const leader = this.#findLeader();
			if (leader) {
				void attempt(leader).then(isSuccess => {
					isDone ||= isSuccess;
				});
			}

			await this.clock.advance(100);
		}

		return isDone;
	}

	#checkHeld(held: StoredConfiguration | undefined, where: string, opts: {isNewest: boolean}): void {
		const highest = Math.max(0, ...this.#acknowledged.keys());
		const expected = held && this.#acknowledged.get(held.version);
		if (expected !== undefined && expected !== held!.digest) {
			this.#broken ??= `${held!.digest} is ${where}, ${expected} was acknowledged`;
		}

		if (opts.isNewest && (held?.version ?? 0) < highest) {
			this.#broken ??= `version ${held?.version} is ${where}, ${highest} was acknowledged`;
		}
	}

	#findLeader(): Node | undefined {
		return [...this.#nodes.values()].filter(node => node.core?.isLeader).sort((a, b) => b.core!.term - a.core!.term)[0];
	}

	#heal(): void {
		this.#cut.clear();
		this.#restartAll();
	}

	#restartAll(): void {
		for (const node of this.#nodes.values()) {
			if (!node.core) {
				this.#start(node, {isFirstStart: false});
			}
		}
	}

	#kill(node: Node | undefined): void {
		if (node?.core) {
			const {core} = node;
			node.core = undefined;
			node.killedAt = this.clock.monotonic();
			node.storage.cutPower();
			node.handlers.clear();
			// A write that waits for the disk ends only as time goes on.
			void core.stop();
		}
	}

	/** One disk may be lost in a schedule; more are not tolerated by three members. */
	#wipe(node: Node | undefined): void {
		if (!node || this.#diskLosses > 0) {
			return;
		}

		this.#diskLosses++;
		this.#kill(node);
		node.storage = new ModelDisk(this.#opts.hasForgottenVotes ? `disk of ${node.address}` : `new disk of ${node.address}`, this.clock);
		this.#start(node, {isFirstStart: false});
	}

	#replace(node: Node | undefined): void {
		if (!node || this.#diskLosses > 0) {
			return;
		}

		this.#diskLosses++;
		this.#added++;
		this.#kill(node);
		this.#nodes.delete(node.address);
		const address = `new ${this.#added}`;
		this.#start({address, storage: new ModelDisk(`disk of ${address}`, this.clock), handlers: new Map()}, {isFirstStart: false});
	}

	#start(node: Node, opts: {isFirstStart: boolean}): void {
		this.#nodes.set(node.address, node);
		const {clock} = this;
		node.core = new CoreMember({
			mesh: this.#createMesh(node), storage: node.storage, clock, random: this.#random, events: new EventLog({clock}), toleratedLosses: 1, isFirstStart: opts.isFirstStart, seeds: ['a', 'b', 'c'], onStored(stored) {
				// Only what is acknowledged or read counts.
				stored;
			},
		});
		void node.core.run();
	}

	#createMesh(node: Node): Mesh {
		const describe = (address: string): PeerMember => ({
			instance: address, address, roles: [coreRole], availabilityZone: 'z', incarnation: address,
		});
		const mesh = {
			address: node.address,
			peers: {
				handle(method: string, handler: Handler) {
					node.handlers.set(method, handler);
				},
			},
			listMembers: () => [...this.#nodes.keys()].filter(address => address !== node.address).map(address => describe(address)),
			findMember: (address: string) => this.#nodes.has(address) ? describe(address) : undefined,
			findConnection: (address: string) => ({
				request: async (method: string, params: unknown) => this.#carry(node, {address, method, params}),
			}),
		};
		return mesh as unknown as Mesh;
	}

	async #carry(from: Node, {address, method, params}: {address: string; method: string; params: unknown}) {
		const sender = from.core;
		await this.clock.sleep(linkMs);
		const handler = this.#isReachable(from.address, address) ? this.#nodes.get(address)?.handlers.get(method) : undefined;
		if (!handler) {
			return err(new Error('unreachable'));
		}

		try {
			const reply = await handler(structuredClone(params));
			await this.clock.sleep(linkMs);
			const arrives = this.#isReachable(address, from.address) && from.core === sender;
			return arrives ? ok(structuredClone(reply)) : err(new Error('the reply was lost'));
		} catch (error) {
			return err(error as Error);
		}
	}

	#isReachable(from: string, to: string): boolean {
		return !this.#cut.has(from) && !this.#cut.has(to);
	}
}
