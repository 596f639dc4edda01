/**
 * A caller: sends requests on a connection that it keeps, and retries by the users' rules: an idempotent request after any
 * failure, others only after a status that promises that the request has not run, each attempt with an id of its own.
 */
import type {Clock} from '@hickorytrack/clock';
import {Random} from '@hickorytrack/random';
import {
	type CallerConnection, openConnection, reusedIdleFraction, type Exchange,
} from './caller-connection.js';
import {formatMessage} from './http-message-reader.js';
import {versionsFault} from './server-versions.js';
import {createPromptParts, hasCrashingPart} from './crashing-part.js';
import type {CallerRecord, SoakRoute} from './records.js';
import {createSpreadRandom} from './spread-random.js';
import {drawKey, workspaceFaults} from './workspaces.js';

export type CallerOptions = {
	index: number;
	clock: Clock;
	random: Random;
	host: string;
	routes: readonly SoakRoute[];
	/** Addresses of the edges for callers. */
	edges: ReadonlyArray<{name: string; host: string; port: number}>;
	/** Returns the idle limit that was acknowledged last. */
	getIdleLimit: () => number;
	faults: ReadonlySet<string>;
	record: (record: CallerRecord) => void;
};

/** Callers write the next request before they have read the last answer, and read with pauses. */
export const pipelineFault = 'pipeline';
export const maxReadPauseMs = 200;
const pipelinedFraction = 0.3;
/** Each fourth caller reads with pauses, one request at a time. */
export const slowReaderFault = 'slow-reader';
const slowReaderInterval = 4;

type Draft = {
	/** Number of the request at its caller. */
	number: number;
	route: SoakRoute;
	path: string;
	headers: Record<string, string>;
	body: string;
	key?: string;
	deadlineAt: number;
	/** Servers of several versions may begin it, and the caller takes it up if it breaks. */
	canTakeUp: boolean;
};

const meanPauseMs = 50;
/** Now and then a caller pauses for longer, as long as a connection may be idle at most. */
const longPauseFraction = 0.03;
const maxPauseMs = 3500;
const requestDeadlineMs = 2500;
/** Callers that take up their streams wait until all edges are back after a kill. */
const takeUpDeadlineMs = 7000;
/** A caller waits a little beyond the deadline that it has sent, so that a late answer is seen. */
const lateMarginMs = 1000;
const maxAttempts = 4;
/** Edges that are not ready yet refuse several attempts. */
const maxTakeUpAttempts = 16;
const maxEvents = 12;
const longPromptTokens = 1500;
const shortPromptTokens = 50;
const longPromptFraction = 0.5;
const longOutputFraction = 0.2;
const leaveFraction = 0.01;
/** Callers that name a workspace themselves, which no server may be told. */
const namedFraction = 0.2;
/** With servers of several versions, connections of streams break so often on the side of the caller, which takes them up. */
const lostConnectionFraction = 0.08;
const maxLeaveMs = 30;
const maxLostConnectionMs = 150;
const reconnectMs = 50;
/** These statuses promise that the request has not run. */
export const promisingStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** After these, and after a success, no request is retried. */
const finalStatuses: ReadonlySet<number> = new Set([400, 401, 404, 413, 431]);

export class Caller {
	readonly #opts: CallerOptions;
	/** The parts of prompts have a generator of their own, so that they don't disturb the rest. */
	readonly #promptRandom: Random;
	/** So has the way of writing and reading. */
	readonly #pipelineRandom: Random | undefined;
	readonly #readRandom: Random | undefined;
	/** And the keys. */
	readonly #keyRandom: Random | undefined;
	#connecting: Promise<CallerConnection | undefined> = Promise.resolve(undefined);
	#edge: number;
	#connection: CallerConnection | undefined;
	#requests = 0;

