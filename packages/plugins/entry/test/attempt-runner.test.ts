import {expect} from 'chai';
import {ok} from 'neverthrow';
import {SystemClock} from '@hickorytrack/clock/system-clock';
import type {ProcessContext} from '@hickorytrack/kernel/plugin';
import type {PeerConnection} from '@hickorytrack/peer-link/peer-connection';
import type {
	AttemptEnd, PieceBatch, PieceRun, WorkSubmission,
} from '@hickorytrack/types/work';
import {AttemptRunner, type AcceptedAttempt, type AttemptOutcome} from '../src/attempt-runner.js';
import type {EndpointDirectory, EndpointHandle} from '../src/endpoint-directory.js';

const stall = {silentMs: 1000, limit: 'query'} as const;
const end: AttemptEnd = {
	kind: 'complete', finishReason: 'stop', promptTokens: 1, outputTokens: 2, cachedTokens: 0,
};

describe('takeover of a silent attempt', () => {
	let cancelled: string[];
	let confirmed: Array<{attempt: string; next: number}>;
	let handlePieces: (batch: PieceBatch, connection: PeerConnection) => void;
	let runner: AttemptRunner;
	let connection: PeerConnection;
	let handle: EndpointHandle;
	let caller: AbortController;
	let texts: string[];
	/** Runs between the acceptance of the second attempt and the decision for one of the two. */
	let onAccepted: () => void;
	let takenOver: string[];
	let outcome: Promise<AttemptOutcome>;

	const createSubmission = (attempt: string) => ({attempt, work: {kind: 'generation'}}) as unknown as WorkSubmission;

	const sendPieces = (run: Partial<PieceRun> & {attempt: string}) => {
		handlePieces({runs: [{first: 0, texts: [], ...run}], load: {}} as unknown as PieceBatch, connection);
	};

	beforeEach(() => {
		cancelled = [];
		confirmed = [];
		texts = [];
		takenOver = [];
		onAccepted = () => undefined;
		caller = new AbortController();
		connection = {
			remote: {instance: 'agent', incarnation: '1'}, closed: new Promise(() => {
				// Stays open.
			}),
			request: async () => ok({accepted: true, load: {}, revision: 1}),
			notify(method: string, params: {attempt: string; received?: Array<{attempt: string; next: number}>}) {
				if (method === 'work.cancel') {
					cancelled.push(params.attempt);
				}

				confirmed.push(...params.received ?? []);
			},
		} as unknown as PeerConnection;
		handle = {
			connection, endpoint: 'e', updateLoad() {/* Not used. */}, recordSent() {/* Not used. */}, recordFinished() {/* Not used. */},
		} as unknown as EndpointHandle;
		runner = new AttemptRunner({
			clock: new SystemClock(), settings: {instance: 'entry-1'}, steps: {async onStep() {/* No faults here. */}},
			peers: {
				handle(_method: string, handler: typeof handlePieces) {
					handlePieces = handler;
				},
			},
		} as unknown as ProcessContext, {updateLoad() {/* Not used. */}} as unknown as EndpointDirectory);
		const {signal} = caller;
		outcome = runner.run(handle, createSubmission('first'), {
			signal,
			async onTexts(newTexts) {
				texts.push(...newTexts);
			},
			async findTakeover() {
				const accepted = await runner.submit(handle, createSubmission('second'), signal);
				expect(cancelled, 'cancelled before the second attempt is accepted').to.deep.equal([]);
				onAccepted();
				return accepted as AcceptedAttempt;
			},
			onTakenOver({submission}) {
				takenOver.push(submission.attempt);
			},
		});
		sendPieces({attempt: 'first', texts: ['a']});
		sendPieces({attempt: 'first', first: 1, stall});
	});

	it('cancels the attempt once the other is accepted, and drops what comes of it later', async () => {
		onAccepted = () => {
			setImmediate(() => {
				sendPieces({attempt: 'first', first: 1, texts: ['late']});
				sendPieces({attempt: 'second', texts: ['b'], end});
			});
		};

		expect(await outcome).to.deep.equal({kind: 'ended', end});
		expect({texts, cancelled, takenOver}).to.deep.equal({texts: ['a', 'b'], cancelled: ['first'], takenOver: ['second']});
		expect(runner.openCount).to.equal(0);
	});

	it('keeps the attempt and cancels the other if it goes on first', async () => {
		onAccepted = () => {
			sendPieces({
				attempt: 'first', first: 1, texts: ['b'], end,
			});
			sendPieces({attempt: 'second', texts: ['other']});
		};

		expect(await outcome).to.deep.equal({kind: 'ended', end});
		expect({texts, cancelled, takenOver}).to.deep.equal({texts: ['a', 'b'], cancelled: ['second'], takenOver: []});
		expect(runner.openCount).to.equal(0);
	});

	it('confirms the end as the piece behind the last one', async () => {
		onAccepted = () => {
			sendPieces({
				attempt: 'first', first: 1, texts: ['b'], end,
			});
		};

		await outcome;
		while (!confirmed.some(({next}) => next > 2)) {
			await new SystemClock().sleep(5);
		}

		expect(confirmed.at(-1)).to.deep.equal({attempt: 'first', next: 3});
	});

	it('cancels both when the caller leaves meanwhile', async () => {
		onAccepted = () => {
			caller.abort();
		};

		expect(await outcome).to.deep.equal({kind: 'stopped'});
		expect(cancelled).to.have.members(['first', 'second']);
		expect(runner.openCount).to.equal(0);
	});
});
