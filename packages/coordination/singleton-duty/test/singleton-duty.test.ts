import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {callOutcomes, type CallResult} from '../src/duty.js';
import {SingletonDuty} from '../src/singleton-duty.js';

const leaseMs = 3000;
/** The lease, a margin and the time-out of a call. */
const firstCallMs = leaseMs + 1000 + 1500;

/** A clock whose wall time may be set, and whose monotonic time stops while its machine is suspended. */
class SetClock extends ManualClock {
	wallOffsetMs = 0;

	override now(): number {
		return super.now() + this.wallOffsetMs;
	}
}

describe('singleton duty', () => {
	let clock: SetClock;
	let term: number | undefined;
	let confirm: () => Promise<number | undefined>;
	let result: CallResult;
	let calls: Array<{token: number; at: number; call: string}>;
	let accepted: string[];
	let due: string[];
	let onSend: () => void;
	let duty: SingletonDuty<string>;

	beforeEach(() => {
		clock = new SetClock();
		term = 4;
		confirm = async () => term;
		result = {outcome: callOutcomes.accepted};
		calls = [];
		accepted = [];
		due = ['first', 'second', 'third'];
		onSend = () => undefined;
		duty = new SingletonDuty<string>({
			clock, events: {emit: () => undefined}, holder: 'edge-1', leaseMs, callsPerSecond: 2, leadership: {
				get term() {
					return term;
				},
				confirm: async () => confirm(),
			}, duties: [{
				name: 'test', findCall: () => due[0], async handleAccepted(call) {
					accepted.push(call);
					due = due.filter(other => other !== call);
				},
			}], transport: {
				async send(call, {fencingToken, canSend}) {
					onSend();
					if (!canSend()) {
						return {outcome: callOutcomes.notSent};
					}

					calls.push({token: fencingToken, at: clock.monotonic(), call});
					return result;
				},
			},
		});
	});

	const run = async (ms: number) => {
		for (let elapsed = 0; elapsed < ms; elapsed += 50) {
			await duty.runOnce();
			await clock.advance(50);
		}
	};

	// Guards against calls of two holders that arrive in the order A, B, A.
	it('begins only after the lease, a margin and the time-out of a call, in each term anew', async () => {
		await run(firstCallMs);
		expect(calls).to.deep.equal([]);
		await run(200);
		expect(calls).to.have.length(1);
		// The leadership was lost and won again between two checks; another member may have led.
		term = 6;
		await run(firstCallMs);
		expect(calls).to.have.length(1);
		await run(200);
		expect(calls.at(-1)).to.include({token: 6});
	});

	it('keeps the rate that all instances share', async () => {
		await run(firstCallMs + 1500);
		expect(accepted).to.deep.equal(['first', 'second', 'third']);
		expect(calls.every(({at}, index) => index === 0 || at - calls[index - 1]!.at >= 500)).to.equal(true);
	});

	// Guards against a leader that steps down between the confirmation and the send.
	it('sends nothing without a fresh confirmation, or if it has stepped down since', async () => {
		confirm = async () => undefined;
		await run(firstCallMs + 500);
		confirm = async () => term;
		onSend = () => {
			term = undefined;
		};

		await run(500);
		expect(calls).to.deep.equal([]);
	});

	// Guards against a holder that was frozen past its lease; of a suspended machine only the wall clock shows it.
	for (const [frozen, freeze] of [
		['stopped process', async () => clock.advance(4000)],
		['suspended machine', async () => {
			clock.wallOffsetMs += 4000;
		}],
		['stopped process whose wall clock was set back', async () => {
			await clock.advance(4000);
			clock.wallOffsetMs -= 4000;
		}],
		['machine whose wall clock was set back', async () => {
			clock.wallOffsetMs -= 4000;
		}],
	] as const) {
		it(`sends nothing after a freeze: ${frozen}`, async () => {
			confirm = async () => {
				await freeze();
				return term;
			};

			await run(firstCallMs + 300);
			expect(calls).to.deep.equal([]);
		});
	}

	it('stops under its term once a higher token was seen', async () => {
		result = {outcome: callOutcomes.overtaken, status: 409};
		await run(firstCallMs + 5000);
		expect(calls).to.have.length(1);
		result = {outcome: callOutcomes.accepted};
		term = 5;
		await run(firstCallMs + 200);
		expect(calls.at(-1)).to.include({token: 5, call: 'first'});
	});

	it('backs off from 429 further and further, and repeats a call without an answer', async () => {
		result = {outcome: callOutcomes.overloaded, status: 429};
		await run(firstCallMs + 4000);
		const gaps = calls.slice(1).map(({at}, index) => at - calls[index]!.at);
		expect(gaps).to.deep.equal([500, 1000, 2000]);
		result = {outcome: callOutcomes.unanswered};
		await run(8000);
		expect(new Set(calls.map(({call}) => call))).to.deep.equal(new Set(['first']));
		result = {outcome: callOutcomes.accepted};
		await run(600);
		expect(accepted[0]).to.equal('first');
	});
});