	constructor(opts: CallerOptions) {
		this.#opts = opts;
		this.#promptRandom = new Random(opts.index);
		this.#pipelineRandom = opts.faults.has(pipelineFault) ? createSpreadRandom(opts.index) : undefined;
		const isSlowReader = opts.faults.has(slowReaderFault) && opts.index % slowReaderInterval === 0;
		this.#readRandom = this.#pipelineRandom ?? (isSlowReader ? createSpreadRandom(opts.index) : undefined);
		this.#keyRandom = opts.faults.has(workspaceFaults.workspaces) ? createSpreadRandom(opts.index) : undefined;
		this.#edge = opts.index % opts.edges.length;
	}

	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await this.#opts.clock.sleep(this.#createPause(), signal);
			const isPipelined = this.#pipelineRandom !== undefined && this.#pipelineRandom.next() < pipelinedFraction;
			const drafts = Array.from({length: isPipelined ? 2 : 1}, () => this.#createDraft());
			await Promise.all(drafts.map(async draft => this.#runRequest(draft)));
		}

		this.#connection?.close();
	}

	#createPause(): number {
		const {random, getIdleLimit} = this.#opts;
		return random.next() < longPauseFraction ? random.nextBetween(0.5, 1) * Math.min(maxPauseMs, reusedIdleFraction * getIdleLimit()) : random.nextExponential(meanPauseMs);
	}

	#createDraft(): Draft {
		const {random, routes, index, clock} = this.#opts;
		this.#requests++;
		const route = random.select(routes);
		const label = `${index}-${this.#requests}`;
		const path = `/${route.name}/${label}${route.kind === 'streaming' ? `/${1 + random.nextInteger(maxEvents)}` : ''}`;
		const headers: Record<string, string> = {};
		if (route.kind === 'streaming') {
			const tokens = random.next() < longPromptFraction ? longPromptTokens : shortPromptTokens;
			headers['x-model'] = 'm';
			headers['x-token-counts'] = `${tokens},${random.next() < longOutputFraction ? 1000 : 50}`;
			headers['x-prompt-prefix'] = createPromptParts(this.#promptRandom, {key: label, tokens, faults: this.#opts.faults});
		}

		const keyRandom = this.#keyRandom;
		const key = keyRandom && drawKey(keyRandom);
		if (key !== undefined) {
			headers.authorization = `Bearer ${key}`;
		}

		if (keyRandom && keyRandom.next() < namedFraction) {
			headers['x-tenant'] = 'w1';
		}

		const canTakeUp = route.isResumable && this.#opts.faults.has(versionsFault);
		return {
			number: this.#requests, route, path, headers, body: `body of ${label}`, key, deadlineAt: clock.monotonic() + (canTakeUp ? takeUpDeadlineMs : requestDeadlineMs), canTakeUp,
		};
	}

