import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import type {EndpointClient, OutboundRequest, ResponseHandler} from '@hickorytrack/endpoint-client';
import {ByteBudget} from '@hickorytrack/http-answer/byte-budget';
import {unlimitedGrant} from '@hickorytrack/endpoint-client/send-grant';
import type {SocketAddress} from '@hickorytrack/socket-address';
import {
	AttemptCanceller, attemptOutcomes, runAttempt, type AttemptResult,
} from '../src/calls/attempt.js';

const idleMs = 600;
const firstByteMs = 200;
const request: OutboundRequest = {
	callKind: 'run', method: 'POST', grant: unlimitedGrant, path: '/', headers: [], needsVerifiedConnection: false, connectionLimit: 1,
};
const event = Buffer.from('id: 1\ndata: x\n\n');

describe('attempt', () => {
	let clock: ManualClock;
	let handler: ResponseHandler;
	let silences: number[];
	let isLost: boolean;
	let canWrite: boolean;
	let drain: (() => void) | undefined;
	let canceller: AttemptCanceller;
	let result: AttemptResult | undefined;

	const start = () => {
		const client = {
			limits: {maxAnswerBytes: 1000, budget: new ByteBudget(1000)}, send(_address: string, _request: OutboundRequest, given: ResponseHandler) {
				handler = given;
				return {
					cancel() {
						handler.onFailure({isWritten: true} as never);
					}, pause() {/* The test sends no more. */}, resume() {/* The test sends on. */},
				};
			},
		} as unknown as EndpointClient;
		const relay = {
			open() {/* The head is not looked at. */}, write: () => canWrite, onDrain(listener: () => void) {
				drain = listener;
			},
		};
		const silence = {
			firstByteMs, idleMs, isLost: () => isLost, onSilent(silentMs: number) {
				silences.push(silentMs);
			},
		};
		void runAttempt(client, 'a:1' as SocketAddress, {
			clock, signal: new AbortController().signal, timeoutMs: 10_000, relay, isStream: () => true, silence, canceller, request,
		}).then(ended => {
			result = ended;
		});
	};

	beforeEach(() => {
		clock = new ManualClock();
		silences = [];
		isLost = true;
		canWrite = true;
		drain = undefined;
		canceller = new AttemptCanceller();
		result = undefined;
		start();
	});

	it('goes on at a server that is silent, and reports each check', async () => {
		await clock.advance(firstByteMs);
		await clock.advance(firstByteMs);
		handler.onHead({status: 200, headers: {}});
		handler.onData(event);
		await clock.advance(idleMs);
		expect(silences).to.deep.equal([firstByteMs, 2 * firstByteMs, idleMs]);
		expect(result).to.equal(undefined);
		handler.onEnd({} as never);
		await clock.advance(1);
		expect(result?.outcome).to.equal(attemptOutcomes.answered);
	});

	it('reports no silence before the first byte while the server does not count as lost', async () => {
		isLost = false;
		await clock.advance(firstByteMs * 3);
		expect(silences).to.deep.equal([]);
	});

	// The server was held to be silent while its stream waited for a caller that read slowly.
	it('reports no silence while the caller reads slowly', async () => {
		canWrite = false;
		handler.onHead({status: 200, headers: {}});
		handler.onData(event);
		await clock.advance(idleMs * 3);
		expect(silences).to.deep.equal([]);
		drain!();
		await clock.advance(idleMs - 1);
		expect(silences).to.deep.equal([]);
		await clock.advance(idleMs);
		expect(silences).to.have.length(1);
	});

	// Each pause of a server that goes on was a silence for which the request was sent to another server.
	it('reports a longer silence only, once the server has gone on after one', async () => {
		handler.onHead({status: 200, headers: {}});
		handler.onData(event);
		const pauseMs = idleMs + 50;
		for (let pause = 0; pause < 3; pause++) {
			await clock.advance(idleMs);
			await clock.advance(pauseMs - idleMs);
			handler.onData(event);
		}

		expect(silences).to.deep.equal([idleMs]);
		await clock.advance(pauseMs * 1.5);
		expect(silences).to.deep.equal([idleMs, pauseMs * 1.5]);
	});

	it('reports a silence that goes on as often as the first one', async () => {
		handler.onHead({status: 200, headers: {}});
		handler.onData(event);
		await clock.advance(idleMs);
		handler.onData(event);
		await clock.advance(idleMs * 1.5);
		await clock.advance(idleMs);
		expect(silences).to.deep.equal([idleMs, idleMs * 1.5, idleMs * 2.5]);
	});

	// The time of a caller that read slowly counted as a silence of its server.
	it('does not take a slow caller for a silence that ended', async () => {
		canWrite = false;
		handler.onHead({status: 200, headers: {}});
		handler.onData(event);
		await clock.advance(5000);
		canWrite = true;
		drain!();
		await clock.advance(idleMs);
		handler.onData(event);
		await clock.advance(idleMs * 1.5);
		expect(silences).to.deep.equal([5000 + idleMs, idleMs * 1.5]);
	});

	it('ends when another attempt delivers, also one that was cancelled before it started', async () => {
		canceller.cancel();
		await clock.advance(1);
		expect(result?.outcome).to.equal(attemptOutcomes.replaced);
		result = undefined;
		start();
		await clock.advance(1);
		expect(result).to.have.property('outcome', attemptOutcomes.replaced);
	});
});

describe('an attempt whose request can\'t be sent', () => {
	// Guards against an exception in the sending path that rejected an attempt, and so failed its request and kept its grant.
	it('ends as broken and not written, and releases its grant once', async () => {
		let releases = 0;
		const grant = {
			recordUse() {/* Nothing is written. */}, release() {
				releases++;
			},
		};
		const client = {
			limits: {maxAnswerBytes: 1000, budget: new ByteBudget(1000)}, send() {
				throw new TypeError('planted');
			},
		} as unknown as EndpointClient;
		const ended = await runAttempt(client, 'a:1' as SocketAddress, {
			clock: new ManualClock(), signal: new AbortController().signal, timeoutMs: 10_000, canceller: new AttemptCanceller(), request: {...request, grant},
		});
		expect(ended).to.include({outcome: attemptOutcomes.broken, isWritten: false});
		expect(releases).to.equal(1);
	});
});
