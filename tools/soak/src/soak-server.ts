/**
 * A server of the soak: a plain service or a model server in a stage. It follows the users' wire protocol, records each
 * arrival and what became of it, and misbehaves with seeded probabilities.
 */
import {createServer, type Server} from 'node:net';
import type {Clock} from '@hickorytrack/clock';
import type {Random} from '@hickorytrack/random';
import {createPlainBody, createStamp} from './expected-body.js';
import {hasCrashingPart, partCrash} from './crashing-part.js';
import {formatMessage, type HttpMessage} from './http-message-reader.js';
import {NamedLimit} from './named-limit.js';
import type {OutcomeRecord, ServerRecord} from './records.js';
import {ServerAnswers, type Arrival} from './server-answers.js';
import {ServerChannel} from './server-channel.js';
import {ServerOperations, unbornFault, type Stage} from './server-operations.js';
import {selectFault, stutterRate, type ServerFault} from './server-faults.js';
import {ServerSlowness} from './server-slowness.js';
import {Silence} from './silence.js';
import {WorkSlots} from './work-slots.js';
import {keyMark} from './workspaces.js';

export type SoakServerOptions = {
	id: string;
	startedAt: number;
	service: string;
	version: string;
	stage?: Stage;
	listen: {host: string; port: number};
	/** Address in reports; a relay may stand between it and the server. */
	address: string;
	faults: ReadonlySet<string>;
	clock: Clock;
	random: Random;
	/** For the limits that it names. */
	limitRandom: Random;
	/** For its slowness. */
	slowRandom: Random;
	/** For what its status says. */
	statusRandom: Random;
	record: (record: ServerRecord) => void;
	crash: () => void;
};

/** A call to this path, followed by a number of milliseconds, makes the server silent. */
export const hushPath = '/soak/hush/';
const slots = 8;
const maxWaiting = 6;
const maxWorkMs = 10;
/** Some plain answers take longer. */
const slowFraction = 0.05;
const maxSlowWorkMs = 300;
const prefillMsPerToken = 0.01;
/** A decode server prefills at half the speed. */
const decodeSlowdown = 2;
const maxQueueMs = 250;
const minIdleMs = 300;
const maxIdleMs = 3000;
const meanCalmMs = 6000;
const maxOverloadMs = 3000;
const overloadRefusedFraction = 0.8;
const keepsAbandonedFraction = 0.3;
const unbornFraction = 0.5;
const neverAborted = new AbortController().signal;
const msPerSecond = 1000;

export class SoakServer {
	readonly #opts: SoakServerOptions;
	readonly #slots: WorkSlots;
	readonly #server: Server;
	readonly #operations: ServerOperations;
	readonly #answers: ServerAnswers;
	readonly #silence: Silence;
	readonly #limit: NamedLimit;
	readonly #slowness: ServerSlowness;
	readonly #channels = new Set<ServerChannel>();
	/** Most servers drop a waiting request whose connection closes; some run it. */
	readonly #keepsAbandoned: boolean;
	#prefills: Promise<void> = Promise.resolve();
	#overload = {from: Number.POSITIVE_INFINITY, until: 0};
	#arrivals = 0;

