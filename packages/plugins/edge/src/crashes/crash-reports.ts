/**
 * Notices crashes of servers, tells the other instances which runs they ended, and refuses further runs of the request or the
 * part of a prompt that is the cause. When a connection breaks, the server is probed a moment later: a crash has closed its
 * listener. If another start of it listens already, its next report tells. A server that had said that it leaves did not crash.
 */
import {connect} from 'node:net';
import type {BackgroundTasks} from '@hickorytrack/background-tasks';
import {waitWithTimeout, type Clock} from '@hickorytrack/clock';
import type {CrashAttribution} from '@hickorytrack/crash-attribution';
import type {BanRecord} from '@hickorytrack/crash-attribution/ban-store';
import {
	mergeTraits, verdicts, type Ban, type CrashReport, type RunTraits, type SoundTrait,
} from '@hickorytrack/crash-attribution/run-traits';
import {serverStates, type EndpointRegistry, type KnownServer} from '@hickorytrack/endpoint-registry';
import {answerVerdicts, type AnswerVerdict} from '@hickorytrack/http-answer/answer-reader';
import {describeError} from '@hickorytrack/errors';
import type {Mesh} from '@hickorytrack/mesh';
import type {MetricsRegistry} from '@hickorytrack/metrics-registry';
import {splitAddress, type SocketAddress} from '@hickorytrack/socket-address';
import type {CallerRequest} from '../front/caller-request.js';
import type {RateLimitedEventLog} from '../front/rate-limited-event-log.js';
import {computeSettleMs} from '../calls/settle-time.js';
import type {ServerHealth} from '../calls/server-health.js';

const crashProbeDelayMs = 30; // By then the listener of a crashed process is closed.
const crashProbeTimeoutMs = 300;
/** For this many intervals between its reports, a server that listens after a lost connection may turn out to be another start. */
const undecidedIntervals = 20;
/** A report that arrives within this time after a crash may have been sent before it. */
const lateReportMs = 250;
/** Difference between the clocks of two machines that is allowed for. */
const clockSkewMs = 250;
const loggedParts = 8;

export type CrashReportsOptions = {
	clock: Clock;
	tasks: BackgroundTasks;
	attribution: CrashAttribution;
	/** Name of this instance. */
	instance: string;
	mesh: Pick<Mesh, 'broadcast'>;
	registry: Pick<EndpointRegistry, 'find' | 'findByAddress'>;
	eventLog: RateLimitedEventLog;
	health: ServerHealth;
	metrics: Pick<MetricsRegistry, 'count' | 'set'>;
	/** Interval between two reports of a server, in milliseconds. */
	reportIntervalMs: number;
	probe?: (address: SocketAddress) => Promise<ServerCondition>;
};

/** What a probe of a server has found. */
export const serverConditions = {
	running: 'running',
	/** Nothing listens at its address, or another start of it does. */
	crashed: 'crashed',
	/** It doesn't respond: it may have crashed with its machine, or be cut off. */
	silent: 'silent',
} as const;
export type ServerCondition = typeof serverConditions[keyof typeof serverConditions];

/** A check that further runs at the same server join while it waits. */
type PendingCheck = {
	/** Monotonic time in milliseconds. */
	startedAt: number;
	runs: RunTraits[];
	requestIds: Array<string | undefined>;
	/** Runs whose answer is whole if the server has not crashed. */
	unconfirmed: RunTraits[];
	condition: Promise<ServerCondition>;
};

export class CrashReports {
	readonly #opts: CrashReportsOptions;
	/** By the start of the server. */
	readonly #pendingChecks = new Map<string, PendingCheck>();
	/** Lost connections to servers that listen, by the start of the server. */
	readonly #undecided = new Map<string, {server: KnownServer; check: PendingCheck; cancelTimer?: () => void}>();
	/** Requests that have lost a server. */
	readonly #lossRequests = new WeakSet<CallerRequest>();
	#reportedBans = new Map<string, Ban>();

	constructor(opts: CrashReportsOptions) {
		this.#opts = opts;
	}

