/** A fleet of uneven servers in simulated time, for which several instances place requests. */
import type {Clock} from '@hickorytrack/clock';
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import {ExpectedWork, type RunningWork, type WorkServer} from '@hickorytrack/expected-work';
import {Random} from '@hickorytrack/random';
import type {LoadEntry} from '@hickorytrack/types/peer-methods';
import type {SocketAddress} from '@hickorytrack/socket-address';
import {LeastLoadPlacement} from '../src/least-load-placement.js';
import {LoadTracker, type InFlightLoad} from '../src/load-tracker.js';

export type Rule = 'least-requests' | 'least-work' | 'two-random' | 'told';
export type FleetOptions = {
	rule: Rule; seed: number;
	/** Load as a part of what the servers can do. */
	load: number;
	isEven?: boolean; crashAtMs?: number; hasBursts?: boolean; seconds?: number;
};

type Job = {instance: Instance; sizeMs: number; arrivedAt: number; server: Server; inFlight: InFlightLoad; work: RunningWork; beganAt?: number};
type Server = {known: KnownServer; speed: number; phases: number[]; queue: Job[]; running: Set<Job>; isCrashed: boolean};
type Instance = {tracker: LoadTracker; work: ExpectedWork; placement: LeastLoadPlacement; id: string};

const serverCount = 12;
const slots = 4;
const sizes = [16, 32, 48, 64, 80, 96, 112, 128, 144, 160];
const objectiveMs = 199;
const timeoutMs = 1550;
const phaseMs = 600;
const phaseFactor = 2.5;
const phasePart = 0.15;
const shareMs = 20;
const networkMs = 1;
const swapMs = 2800;
const burst = 1.9;

export class UnevenFleet {
	arrived = 0;
	onTime = 0;
	isUneven = false;
	readonly selected: string[] = [];
	readonly #opts: FleetOptions;
	readonly #random: Random;
	#now = 0;
	readonly #events: Array<{at: number; run: () => void}> = [];
	readonly #servers: Server[];
	readonly #instances: Instance[];
	readonly #endMs: number;

	constructor(opts: FleetOptions) {
		this.#opts = opts;
		this.#random = new Random(opts.seed);
		this.#endMs = (opts.seconds ?? 40) * 1000;
		this.#servers = Array.from({length: serverCount}, (_, index) => this.#createServer(index));
		const clock: Clock = {
			now: () => this.#now, monotonic: () => this.#now, sleep: async () => undefined, startTimer: () => () => undefined,
		};
		this.#instances = Array.from({length: 4}, (_, index) => this.#createInstance(clock, index));
	}

