/**
 * Model of a core with three members in one process: the production code of the members on a manual clock, with simulated
 * links and disks. It runs one schedule of fault events and reports the first violated invariant, if any.
 */
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {EventLog} from '@hickorytrack/events';
import {Random} from '@hickorytrack/random';
import {CoreMember} from '../src/core-member.js';
import {storeOutcomes, type StoredConfiguration} from '../src/route-store.js';
import {ModelDisk} from './model-disk.js';
import {ModelNetwork, type ModelNode} from './model-network.js';

/** Events of a schedule. `leader` and `follower` are resolved when an event runs; `restart` takes the member stopped for longest. */
export const modelEvents = ['put', 'put and wait', 'conflicting put', 'kill leader', 'kill follower', 'wipe leader', 'wipe follower', 'replace follower', 'isolate leader', 'power loss', 'restart', 'heal'] as const;
/** Events of planned work, of losses that last and of full disks, for schedules that are written by hand. */
export const plannedEvents = ['add member', 'retire member', 'retire leader', 'stop member', 'stop leader', 'begin stop', 'put in time', 'reconnect', 'rival puts', 'split', 'settle', 'isolate follower', 'isolate new member', 'stay lost', 'catch up', 'fill leader disk', 'fill follower disk', 'fill disks', 'crowd leader disk', 'crowd disks', 'large put', 'read in time', 'free disks'] as const;
export type ModelEvent = typeof modelEvents[number] | typeof plannedEvents[number];

export type ModelOptions = {
	seed: number;
	/** Injects a bug: a wiped disk keeps its former folder identity, so its member keeps its vote although it lost the log. */
	isFolderReused?: boolean;
};

const stopMs = 2000; // Longer than the longest sleep of a member's tasks.
const bootstrapTimeoutMs = 20_000;
const convergenceTimeoutMs = 20_000;
/** Longer than the time after which a voter without contact is removed. */
const lossMs = 3500;
/** Time that the platform grants a machine that is back, before another one may be lost. */
const catchUpMs = 4000;
/** Time within which a change is acknowledged while no more than one member is lost. */
const ackMs = 4000;
/** Larger than what a leader sends before it has synced it. */
const largeBytes = 100_000;
/** Time after a disturbance from which the core counts as stable. */
const contactMs = 3000;
/** Time between the signal to stop and the end of a process that has no open requests. */
const drainMs = 2500;
/** Addresses of the successors in planned replacements, in this order. */
const successorAddresses = ['d', 'e', 'f', 'g'];
/** Time between two events of a schedule. A commit takes a few milliseconds, an election some hundred. */
const eventGapMs = [3, 40, 700];

export class CoreModel {
	readonly clock = new ManualClock();
	readonly #opts: ModelOptions;
	readonly #random: Random;
	readonly #network = new ModelNetwork(this.clock);
	readonly #acknowledged = new Map<number, string>();
	#version = 0;
	/** Losses of disks that the members have to bear at the same time with those before. */
	#diskLosses = 0;
	#replacements = 0;
	#successors = 0;
	/** Addresses of the members that were told to stop, and still run. */
	readonly #leaving = new Set<string>();
	#violation: string | undefined;

	constructor(opts: ModelOptions) {
		this.#opts = opts;
		this.#random = new Random(opts.seed);
	}

	/** Starts the three members and waits until one configuration is acknowledged. */
	async bootstrap(): Promise<void> {
		for (const address of ['a', 'b', 'c']) {
			this.#start({address, disk: new ModelDisk(`disk of ${address}`, this.clock), handlers: new Map()}, {isFirstStart: true});
		}

		await this.#putUntilAcknowledged(bootstrapTimeoutMs);
	}

	/** Runs the events, removes all faults, and checks the invariants; returns the first violation. */
	async run(events: readonly ModelEvent[]): Promise<string | undefined> {
		for (const event of events) {
			await this.#applyEvent(event);
			await this.clock.advance(this.#random.select(eventGapMs));
		}

		this.#clearFaults();
		await this.#readUntilConfirmed(convergenceTimeoutMs);
		await this.#putUntilAcknowledged(convergenceTimeoutMs);
		await this.#waitUntilAllVote(convergenceTimeoutMs);
		for (const node of this.#network.nodes.values()) {
			this.#checkStored(node.core?.store.current, `stored on ${node.address} at the end`, {isNewest: node.core?.isLeader ?? false});
		}

		return this.#violation;
	}

	async stop(): Promise<void> {
		for (const node of this.#network.nodes.values()) {
			void node.core?.stop();
		}

		await this.clock.advance(stopMs);
	}

	async #applyEvent(event: ModelEvent): Promise<void> {
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
				this.#replaceDisk(leader);
				break;
			}