	async #runRequest(draft: Draft): Promise<void> {
		const {clock} = this.#opts;
		let lastEventId = 0;
		let begunAs: string | undefined;
		for (let attempt = 1; attempt <= (draft.canTakeUp ? maxTakeUpAttempts : maxAttempts); attempt++) {
			const record = await this.#runAttempt(draft, {attempt, lastEventId, begunAs});
			const remainingMs = draft.deadlineAt - clock.monotonic();
			if (!record || !isRetryable(draft.route, record) || remainingMs < 1) {
				return;
			}

			if (draft.route.isResumable) {
				const lastReceived = findLastEventId(record.body);
				begunAs ??= lastReceived > 0 ? record.requestId : undefined;
				lastEventId = Math.max(lastEventId, lastReceived);
			}

			await clock.sleep(Math.min(remainingMs / 3, record.retryAfterMs));
			this.#leave();
			this.#edge++;
		}
	}

	/** Leaves the connection to the request that still waits on it, if there is one. */
	#leave(): void {
		if (!this.#connection?.isWaiting) {
			this.#connection?.close();
		}

		this.#connection = undefined;
	}

	async #runAttempt({
		number, route, path, headers, body, key, deadlineAt, canTakeUp,
	}: Draft, {attempt, lastEventId, begunAs}: {attempt: number; lastEventId: number; begunAs: string | undefined}): Promise<CallerRecord & {retryAfterMs: number} | undefined> {
		const {clock, index, host, record: addRecord} = this.#opts;
		// One after the other, so that both requests get the same connection.
		this.#connecting = this.#connecting.then(async () => this.#connect(deadlineAt));
		const connection = await this.#connecting;
		const remainingMs = deadlineAt - clock.monotonic();
		if (!connection || remainingMs < 1) {
			return undefined;
		}

		const requestId = `c${index}-${number}-${attempt}`;
		const sentAt = clock.now();
		const isLeaving = this.#opts.random.next() < (canTakeUp ? lostConnectionFraction : leaveFraction);
		const exchange = await connection.send(formatMessage(`POST ${path} HTTP/1.1`, {
			host, 'x-request-id': requestId, 'x-deadline-ms': String(Math.ceil(remainingMs)), ...headers, ...(lastEventId > 0 ? {'last-event-id': String(lastEventId)} : {}), ...(begunAs === undefined ? {} : {resumes: begunAs}),
		}, body), isLeaving ? this.#opts.random.nextBetween(1, canTakeUp ? maxLostConnectionMs : maxLeaveMs) : remainingMs + lateMarginMs);
		const record: CallerRecord = {
			requestId, caller: index, edge: connection.edge, route: route.name, path, sentBody: body, key, sentAt, endedAt: clock.now(), deadlineMs: Math.ceil(remainingMs), hasLeft: isLeaving || exchange.isOwnClose === true, isBehindEnd: exchange.isBehindEnd, readPauseMs: this.#readRandom ? maxReadPauseMs : undefined, isCrashing: route.kind === 'streaming' ? hasCrashingPart(headers['x-prompt-prefix']) : undefined, lastEventId, begunAs, extraAnswers: connection.readExtraAnswers(), ...describeExchange(exchange),
		};
		addRecord(record);
		return isLeaving && !canTakeUp ? undefined : {...record, retryAfterMs: Number(exchange.answer?.headers['retry-after'] ?? 0) * 1000};
	}

	/** Tries the edges one after the other until the deadline, as long as all of them are down. */
	async #connect(deadlineAt: number): Promise<CallerConnection | undefined> {
		const {clock, edges} = this.#opts;
		if (this.#connection?.isReusable(this.#opts.getIdleLimit())) {
			return this.#connection;
		}

		this.#leave();
		while (clock.monotonic() < deadlineAt) {
			for (const _ of edges) {
				const edge = edges[this.#edge % edges.length]!;
				const readRandom = this.#readRandom;
				this.#connection = await openConnection(edge, {edge: edge.name, clock, createReadPause: readRandom && (() => readRandom.nextBetween(0, maxReadPauseMs))});
				if (this.#connection) {
					return this.#connection;
				}

				this.#edge++;
			}

			await clock.sleep(reconnectMs);
		}

		return undefined;
	}
}

function describeExchange({end, answer, hasUnknownEnd}: Exchange): Pick<CallerRecord, 'end' | 'hasUnknownEnd' | 'status' | 'stamp' | 'answerId' | 'body'> {
	return {
		end, hasUnknownEnd, status: answer && Number(answer.startLine.split(' ')[1]), stamp: answer?.headers['x-response-stamp'], answerId: answer?.headers['x-request-id'], body: answer?.body.toString() ?? '',
	};
}

export function findLastEventId(body: string): number {
	return Number([...body.matchAll(/^id: (?<id>\d+)\n.*\n\n/gm)].at(-1)?.groups!.id ?? 0);
}

function isRetryable(route: SoakRoute, {end, status}: CallerRecord): boolean {
	if (end === 'answered' && (status! < 300 || finalStatuses.has(status!))) {
		return false;
	}

	return route.kind === 'idempotent' || route.isResumable || (end === 'answered' && promisingStatuses.has(status!));
}