	/** Returns the part of the requests that were answered within the objective. */
	run(): number {
		const mean = sizes.reduce((sum, size) => sum + size, 0) / sizes.length;
		const capacity = this.#servers.reduce((sum, {speed}) => sum + (slots * speed), 0) * (this.#opts.isEven ? 1 : 1 - phasePart + (phasePart / phaseFactor));
		this.#at(0, () => {
			this.#arrive(mean / (capacity * this.#opts.load));
		});
		this.#at(shareMs, () => {
			this.#share();
		});
		if (this.#opts.crashAtMs !== undefined) {
			this.#at(this.#opts.crashAtMs, () => {
				this.#crash();
			});
		}

		for (;;) {
			const next = this.#events.pop();
			if (!next || next.at > this.#endMs) {
				return this.onTime / this.arrived;
			}

			this.#now = next.at;
			next.run();
		}
	}

	#createServer(index: number): Server {
		const phases: number[] = [];
		for (let at = this.#random.nextExponential(phaseMs * (1 - phasePart) / phasePart); at < this.#endMs * 2; at += phaseMs + this.#random.nextExponential(phaseMs * (1 - phasePart) / phasePart)) {
			phases.push(at);
		}

		return {
			speed: this.#opts.isEven ? 1 : (index % 4 === 0 ? 0.55 : 1.2), phases: this.#opts.isEven ? [] : phases, queue: [], running: new Set(), isCrashed: false, known: {
				id: `s${index}`, startedAt: 0, sequence: 1, service: 'p', address: `10.0.0.1:${index + 1}` as SocketAddress, availabilityZone: 'z', slots, state: 'ready', coldMs: 0, heardAt: 0, order: 1,
			},
		};
	}

	#createInstance(clock: Clock, index: number): Instance {
		const tracker = new LoadTracker(clock);
		const work = new ExpectedWork(clock);
		const told = {isUneven: () => true, getMeanMs: () => 50, estimateCompletionMs: (server: WorkServer, opts: {workMs: number}) => this.#tellCompletionMs(server.id, opts.workMs)};
		const expectedWork = {
			told, 'least-work': work, 'two-random': work, 'least-requests': undefined,
		}[this.#opts.rule];
		return {
			tracker, work, id: `i${index}`, placement: new LeastLoadPlacement({
				loadTracker: tracker, random: new Random(this.#opts.seed + index), getFailureRate: () => 0, expectedWork,
			}),
		};
	}

	/** The time that the request would really take, with the server's speed of this moment. */
	#tellCompletionMs(id: string, workMs: number): number {
		const server = this.#servers.find(({known}) => known.id === id)!;
		const speed = this.#getSpeed(server, this.#now);
		let remainingMs = server.queue.reduce((sum, {sizeMs}) => sum + sizeMs, 0);
		for (const {sizeMs, beganAt} of server.running) {
			remainingMs += Math.max(sizeMs / 10, sizeMs - ((this.#now - beganAt!) * speed));
		}

		return ((remainingMs / slots) + workMs) / speed;
	}

	#at(delayMs: number, run: () => void): void {
		const at = this.#now + delayMs;
		let index = this.#events.length;
		while (index > 0 && this.#events[index - 1]!.at < at) {
			index--;
		}

		this.#events.splice(index, 0, {at, run});
	}

	#arrive(intervalMs: number): void {
		const half = this.#random.nextInteger(2);
		const bursting = Math.floor(this.#now / swapMs) % 2;
		const rate = this.#opts.hasBursts && half === bursting ? burst : 1;
		this.#at(this.#random.nextExponential(intervalMs), () => {
			this.#arrive(intervalMs);
		});
		for (let count = rate; count > 0 && this.#random.next() < count; count--) {
			this.#place((half * sizes.length / 2) + this.#random.nextInteger(sizes.length / 2));
		}
	}

	#place(subject: number): void {
		const instance = this.#random.select(this.#instances);
		const kind = {service: 'p', route: 'r', subject: String(subject)};
		const sizeMs = sizes[subject]!;
		const workMs = this.#opts.rule === 'told' ? sizeMs : instance.work.estimateMs(kind);
		const usable = this.#servers.filter(({isCrashed}) => !isCrashed).map(({known}) => known);
		const open = this.#opts.rule === 'two-random' ? [this.#random.select(usable), this.#random.select(usable)] : usable;
		const selected = instance.placement.select(open, {excluded: new Set(), availabilityZone: 'z', workMs})!;
		const server = this.#servers.find(({known}) => known === selected)!;
		this.selected.push(selected.id);
		this.arrived++;
		const work = instance.work.begin(selected, kind, instance.tracker.getRemoteLoad(selected.id));
		const job: Job = {
			instance, sizeMs, server, work, arrivedAt: this.#now, inFlight: instance.tracker.add(selected.id, 0, {workMs: instance.work.isUneven('p') ? work.workMs : 0}),
		};
		this.#at(networkMs, () => {
			server.queue.push(job);
			this.#startNext(server);
		});
	}

	#startNext(server: Server): void {
		while (!server.isCrashed && server.running.size < slots && server.queue.length > 0) {
			const job = server.queue.shift()!;
			if (this.#now - job.arrivedAt > timeoutMs) {
				this.#end(job, false);
				continue;
			}

			job.beganAt = this.#now;
			server.running.add(job);
			this.#at(this.#measureRunMs(server, job.sizeMs), () => {
				if (server.running.delete(job)) {
					this.#at(networkMs, () => {
						this.#end(job, true);
					});
					this.#startNext(server);
				}
			});
		}
	}

	#end(job: Job, isAnswered: boolean): void {
		job.inFlight.release();
		job.work.end({isSample: isAnswered});
		this.isUneven ||= job.instance.work.isUneven('p');
		if (isAnswered && this.#now - job.arrivedAt <= objectiveMs) {
			this.onTime++;
		}
	}

	/** A quarter of the servers; the instances use them no more after 100 ms, and their requests are lost. */
	#crash(): void {
		const crashed = this.#servers.filter((_, index) => index % 4 === 1);
		for (const server of crashed) {
			server.running.clear();
			this.#at(100, () => {
				server.isCrashed = true;
			});
		}
	}

	#share(): void {
		for (const sender of this.#instances) {
			// The largest ones fit into the tenth by which a message may grow.
			const large = new Set(sender.tracker.listOwn().sort((a, b) => (b[4] ?? 0) - (a[4] ?? 0)).slice(0, 5).map(([id]) => id));
			const entries = sender.tracker.listOwn().map((entry): LoadEntry => large.has(entry[0]) ? entry : entry.slice(0, 4) as LoadEntry);
			const notes = sender.work.speeds.drainNotes(1);
			for (const receiver of this.#instances.filter(instance => instance !== sender)) {
				receiver.tracker.replaceSource(sender.id, entries);
				for (const note of notes) {
					receiver.work.speeds.merge('p', {id: note[0], startedAt: 0}, note);
				}
			}
		}

		this.#at(shareMs, () => {
			this.#share();
		});
	}

	#getSpeed({speed, phases}: Server, at: number): number {
		return phases.some(begin => at >= begin && at < begin + phaseMs) ? speed / phaseFactor : speed;
	}

	#measureRunMs(server: Server, sizeMs: number): number {
		let remaining = sizeMs;
		let at = this.#now;
		const ends = server.phases.flatMap(begin => [begin, begin + phaseMs]).filter(time => time > at);
		for (const end of ends) {
			const speed = this.#getSpeed(server, at);
			if ((end - at) * speed >= remaining) {
				break;
			}

			remaining -= (end - at) * speed;
			at = end;
		}

		return at - this.#now + (remaining / this.#getSpeed(server, at));
	}
}
