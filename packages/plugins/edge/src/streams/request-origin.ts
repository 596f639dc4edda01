/**
 * The version at which one streaming request runs. Until its first event is passed on, it may run at any admitted version;
 * from then on, or if the caller takes up a stream, only servers of the version that began the stream may go on with it. A
 * version that is not known equals no other.
 */
import {waitWithTimeout, type Clock} from '@hickorytrack/clock';
import type {SendGrant} from '@hickorytrack/endpoint-client/send-grant';
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import type {StreamOrigins} from '@hickorytrack/stream-origins';
import type {OpenStream} from '@hickorytrack/stream-origins/open-stream';
import {computeSettleMs} from '../calls/settle-time.js';
import type {CallerRequest} from '../front/caller-request.js';
import {startVerdicts, type StartProof, type StartVerdict} from './start-proof.js';

export type RequestOriginOptions = {
	clock: Clock;
	origins: StreamOrigins;
	startProof: Pick<StartProof, 'check'>;
};

/** A stream may be taken up by later attempts of its caller, each of which may take as long as the first one. */
const lifetimeAttempts = 2;

/** Upper bound for the time that a caller may state, so that it can't have its streams kept for longer. */
const maxCallerWaitMs = 120_000;

/** Time for which a caller may take up a stream, by the timeout of its route and the time for which it says that it waits, all in milliseconds. */
export function computeStreamLifetimeMs(timeoutMs: number, callerWaitMs: number): number {
	return Math.max(lifetimeAttempts * timeoutMs, Math.min(callerWaitMs, maxCallerWaitMs));
}

/** Time for which any caller may take up a stream of these routes, by their timeouts, all in milliseconds. */
export function computeLongestLifetimeMs(timeoutsMs: readonly number[]): number {
	return Math.max(...[0, ...timeoutsMs].map(timeoutMs => computeStreamLifetimeMs(timeoutMs, maxCallerWaitMs)));
}

export class RequestOrigin {
	readonly #opts: RequestOriginOptions;
	readonly #request: CallerRequest;
	readonly #stream: OpenStream | undefined;
	readonly #services: readonly string[];
	readonly #sentAt = new Map<KnownServer, number>();
	#pinned: {version: string | undefined; server?: KnownServer} | undefined;
	#proof: Promise<void> | undefined;
	#isUnknown = false;

	constructor(request: CallerRequest, opts: RequestOriginOptions) {
		this.#opts = opts;
		this.#request = request;
		this.#services = request.route.targets.map(({service}) => service);
		if (request.takenUp) {
			this.#pinned = {version: request.takenUp.version};
		} else if (request.route.isResumable) {
			this.#stream = opts.origins.open({
				stream: request.metadata.requestId, service: request.service, services: this.#services, lifetimeMs: computeStreamLifetimeMs(request.route.timeoutMs, request.metadata.waitMs ?? 0),
			});
		}
	}

	/** Tells whether the server may run the request, as far as its version decides. */
	canRun(server: KnownServer): boolean {
		if (!this.#pinned) {
			return this.#stream === undefined || this.#opts.origins.isAdmitted(server);
		}

		return !this.#hasUnknownOrigin && (isSameStart(server, this.#pinned.server) || (server.version !== undefined && server.version === this.#pinned.version));
	}

	/** Waits for the admission of a version if the servers have no other one, as after the first report of a service. */
	async waitForAdmission(servers: readonly KnownServer[], maxWaitMs: number): Promise<void> {
		const generating = servers.filter(({stage}) => stage !== 'prefill');
		if (!this.#pinned && generating.length > 0) {
			await this.#opts.origins.waitUntil(() => generating.some(server => this.canRun(server)), maxWaitMs);
		}
	}

	/**
	 * Called before the request is sent to a server that generates; false if it must not be. A promise is returned only for a
	 * request that may run twice, so that nothing comes between the last check of any other request and its sending.
	 */
	prepare(server: KnownServer): boolean | Promise<boolean> {
		if (!this.canRun(server)) {
			return false;
		}

		this.#sentAt.set(server, this.#opts.clock.monotonic());
		return this.#pinned !== undefined || this.#stream === undefined || this.#stream.prepare(server);
	}

	/** Called before an event is passed on. Returns false if it must not be, because another version has begun the stream. */
	accept(server: KnownServer): boolean {
		if (!this.#pinned) {
			this.#pinned = {version: server.version, server};
			this.#stream?.settle(server);
		}

		return isSameStart(server, this.#pinned.server) || this.canRun(server);
	}

	/** Called when the stream has ended at a server before its end: checks that the start which is taken to have begun it did. */
	checkBeginning(): void {
		const server = this.#pinned?.server;
		if (!server || this.#proof) {
			return;
		}

		this.#proof = (async () => {
			if (await this.#opts.startProof.check(server, this.#sentAt.get(server)!) === startVerdicts.refuted) {
				this.#isUnknown = true;
				await this.#stream?.disown();
			}
		})();
	}

	/**
	 * Resolves with true if the known start of the server has sent the beginning of its answer, and the stream may go on with it;
	 * with false also if the server does not say so within the time, in milliseconds. `grant`: the right to ask it, if reserved.
	 */
	async proveContinuation(server: KnownServer, {maxWaitMs, grant}: {maxWaitMs: number; grant?: SendGrant}): Promise<boolean> {
		const verdict = await this.#opts.startProof.check(server, this.#opts.clock.monotonic(), {maxWaitMs, grant});
		const isChecked = await this.finishCheck();
		return isChecked && this.isSufficient(verdict) && this.canRun(server);
	}

	/**
	 * Tells whether a stream may go on at a server by what is known of its start. One that could not be asked matters only where
	 * versions differ. One that does not say may have started anew with the first server of another version.
	 */
	isSufficient(verdict: StartVerdict): boolean {
		return verdict === startVerdicts.proved || (verdict === startVerdicts.unasked && !this.hasSeveralVersions);
	}

	/** Tells whether a stream may go on only at a server that can be asked for its start. */
	get hasSeveralVersions(): boolean {
		return this.#opts.origins.hasSeveralVersions(this.#services);
	}

	/** Resolves with true when the beginning has been checked, if it is; with false if the request may wait no longer. The check goes on. */
	async finishCheck(): Promise<boolean> {
		const {clock} = this.#opts;
		return this.#proof === undefined || await waitWithTimeout(this.#proof.then(() => true), computeSettleMs(this.#request, clock.monotonic()), clock) === true;
	}

	/** Ends the stream; one that is not complete may be taken up. */
	close(end: {isComplete: boolean}): void {
		this.#stream?.close(end);
	}

	get #hasUnknownOrigin(): boolean {
		return this.#isUnknown || (this.#stream?.isDisowned ?? false);
	}
}

function isSameStart(server: KnownServer, other: KnownServer | undefined): boolean {
	return server.id === other?.id && server.startedAt === other.startedAt;
}