	/**
	 * Called when the connection to a server has broken during a run. A run that shares a trait with an earlier crash, or whose
	 * request has lost a server before, resolves after the check, so that its request is not sent to the next server before
	 * this crash counts. Behind its deadline it is sent to none.
	 */
	async handleLoss(request: CallerRequest, server: KnownServer): Promise<void> {
		const isRepeated = this.#lossRequests.has(request);
		this.#lossRequests.add(request);
		const condition = this.checkForCrash(request, server);
		if (isRepeated || this.#opts.attribution.isSuspect(request.traits)) {
			const {clock} = this.#opts;
			await waitWithTimeout(condition, Math.max(0, request.deadlineAt - clock.monotonic()), clock);
		}
	}

	/**
	 * Checks whether the server of a run has crashed, and reports it with all runs that it has ended here. A silent one counts as
	 * crashed, and so does one whose check fails. Never rejects.
	 */
	async checkForCrash({traits, metadata}: CallerRequest, server: KnownServer): Promise<ServerCondition> {
		const crashId = createCrashId(server);
		let check = this.#pendingChecks.get(crashId);
		if (!check) {
			check = {
				startedAt: this.#opts.clock.monotonic(), runs: [], requestIds: [], unconfirmed: [], condition: this.#checkOnce(crashId, server),
			};
			this.#pendingChecks.set(crashId, check);
		}

		check.runs.push(traits);
		check.requestIds.push(metadata.requestId);
		return check.condition;
	}

	/** Records a whole answer, which clears the traits of its request. One that only its connection delimits may have been ended by a crash. */
	recordAnswer(request: CallerRequest, server: KnownServer, verdict: AnswerVerdict | undefined): void {
		if (verdict === answerVerdicts.whole) {
			this.#recordSound(request.traits, 0);
		} else if (this.#opts.attribution.isSuspect(request.traits)) {
			this.#opts.tasks.start('check-for-crash', async () => this.checkEnd(request, server));
		}
	}

	/**
	 * Checks whether a crash of its server has ended an answer that only its connection delimits. What listens at the address may
	 * be something before the server, so the answer counts as whole only once the same start of the server has reported again.
	 * A check that takes longer than its request may wait finds the server silent.
	 */
	async checkEnd(request: CallerRequest, server: KnownServer): Promise<ServerCondition> {
		const {clock} = this.#opts;
		const condition = this.checkForCrash(request, server);
		this.#pendingChecks.get(createCrashId(server))!.unconfirmed.push(request.traits);
		return await waitWithTimeout(condition, computeSettleMs(request, clock.monotonic()), clock) ?? serverConditions.silent;
	}