			case 'wipe follower': {
				this.#replaceDisk(follower);
				break;
			}

			case 'replace follower': {
				this.#replace(follower);
				break;
			}

			case 'isolate leader': {
				if (leader) {
					this.#network.isolated.add(leader.address);
				}

				break;
			}

			case 'isolate follower': {
				if (follower) {
					this.#network.isolated.add(follower.address);
				}

				break;
			}

			case 'isolate new member': {
				this.#network.isolated.add(this.#newestAddress);
				break;
			}

			case 'add member': {
				this.#successors++;
				this.#start({address: this.#newestAddress, disk: new ModelDisk(`disk of ${this.#newestAddress}`, this.clock), handlers: new Map()}, {isFirstStart: false});
				break;
			}

			case 'retire member': {
				this.#retire(this.#findRetired(leader));
				break;
			}

			case 'retire leader': {
				this.#retire(this.#findRetiredLeader(leader));
				break;
			}

			case 'put in time': {
				await this.#putUntilAcknowledged(ackMs, 'in time');
				break;
			}

			case 'begin stop': {
				this.#beginStop(this.#findRetired(leader));
				break;
			}

			case 'reconnect': {
				this.#network.reconnect();
				break;
			}

			case 'rival puts': {
				this.#putRivals();
				break;
			}

			case 'split': {
				this.#split(leader ?? follower);
				break;
			}

			case 'settle': {
				await this.clock.advance(contactMs);
				break;
			}

			case 'stop member': {
				await this.#stop(this.#findRetired(leader));
				break;
			}

			case 'stop leader': {
				await this.#stop(this.#findRetiredLeader(leader));
				break;
			}

			case 'fill leader disk':
			case 'fill follower disk': {
				const filled = event === 'fill leader disk' ? leader : follower;
				if (filled) {
					filled.disk.full = true;
				}

				break;
			}

			case 'fill disks': {
				for (const {disk} of this.#network.nodes.values()) {
					disk.full = true;
				}

				break;
			}

			case 'crowd leader disk': {
				this.#crowd(leader);
				break;
			}

			case 'crowd disks': {
				for (const node of this.#network.nodes.values()) {
					this.#crowd(node);
				}

				break;
			}

			case 'large put': {
				this.#put(this.#createDocument('a'.repeat(largeBytes)));
				break;
			}

			case 'read in time': {
				await this.#readUntilConfirmed(ackMs, 'in time');
				break;
			}

			case 'free disks': {
				this.#freeDisks();
				break;
			}

			case 'stay lost': {
				await this.clock.advance(lossMs);
				break;
			}

			case 'catch up': {
				await this.clock.advance(catchUpMs);
				if (this.#listMissingVoters().length === 0) {
					this.#diskLosses = 0;
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

			case 'restart': {
				const [stoppedNode] = [...this.#network.nodes.values()].filter(node => !node.core).sort((a, b) => a.killedAt! - b.killedAt!);
				if (stoppedNode) {
					this.#start(stoppedNode, {isFirstStart: false});
				}

				break;
			}

			default: {
				this.#clearFaults();
			}
		}
	}

	#createDocument(text: string): StoredConfiguration {
		this.#version++;
		return {version: this.#version, digest: `${this.#version}/${text}`, document: text};
	}

	/** Sends a change to every member that considers itself the leader, as instances forward changes. */
	#put(stored: StoredConfiguration): void {
		for (const node of this.#network.nodes.values()) {
			if (node.core?.isLeader) {
				void this.#putAt(node, stored);
			}
		}
	}

