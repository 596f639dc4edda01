/**
 * A core of three members in one process without a network: the members' own code on a manual clock, with links and disks
 * that the checker controls. It plays one schedule of events and says which promise was broken, if any.
 */
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {EventLog} from '@hickorytrack/events';
import {Random} from '@hickorytrack/random';
import {CoreMember} from '../src/core-member.js';
import {storeOutcomes, type StoredConfiguration} from '../src/route-store.js';
import {ModelDisk} from './model-disk.js';
import {ModelNetwork, type ModelNode} from './model-network.js';

/** What can happen; `leader` and `follower` are those of the moment, and the member that is dead for longest is revived. */
export const modelEvents = ['put', 'put and wait', 'conflicting put', 'kill leader', 'kill follower', 'wipe leader', 'wipe follower', 'replace follower', 'cut leader', 'power loss', 'revive', 'heal'] as const;
export type ModelEvent = typeof modelEvents[number];

export type ModelOptions = {
	seed: number;
	/** The bug put in on purpose: a disk that was lost comes back under its old identity, so its member keeps its vote. */
	isFolderReused?: boolean;
};

const stopMs = 2000; // Longer than any task of a member sleeps.
const formLimitMs = 20_000;
const settleLimitMs = 20_000;
/** Time between two events of a schedule; a commit takes a few milliseconds, an election some hundred. */
const eventGapMs = [3, 40, 700];

export class CoreModel {
	readonly clock = new ManualClock();
	readonly #opts: ModelOptions;
	readonly #random: Random;
	readonly #network = new ModelNetwork(this.clock);
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
	async bootstrap(): Promise<void> {
		for (const address of ['a', 'b', 'c']) {
			this.#start({address, disk: new ModelDisk(`disk of ${address}`, this.clock), handlers: new Map()}, {isFirstStart: true});
		}

		await this.#putUntil(formLimitMs);
	}

	/** Plays the events and then, with everything healed, judges; returns the promise that was broken. */
	async run(events: readonly ModelEvent[]): Promise<string | undefined> {
		for (const event of events) {
			await this.#happen(event);
			await this.clock.advance(this.#random.pick(eventGapMs));
		}

		this.#heal();
		await this.#readUntil(settleLimitMs);
		await this.#putUntil(settleLimitMs);
		for (const node of this.#network.nodes.values()) {
			this.#checkHeld(node.core?.store.current, `held by ${node.address} at the end`, {isNewest: node.core?.isLeader ?? false});
		}

		return this.#broken;
	}

	async stop(): Promise<void> {
		for (const node of this.#network.nodes.values()) {
			void node.core?.stop();
		}

		await this.clock.advance(stopMs);
	}

	async #happen(event: ModelEvent): Promise<void> {
		const leader = this.#findLeader();
		const follower = [...this.#network.nodes.values()].find(node => node.core && node !== leader);
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
					this.#network.isolated.add(leader.address);
				}

				break;
			}

			case 'power loss': {
				for (const node of this.#network.nodes.values()) {
					this.#kill(node);
				}

				this.#restartAll();
				break;
			}

			case 'revive': {
				const [dead] = [...this.#network.nodes.values()].filter(node => !node.core).sort((a, b) => a.killedAt! - b.killedAt!);
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
		for (const node of this.#network.nodes.values()) {
			if (node.core?.isLeader) {
				void this.#putAt(node, stored);
			}
		}
	}

	async #putAt(node: ModelNode, stored: StoredConfiguration): Promise<boolean> {
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
	async #repeat(limitMs: number, attempt: (leader: ModelNode) => Promise<boolean>): Promise<boolean> {
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

	#findLeader(): ModelNode | undefined {
		return [...this.#network.nodes.values()].filter(node => node.core?.isLeader).sort((a, b) => b.core!.term - a.core!.term)[0];
	}

	#heal(): void {
		this.#network.isolated.clear();
		this.#restartAll();
	}

	#restartAll(): void {
		for (const node of this.#network.nodes.values()) {
			if (!node.core) {
				this.#start(node, {isFirstStart: false});
			}
		}
	}

	#kill(node: ModelNode | undefined): void {
		if (node?.core) {
			const {core} = node;
			node.core = undefined;
			node.killedAt = this.clock.monotonic();
			node.disk.simulatePowerLoss();
			node.handlers.clear();
			// A write that waits for the disk ends only as time goes on.
			void core.stop();
		}
	}

	/** One disk may be lost in a schedule; more are not tolerated by three members. */
	#wipe(node: ModelNode | undefined): void {
		if (!node || this.#diskLosses > 0) {
			return;
		}

		this.#diskLosses++;
		this.#kill(node);
		node.disk = new ModelDisk(this.#opts.isFolderReused ? `disk of ${node.address}` : `new disk of ${node.address}`, this.clock);
		this.#start(node, {isFirstStart: false});
	}

	#replace(node: ModelNode | undefined): void {
		if (!node || this.#diskLosses > 0) {
			return;
		}

		this.#diskLosses++;
		this.#added++;
		this.#kill(node);
		this.#network.nodes.delete(node.address);
		const address = `new ${this.#added}`;
		this.#start({address, disk: new ModelDisk(`disk of ${address}`, this.clock), handlers: new Map()}, {isFirstStart: false});
	}

	#start(node: ModelNode, opts: {isFirstStart: boolean}): void {
		this.#network.nodes.set(node.address, node);
		const {clock} = this;
		node.core = new CoreMember({
			mesh: this.#network.createMesh(node), storage: node.disk, clock, random: this.#random, events: new EventLog({clock}), toleratedLosses: 1, isFirstStart: opts.isFirstStart, seeds: ['a', 'b', 'c'], onStored(stored) {
				// Only what is acknowledged or read counts.
				stored;
			},
		});
		void node.core.run();
	}
}
