import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import {StreamOrigins} from '@hickorytrack/stream-origins';
import type {StreamOriginWrite} from '@hickorytrack/types/peer-methods';
import type {CallerRequest} from '../src/front/caller-request.js';
import {RequestOrigin} from '../src/streams/request-origin.js';
import {startVerdicts, type StartVerdict} from '../src/streams/start-proof.js';

const deadlineMs = 1000;
/** For this long after its deadline a request waits for all that is asked about its servers. */
const settleMs = 250;

describe('the origin of a request', () => {
	let clock: ManualClock;
	let resolveCheck: (verdict: StartVerdict) => void;
	let disowned: number;

	const create = () => {
		const server = {id: 'a', startedAt: 1, version: 'v1'} as unknown as KnownServer;
		const opts = {
			clock, startProof: {
				check: async () => new Promise<StartVerdict>(resolve => {
					resolveCheck = resolve;
				}),
			}, origins: {
				isAdmitted: () => true, open: () => ({
					prepare: () => true, settle() {/* Nothing is recorded. */}, async disown() {
						disowned++;
					},
				}),
			} as unknown as StreamOrigins,
		};
		const origin = new RequestOrigin({
			deadlineAt: clock.monotonic() + deadlineMs, metadata: {requestId: 'q'}, service: 's', route: {isResumable: true, timeoutMs: deadlineMs, targets: [{service: 's'}]},
		} as unknown as CallerRequest, opts);
		void origin.prepare(server);
		origin.accept(server);
		return origin;
	};

	beforeEach(() => {
		clock = new ManualClock();
		disowned = 0;
	});

	const watch = (work: Promise<unknown>) => {
		const state = {hasEnded: false};
		void work.then(() => {
			state.hasEnded = true;
		});
		return state;
	};

	// With the checks before it, that of the beginning took a request beyond the last resort.
	it('waits for the check of the beginning for a bounded time behind the deadline', async () => {
		const origin = create();
		await clock.advance(deadlineMs);
		origin.checkBeginning();
		const state = watch(origin.finishCheck());
		await clock.advance(settleMs - 1);
		expect(state.hasEnded).to.equal(false);
		await clock.advance(1);
		expect(state.hasEnded).to.equal(true);
	});

	it('disowns a stream whose beginning is refuted after that time', async () => {
		const origin = create();
		await clock.advance(deadlineMs);
		origin.checkBeginning();
		const finished = origin.finishCheck();
		await clock.advance(settleMs);
		await finished;
		resolveCheck(startVerdicts.refuted);
		await clock.advance(0);
		expect(disowned).to.equal(1);
	});

	it('does not go on with a stream whose beginning has not been checked in that time', async () => {
		const origin = create();
		origin.checkBeginning();
		const continuation = origin.proveContinuation({id: 'b', startedAt: 1, version: 'v1'} as unknown as KnownServer, {maxWaitMs: deadlineMs});
		resolveCheck(startVerdicts.proved);
		await clock.advance(deadlineMs + settleMs);
		expect(await continuation).to.equal(false);
	});

	it('does not wait for more than the check', async () => {
		const origin = create();
		await origin.finishCheck();
		origin.checkBeginning();
		const finished = origin.finishCheck();
		resolveCheck(startVerdicts.proved);
		await finished;
		expect(disowned).to.equal(0);
	});
});

describe('a request right after the first report of its service', () => {
	const answerMs = 20;
	const maxWaitMs = 300;

	// An answer to the write of another service ended the wait, and the request was refused although its server was ready.
	it('waits for the admission of its own version beside those of other services', async () => {
		const clock = new ManualClock();
		const origins = new StreamOrigins({
			clock, hasVersion: () => true, findServer: () => undefined, leader: {
				isSupported: true, async write({admitted}: StreamOriginWrite) {
					await clock.sleep(answerMs);
					return {versions: Object.fromEntries(admitted.map(([service, version]) => [service, [version]]))};
				}, findOrigin: async () => undefined, recall: async () => undefined,
			},
		});
		const startedAt = 1;
		origins.handleStart({
			id: 'other', startedAt, service: 'other', version: 'v1',
		});
		await clock.advance(answerMs / 2);
		const server = {
			id: 'a', startedAt, service: 's', version: 'v1', stage: 'decode',
		} as unknown as KnownServer;
		origins.handleStart(server);
		const origin = new RequestOrigin({
			metadata: {requestId: 'q'}, service: 's', route: {isResumable: true, timeoutMs: deadlineMs, targets: [{service: 's'}]},
		} as unknown as CallerRequest, {clock, origins, startProof: {check: async () => startVerdicts.proved}});
		const admitted = origin.waitForAdmission([server], maxWaitMs).then(() => origin.canRun(server));
		await clock.advance(2 * answerMs);
		expect(await admitted).to.equal(true);
		origins.stop();
	});

	it('waits no longer than it may for a core that does not answer', async () => {
		const clock = new ManualClock();
		const origins = new StreamOrigins({
			clock, hasVersion: () => true, findServer: () => undefined, leader: {
				isSupported: true, write: async () => undefined, findOrigin: async () => undefined, recall: async () => undefined,
			},
		});
		const server = {
			id: 'a', startedAt: 1, service: 's', version: 'v1', stage: 'decode',
		} as unknown as KnownServer;
		const origin = new RequestOrigin({
			metadata: {requestId: 'q'}, service: 's', route: {isResumable: true, timeoutMs: deadlineMs, targets: [{service: 's'}]},
		} as unknown as CallerRequest, {clock, origins, startProof: {check: async () => startVerdicts.proved}});
		const admitted = origin.waitForAdmission([server], maxWaitMs).then(() => origin.canRun(server));
		await clock.advance(maxWaitMs);
		expect(await admitted).to.equal(false);
		origins.stop();
	});
});