	constructor(opts: SoakServerOptions) {
		this.#opts = opts;
		this.#operations = new ServerOperations({...opts, isUnborn: opts.faults.has(unbornFault) && opts.statusRandom.next() < unbornFraction});
		this.#slowness = new ServerSlowness(opts.slowRandom, opts.faults);
		this.#limit = new NamedLimit({
			clock: opts.clock, random: opts.limitRandom, isEnabled: opts.faults.has('limit'), record(change) {
				opts.record({
					type: 'limit', server: opts.id, startedAt: opts.startedAt, ...change,
				});
			},
		});
		this.#answers = new ServerAnswers({
			...opts, operations: this.#operations, limit: this.#limit, crash: () => {
				this.close();
				opts.crash();
			}, exit: () => {
				this.#server.close();
				for (const channel of this.#channels) {
					channel.closeAtOnce();
				}

				opts.crash();
			},
		});
		this.#silence = new Silence(opts.clock);
		this.#slots = new WorkSlots({clock: opts.clock, slots, maxWaiting});
		const {clock, random, faults} = opts;
		this.#keepsAbandoned = random.next() < keepsAbandonedFraction;
		this.#server = createServer(socket => {
			const channel = new ServerChannel(socket, {
				clock, random, silence: this.#silence, stutterRate: faults.has('stutter') ? stutterRate : 0, idleMs: faults.has('idle-close') ? random.nextBetween(minIdleMs, maxIdleMs) : undefined, handle: async (self, message) => this.#handle(self, message),
			});
			this.#channels.add(channel);
			channel.signal.addEventListener('abort', () => {
				this.#channels.delete(channel);
			}, {once: true});
		});
	}

	async start(): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(this.#opts.listen, resolve);
		});
	}

	/** Stops listening and resets all connections. */
	close(): void {
		this.#server.close();
		for (const channel of this.#channels) {
			channel.reset();
		}
	}

	/** Returns the body of a report to the system. */
	describe(sequence: number): Record<string, unknown> {
		const {service, address, startedAt, version} = this.#opts;
		return {
			service, address, zone: 'z', version, slots, state: 'ready', 'cold-left-ms': 0, stage: this.#operations.stage, seq: sequence, born: startedAt,
		};
	}

	async #handle(channel: ServerChannel, message: HttpMessage): Promise<void> {
		const [method, path] = message.startLine.split(' ') as [string, string];
		if (path.startsWith('/api/') || path.startsWith('/soak/') || path === '/healthz') {
			this.#recordCall(path, message);
			if (path === '/api/report') {
				await this.#opts.clock.sleep(this.#slowness.createReportMs());
			}

			const {status, body} = this.#operations.handle({method, path, body: message.body.toString()});
			channel.send(formatMessage(`HTTP/1.1 ${status} Status`, {'content-type': 'application/json', 'x-instance-id': this.#opts.id, ...this.#limit.createHeaders()}, JSON.stringify(body)));
			channel.finish();
			if (path.startsWith(hushPath)) {
				this.#silence.start(Number(path.slice(hushPath.length)));
			}

			return;
		}

		this.#arrivals++;
		const {clock, id, startedAt, service} = this.#opts;
		const requestId = message.headers['x-request-id'] ?? '';
		const arrival = {
			message, path, requestId, number: this.#arrivals, deadlineAt: clock.monotonic() + Number(message.headers['x-deadline-ms'] ?? msPerSecond),
		};
		this.#opts.record({
			type: 'arrival', at: clock.now(), server: id, startedAt, number: arrival.number, service, requestId, path, body: message.body.toString(), isPrefill: message.headers['x-stage'] === 'prefill', workspace: message.headers['x-tenant'], ...describeKey(message),
		});
		const isLost = channel.hasEnded;
		if (message.headers['x-expect-instance'] !== id || !this.#isForStage(message)) {
			this.#refuse(channel, arrival, 421);
		} else {
			await this.#admit(channel, arrival);
		}

		const doneAt = clock.now();
		await channel.waitForSent();
		this.#opts.record({
			type: 'end', at: channel.leftAt ?? clock.now(), server: id, startedAt, number: arrival.number, requestId, isSound: !isLost && !channel.hasStuttered, hasLeft: channel.leftAt !== undefined, hasUnknownEnd: channel.hasUnknownEnd, workedUntil: Math.min(doneAt, channel.leftAt ?? doneAt),
		});
	}

	/** Records a call of an edge; calls under `/soak/` are those of servers and of the soak itself. */
	#recordCall(path: string, message: HttpMessage): void {
		const {clock, id, startedAt, record} = this.#opts;
		if (!path.startsWith('/soak/')) {
			record({
				type: 'call', at: clock.now(), server: id, startedAt, requestId: message.headers['x-request-id'] ?? '', path, ...describeKey(message),
			});
		}
	}

	/** A prefill server only prefills; a decode server only generates. */
	#isForStage(message: HttpMessage): boolean {
		return this.#operations.stage === undefined || (this.#operations.stage === 'prefill') === (message.headers['x-stage'] === 'prefill');
	}

	async #admit(channel: ServerChannel, arrival: Arrival): Promise<void> {
		const {clock, random, faults} = this.#opts;
		const fault = this.#isOverloaded() && random.next() < overloadRefusedFraction ? 'refuse' : selectFault(random, faults);
		if (fault === 'refuse') {
			this.#refuse(channel, arrival, 503);
			return;
		}

		const waitMs = Math.max(0, Math.min(maxQueueMs, arrival.deadlineAt - clock.monotonic()));
		const outcome = await this.#slots.acquire(waitMs, this.#keepsAbandoned ? neverAborted : channel.signal);
		if (outcome !== 'acquired') {
			this.#refuse(channel, arrival, 503);
			return;
		}

		try {
			if (fault === 'refuse-late') {
				await clock.sleep(random.nextBetween(0, waitMs));
				this.#refuse(channel, arrival, 503);
				return;
			}

			await (arrival.message.headers['x-stage'] === 'prefill' ? this.#prefill(channel, arrival, fault) : this.#run(channel, arrival, fault));
		} finally {
			this.#slots.release();
		}
	}

	/** From time to time a server refuses most requests for a while. */
	#isOverloaded(): boolean {
		const {clock, random, faults} = this.#opts;
		const now = clock.monotonic();
		if (faults.has('overload') && now > this.#overload.until) {
			const from = now + random.nextExponential(meanCalmMs);
			this.#overload = {from, until: from + random.nextBetween(0, maxOverloadMs)};
		}

		return now >= this.#overload.from && now < this.#overload.until;
	}

	#refuse(channel: ServerChannel, arrival: Arrival, status: number): void {
		const retryAfter: Record<string, string> = this.#opts.random.next() < 0.5 ? {'retry-after': this.#opts.random.nextBetween(0.02, 0.3).toFixed(3)} : {};
		this.#recordOutcome(arrival, {hasRun: false, answer: 'refused', status});
		this.#answers.send(channel, arrival, {status, headers: {'x-not-executed': '1', ...retryAfter}, body: ''});
	}

	async #prefill(channel: ServerChannel, arrival: Arrival, fault: ServerFault | undefined): Promise<void> {
		const {startedAt} = this.#opts;
		await this.#prefillPrompt(arrival, prefillMsPerToken);
		const handle = `kv-${startedAt}-${arrival.number}`;
		this.#operations.addKv(handle, {owner: arrival.requestId});
		this.#recordOutcome(arrival, {
			hasRun: false, answer: fault ?? 'prefilled', status: 200, handle, handleOwner: arrival.requestId,
		});
		if (this.#answers.applyFault(channel, arrival, fault)) {
			return;
		}

		this.#answers.send(channel, arrival, {
			status: 200, headers: {'content-type': 'application/json'}, body: JSON.stringify({'kv-handle': handle, tokens: 1, version: 1}), fault,
		});
	}

	/** Prompts are prefilled one after another. */
	async #prefillPrompt(arrival: Arrival, msPerToken: number): Promise<void> {
		const tokens = Number(arrival.message.headers['x-token-counts']?.split(',')[0] ?? 0);
		this.#prefills = this.#prefills.then(async () => this.#opts.clock.sleep(tokens * msPerToken));
		await this.#prefills;
	}

	async #run(channel: ServerChannel, arrival: Arrival, fault: ServerFault | undefined): Promise<void> {
		const {clock, random} = this.#opts;
		const begunAt = this.#operations.stage === undefined || channel.leftAt !== undefined ? undefined : clock.now();
		const source = arrival.message.headers['x-kv-source'];
		const kv = source === undefined ? undefined : await this.#operations.fetchKv(source);
		if (source !== undefined && !kv) {
			this.#refuse(channel, arrival, 503);
			return;
		}

		if (hasCrashingPart(arrival.message.headers['x-prompt-prefix'])) {
			this.#recordOutcome(arrival, {
				hasRun: true, begunAt, answer: partCrash, status: 200, stamp: createStamp(arrival.requestId, arrival.path), handle: source, handleOwner: kv?.owner,
			});
			await this.#answers.sendUntilCrash(channel, arrival);
			return;
		}

		const isSameRun = source === `${this.#opts.address}/${arrival.requestId}`;
		const status = fault === 'failing' ? 500 : 200;
		const stamp = createStamp(arrival.requestId, arrival.path);
		this.#recordOutcome(arrival, {
			hasRun: true, begunAt, isSameRun, answer: fault ?? 'answered', status, stamp, handle: source, handleOwner: kv?.owner,
		});
		await (this.#operations.stage === undefined ? clock.sleep(random.nextBetween(0, random.next() < slowFraction ? maxSlowWorkMs : maxWorkMs)) : this.#prefillPrompt(arrival, kv ? 0 : prefillMsPerToken * decodeSlowdown));
		if (this.#answers.applyFault(channel, arrival, fault)) {
			return;
		}

		if (this.#operations.stage === undefined || status !== 200) {
			this.#answers.send(channel, arrival, {
				status, headers: {'x-response-stamp': stamp}, body: createPlainBody(arrival.requestId, arrival.path), fault,
			});
			return;
		}

		const pace = this.#slowness.createRunPace();
		await clock.sleep(pace.firstTokenMs, channel.signal);
		await this.#answers.sendEvents(channel, arrival, {fault, pace});
	}

	#recordOutcome(arrival: Arrival, outcome: Pick<OutcomeRecord, 'hasRun' | 'answer'> & Partial<OutcomeRecord>): void {
		const {clock, id, startedAt} = this.#opts;
		this.#opts.record({
			type: 'outcome', at: clock.now(), server: id, startedAt, number: arrival.number, requestId: arrival.requestId, ...outcome,
		});
	}
}

/** Tells whether a key stands anywhere in a message. */
function describeKey({startLine, headers, body}: HttpMessage): {hasKey?: boolean} {
	return [startLine, JSON.stringify(headers), body.toString()].some(text => text.includes(keyMark)) ? {hasKey: true} : {};
}