	#recordSound(traits: RunTraits, ageMs: number): void {
		const {attribution, mesh} = this.#opts;
		const suspected = attribution.recordSound(traits, ageMs);
		if (suspected.length > 0) {
			mesh.broadcast('crash.sound', {sound: suspected});
			this.#reportBans();
		}
	}

	/** Returns the ban that keeps the request from another server; undefined if it may be sent to one. A trial is sent once. */
	findBan({traits, isTrial}: CallerRequest): Ban | undefined {
		const judgement = this.#opts.attribution.checkRun(traits);
		return judgement.verdict === verdicts.refused && !isTrial ? judgement.ban : undefined;
	}

	/** Decides about a request that has arrived. Only one instance tries a banned trait at a time. */
	checkArrival(traits: RunTraits): {ban?: Ban; isTrial: boolean} {
		const {attribution, mesh, metrics, eventLog} = this.#opts;
		const judgement = attribution.checkRun(traits);
		if (judgement.verdict === verdicts.allowed) {
			return {isTrial: false};
		}

		const {ban, verdict} = judgement;
		metrics.count('banned_requests_total', {decision: verdict});
		if (verdict === verdicts.refused) {
			return {ban, isTrial: false};
		}

		attribution.recordTrial(ban.trait);
		mesh.broadcast('crash.trial', {trials: [[ban.trait, 0, ban.failedTrials]]});
		eventLog.emit('crashCauseTried', {trait: ban.trait, crashes: ban.crashes.length, failedTrials: ban.failedTrials});
		return {isTrial: true};
	}

	/** Records what another instance tells of a crash; returns false if it was known. */
	mergeCrash(report: CrashReport): boolean {
		const isNew = this.#opts.attribution.recordCrash(report);
		if (isNew) {
			this.#broadcastDoubtful();
			this.#reportBans();
		}

		return isNew;
	}

	/** Records the bans of the replicated log. What is new of them is told to the other instances: they may have lost it, too. */
	restoreBans(records: readonly BanRecord[]): void {
		const {clock, attribution, mesh} = this.#opts;
		const toAgeMs = (at: number) => Math.max(0, clock.now() - at);
		for (const {trait, suspects, crashes, triedAt, failedTrials} of records) {
			for (const [id, at] of crashes) {
				const report = {id, traits: suspects, ageMs: toAgeMs(at)};
				if (this.mergeCrash(report)) {
					mesh.broadcast('crash.note', report);
				}
			}

			if (triedAt !== undefined) {
				attribution.mergeTrials([[trait, toAgeMs(triedAt), failedTrials]]);
			}
		}
	}

	/** Records what another instance tells of whole answers. */
	mergeSound(sound: readonly SoundTrait[]): void {
		this.#opts.attribution.mergeSound(sound);
		this.#reportBans();
	}

	/** Ends a ban at all instances. Returns false if the trait is not banned. */
	clearBan(trait: string): boolean {
		const {attribution, mesh} = this.#opts;
		const isCleared = attribution.clearBan(trait);
		if (isCleared) {
			mesh.broadcast('crash.sound', {sound: [[trait, 0]]});
			this.#reportBans();
		}

		return isCleared;
	}

	/** Ends the wait for reports of servers that may have crashed. */
	stop(): void {
		for (const {cancelTimer} of this.#undecided.values()) {
			cancelTimer?.();
		}

		this.#undecided.clear();
	}

	/** Called when a server has reported for the first time since it has started. */
	handleStart(): void {
		for (const [crashId, {server, check, cancelTimer}] of this.#undecided) {
			if (this.#hasStartedAgain(server, check)) {
				cancelTimer?.();
				this.#undecided.delete(crashId);
				this.#report(server, check);
			}
		}
	}

	async #checkOnce(crashId: string, server: KnownServer): Promise<ServerCondition> {
		let condition: ServerCondition | undefined;
		await this.#opts.tasks.run('check-for-crash', async () => {
			condition = await this.#runCheck(crashId, server);
		});
		if (condition === undefined) {
			// Behind an error it would be joined for ever. After an orderly end, another check may have begun.
			this.#pendingChecks.delete(crashId);
		}

		return condition ?? serverConditions.silent;
	}

	async #runCheck(crashId: string, server: KnownServer): Promise<ServerCondition> {
		const {clock, health, eventLog, probe = probeServer, reportIntervalMs} = this.#opts;
		await clock.sleep(crashProbeDelayMs);
		let condition: ServerCondition | undefined;
		try {
			condition = await probe(server.address);
		} catch (error) {
			eventLog.emit('crashProbeFailed', {
				server: server.id, startedAt: server.startedAt, message: describeError(error), stack: error instanceof Error ? error.stack : undefined,
			});
		}

		const check = this.#pendingChecks.get(crashId)!;
		this.#pendingChecks.delete(crashId);
		if (condition !== undefined && condition !== serverConditions.running) {
			health.recordUnresponsive(server);
			this.#report(server, check);
			return condition;
		}

		if (this.#hasStartedAgain(server, check)) {
			this.#report(server, check);
			return serverConditions.crashed;
		}

		const earlier = this.#undecided.get(crashId)?.check;
		check.runs.push(...earlier?.runs ?? []);
		check.requestIds.push(...earlier?.requestIds ?? []);
		check.unconfirmed.push(...earlier?.unconfirmed ?? []);
		this.#undecided.get(crashId)?.cancelTimer?.();
		this.#undecided.set(crashId, {server, check});
		this.#resolveUndecided(crashId, undecidedIntervals);
		// A probe that could not be made says nothing about the server; its reports tell.
		return condition ?? serverConditions.silent;
	}

	/** A server that reports again has not crashed. One that does not may still start again. */
	#resolveUndecided(crashId: string, intervalsLeft: number): void {
		const {clock, reportIntervalMs} = this.#opts;
		const undecided = this.#undecided.get(crashId);
		if (!undecided) {
			return;
		}

		const {server, check: {startedAt, unconfirmed}} = undecided;
		const hasReported = this.#hasReportedSince(server, startedAt);
		if (hasReported || intervalsLeft === 0) {
			this.#undecided.delete(crashId);
			for (const traits of hasReported ? unconfirmed : []) {
				this.#recordSound(traits, clock.monotonic() - startedAt);
			}

			return;
		}

		undecided.cancelTimer = clock.startTimer(reportIntervalMs, () => {
			this.#resolveUndecided(crashId, intervalsLeft - 1);
		});
	}

	#hasReportedSince({id, startedAt}: KnownServer, at: number): boolean {
		const known = this.#opts.registry.find(id);
		return known?.startedAt === startedAt && known.heardAt > at + lateReportMs;
	}

	/** A start that began before the loss had the run itself, although this instance knew of the one before. */
	#hasStartedAgain({id, startedAt, address}: KnownServer, check: PendingCheck): boolean {
		const {clock, registry} = this.#opts;
		const lostAt = clock.now() - (clock.monotonic() - check.startedAt);
		const isLater = (other: KnownServer) => other.startedAt === 0 || other.startedAt > lostAt - clockSkewMs;
		const newer = registry.find(id);
		const successor = registry.findByAddress(address);
		return (newer !== undefined && newer.startedAt > startedAt && isLater(newer)) || (successor !== undefined && successor.id !== id && isLater(successor));
	}

	/** A server that has said that it leaves, or that has deregistered, ends on purpose. */
	#isPlanned({id, startedAt}: KnownServer): boolean {
		const known = this.#opts.registry.find(id);
		return known?.startedAt === startedAt && known.state !== serverStates.ready;
	}

	#report(server: KnownServer, {startedAt, runs, requestIds}: PendingCheck): void {
		const {clock, attribution, instance, mesh, eventLog, metrics} = this.#opts;
		if (this.#isPlanned(server)) {
			return;
		}

		const report = {
			id: createCrashId(server), traits: mergeTraits(runs), ageMs: clock.monotonic() - startedAt, reporter: instance,
		};
		attribution.recordCrash(report);
		mesh.broadcast('crash.note', report);
		metrics.count('server_crashes_total', {service: server.service});
		for (const [index, {parts}] of runs.entries()) {
			eventLog.emit('crashSuspected', {
				request: requestIds[index], server: server.id, startedAt: server.startedAt, parts: parts.slice(0, loggedParts), runs: runs.length,
			});
		}

		this.#broadcastDoubtful();
		this.#reportBans();
	}

	#broadcastDoubtful(): void {
		const {attribution, mesh} = this.#opts;
		const sound = attribution.collectDoubtful();
		if (sound.length > 0) {
			mesh.broadcast('crash.sound', {sound});
		}
	}

	/** Logs the bans that have begun or ended since the last call. */
	#reportBans(): void {
		const {attribution, eventLog, metrics} = this.#opts;
		const bans = new Map(attribution.listBans().map(ban => [ban.trait, ban]));
		for (const [trait, {crashes, reporters}] of bans) {
			if (!this.#reportedBans.has(trait)) {
				eventLog.emit('crashCauseFound', {trait, crashes, reporters});
			}
		}

		for (const [trait, {crashes}] of this.#reportedBans) {
			if (!bans.has(trait)) {
				eventLog.emit('crashCauseCleared', {trait, crashes: crashes.length});
			}
		}

		this.#reportedBans = bans;
		metrics.set('crash_causes', bans.size);
	}
}

function createCrashId({id, startedAt}: KnownServer): string {
	return `${id}/${startedAt}`;
}

async function probeServer(address: SocketAddress): Promise<ServerCondition> {
	return new Promise(resolve => {
		const socket = connect({...splitAddress(address), timeout: crashProbeTimeoutMs});
		const finish = (condition: ServerCondition) => {
			socket.destroy();
			resolve(condition);
		};

		socket.on('connect', () => {
			finish(serverConditions.running);
		});
		socket.on('timeout', () => {
			finish(serverConditions.silent);
		});
		socket.on('error', () => {
			finish(serverConditions.crashed);
		});
	});
}