	/** Sends another document to each member that considers itself the leader, under one version. */
	#putRivals(): void {
		this.#version++;
		for (const node of this.#network.nodes.values()) {
			if (node.core?.isLeader) {
				void this.#putAt(node, {version: this.#version, digest: `${this.#version}/${node.address}`, document: node.address});
			}
		}
	}

	/** Cuts a member and another one off from all others; the two still reach each other. */
	#split(node: ModelNode | undefined): void {
		const others = [...this.#network.nodes.keys()].filter(address => address !== node?.address);
		this.#network.side.clear();
		for (const address of [node?.address ?? '', this.#random.select(others)]) {
			this.#network.side.add(address);
		}
	}

	async #putAt(node: ModelNode, stored: StoredConfiguration): Promise<boolean> {
		const result = await node.core!.put(stored);
		const isAcknowledged = result.isOk() && (result.value === storeOutcomes.stored || result.value === storeOutcomes.same);
		if (isAcknowledged) {
			this.#recordAcknowledged(stored);
		}

		return isAcknowledged;
	}

	#recordAcknowledged({version, digest}: StoredConfiguration): void {
		const known = this.#acknowledged.get(version);
		if (known !== undefined && known !== digest) {
			this.#violation ??= `${known} and ${digest} were both acknowledged`;
		}

		this.#acknowledged.set(version, digest);
	}

	/** Puts a new document every 100 ms until one is acknowledged. */
	async #putUntilAcknowledged(timeoutMs: number, time = 'after all faults were removed'): Promise<void> {
		const isDone = await this.#retryOnLeader(timeoutMs, async leader => this.#putAt(leader, this.#createDocument('a')));
		if (!isDone) {
			this.#violation ??= `no change was acknowledged ${time}`;
		}
	}

	/** Reads until a majority confirms, and compares the result with the acknowledged versions. */
	async #readUntilConfirmed(timeoutMs: number, time = 'after all faults were removed'): Promise<void> {
		const isDone = await this.#retryOnLeader(timeoutMs, async leader => {
			const highest = Math.max(0, ...this.#acknowledged.keys());
			const result = await leader.core!.read();
			if (result.isOk() && (result.value?.version ?? 0) < highest) {
				this.#violation ??= `version ${result.value?.version} was read after ${highest} was acknowledged`;
			}

			return result.isOk();
		});
		if (!isDone) {
			this.#violation ??= `no read was confirmed ${time}`;
		}
	}

	/** Waits until the leader counts every running member as a voter. */
	async #waitUntilAllVote(timeoutMs: number): Promise<void> {
		for (let waitedMs = 0; waitedMs < timeoutMs && this.#listMissingVoters().length > 0; waitedMs += 100) {
			await this.clock.advance(100);
		}

		if (this.#listMissingVoters().length > 0) {
			this.#violation ??= `${this.#listMissingVoters().join(', ')} run and are no voters after all faults were removed`;
		}
	}

	/** Lists the members that the leader does not count as voters; all of them without a leader. */
	#listMissingVoters(): string[] {
		const voters = this.#findLeader()?.core!.listVoters() ?? [];
		return [...this.#network.nodes.keys()].filter(address => !voters.includes(address));
	}

	/** Calls the attempt with the current leader every 100 ms until one succeeds. */
	async #retryOnLeader(timeoutMs: number, attempt: (leader: ModelNode) => Promise<boolean>): Promise<boolean> {
		let isDone = false;
		for (let waitedMs = 0; waitedMs < timeoutMs && !isDone; waitedMs += 100) {
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

	#checkStored(stored: StoredConfiguration | undefined, location: string, opts: {isNewest: boolean}): void {
		const highest = Math.max(0, ...this.#acknowledged.keys());
		const expected = stored && this.#acknowledged.get(stored.version);
		if (expected !== undefined && expected !== stored!.digest) {
			this.#violation ??= `${stored!.digest} is ${location}, but ${expected} was acknowledged`;
		}

		if (opts.isNewest && (stored?.version ?? 0) < highest) {
			this.#violation ??= `version ${stored?.version} is ${location}, but ${highest} was acknowledged`;
		}
	}

	#findLeader(): ModelNode | undefined {
		return [...this.#network.nodes.values()].filter(node => node.core?.isLeader).sort((a, b) => b.core!.term - a.core!.term)[0];
	}

	/** Leaves room for small records only. */
	#crowd(node: ModelNode | undefined): void {
		if (node) {
			const {records, snapshot} = node.disk.sizes;
			node.disk.capacityBytes = records + snapshot + (largeBytes / 2);
		}
	}

	#freeDisks(): void {
		for (const {disk} of this.#network.nodes.values()) {
			disk.full = false;
			disk.capacityBytes = Number.POSITIVE_INFINITY;
		}
	}

	#clearFaults(): void {
		this.#network.reconnect();
		this.#endStops();
		this.#freeDisks();
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
			// Not awaited: a pending disk write ends only when the manual clock advances.
			void core.stop();
		}
	}

	/** Three members tolerate the loss of one disk, and four that of two. */
	#canLoseDisk(): boolean {
		return this.#diskLosses < this.#network.nodes.size - 2;
	}

	/** Does nothing if the members can't tolerate it. */
	#replaceDisk(node: ModelNode | undefined): void {
		if (!node || !this.#canLoseDisk()) {
			return;
		}

		this.#diskLosses++;
		this.#kill(node);
		node.disk = new ModelDisk(this.#opts.isFolderReused ? `disk of ${node.address}` : `new disk of ${node.address}`, this.clock);
		this.#start(node, {isFirstStart: false});
	}

	#replace(node: ModelNode | undefined): void {
		if (!node || !this.#canLoseDisk()) {
			return;
		}

		this.#diskLosses++;
		this.#replacements++;
		this.#kill(node);
		this.#network.nodes.delete(node.address);
		const address = `new ${this.#replacements}`;
		this.#start({address, disk: new ModelDisk(`disk of ${address}`, this.clock), handlers: new Map()}, {isFirstStart: false});
	}

	/** Finds a member that does not lead: the one with the highest address, since losses strike the one with the lowest. */
	#findRetired(leader: ModelNode | undefined): ModelNode | undefined {
		const [node] = [...this.#network.nodes.values()].filter(candidate => candidate.core && candidate !== leader && candidate.address !== this.#newestAddress).sort((a, b) => b.address.localeCompare(a.address));
		return node;
	}

	/** Address of the last successor that was added. */
	get #newestAddress(): string {
		return successorAddresses[this.#successors - 1] ?? '';
	}

	#findRetiredLeader(leader: ModelNode | undefined): ModelNode | undefined {
		return leader?.address === this.#newestAddress ? this.#findRetired(leader) : leader;
	}

	/** Tells a member to stop, and ends it for good after its drain. */
	async #stop(node: ModelNode | undefined): Promise<void> {
		this.#beginStop(node);
		await this.clock.advance(drainMs);
		this.#endStops();
	}

	#beginStop(node: ModelNode | undefined): void {
		if (node && this.#canRetire() && !this.#leaving.has(node.address)) {
			this.#diskLosses++;
			this.#leaving.add(node.address);
			node.core!.releaseVote();
		}
	}

	/** Ends the members that were told to stop. */
	#endStops(): void {
		for (const address of this.#leaving) {
			this.#diskLosses--;
			this.#kill(this.#network.nodes.get(address));
			this.#network.nodes.delete(address);
		}

		this.#leaving.clear();
	}

	/** A member may go if its successor runs and one member less can bear the disks that are lost. */
	#canRetire(): boolean {
		return this.#network.nodes.size - this.#leaving.size > 3 && this.#canLoseDisk();
	}

	/** Ends a member for good, if it may go. */
	#retire(node: ModelNode | undefined): void {
		if (node && this.#canRetire()) {
			this.#kill(node);
			this.#network.nodes.delete(node.address);
		}
	}

	#start(node: ModelNode, opts: {isFirstStart: boolean}): void {
		this.#network.nodes.set(node.address, node);
		const {clock} = this;
		node.core = new CoreMember({
			mesh: this.#network.createMesh(node), storage: node.disk, clock, random: this.#random, events: new EventLog({clock}), toleratedLosses: 1, isFirstStart: opts.isFirstStart, seeds: ['a', 'b', 'c'], onBans() {/* No server crashes here. */}, onStored(stored) {
				// Unused: the invariants cover only acknowledged and read configurations.
				stored;
			},
		});
		void node.core.run();
	}
}
