import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {Random} from '@hickorytrack/random';
import {AdmissionQueue, admissionDecisions, type AdmissionRequest} from '../src/admission-queue.js';
import {computeReturnTimeMs} from '../src/return-times.js';
import {computeSlotShare, countFreeSlots} from '../src/slot-share.js';

const workMs = 30;
const slots = 18;
const deadlineMs = 1000;
const usualRequest: AdmissionRequest = {
	workspace: 'a', priority: 2, isReturning: false, expectedMs: workMs, maxWaitMs: deadlineMs - workMs,
};

/** A service whose servers work on one request in each slot, with the queue of the one instance in front of it. */
class SimulatedService {
	readonly clock = new ManualClock();
	readonly random = new Random(7);
	readonly answered = new Map<string, number>();
	readonly decisions: string[] = [];
	inFlight = 0;
	slots = slots;
	readonly queue = new AdmissionQueue({clock: this.clock, countRoom: () => this.slots - this.inFlight, countOwnSlots: () => this.slots});

	async send(request: AdmissionRequest): Promise<void> {
		const decided = this.queue.acquire(request);
		const decision = typeof decided === 'string' ? decided : await decided;
		this.decisions.push(decision);
		if (decision === admissionDecisions.admitted) {
			this.inFlight++;
			this.clock.startTimer(request.expectedMs, () => {
				this.inFlight--;
				const {workspace = ''} = request;
				this.answered.set(workspace, (this.answered.get(workspace) ?? 0) + 1);
				this.queue.update();
			});
		}
	}

	/** Lets requests of a workspace arrive at random at a rate per second, until a time in milliseconds. */
	startLoad(perSecond: number, untilMs: number, request: Partial<AdmissionRequest>): void {
		const arrive = () => {
			if (this.clock.monotonic() < untilMs) {
				void this.send({...usualRequest, ...request});
				this.clock.startTimer(this.random.nextExponential(1000 / perSecond), arrive);
			}
		};

		this.clock.startTimer(this.random.nextExponential(1000 / perSecond), arrive);
	}
}

describe('admission queue', () => {
	// Guards against a large workspace that takes the share of seventy others: with a common queue they wait as long as it does.
	for (const factor of [10, 40]) {
		it(`leaves seventy workspaces at least 0.95 of what each gets alone beside one at ${factor} times its share`, async () => {
			const share = slots / workMs * 1000 / 71;
			const run = async (flood: number) => {
				const service = new SimulatedService();
				for (let number = 0; number < 70; number++) {
					service.startLoad(share * 0.9, 2000, {workspace: `small-${number}`});
				}

				if (flood > 0) {
					service.startLoad(share * flood, 2000, {workspace: 'large'});
				}

				await service.clock.advance(2000 + deadlineMs);
				return [...service.answered].filter(([workspace]) => workspace !== 'large').reduce((sum, [, count]) => sum + count, 0);
			};

			expect(await run(factor)).to.be.at.least(0.95 * await run(0));
		}).timeout(60_000);
	}

	// Guards against urgent requests behind less urgent ones, and against new callers before those that were refused already.
	it('admits urgent requests first, and returning callers before new ones of their workspace', async () => {
		const service = new SimulatedService();
		service.slots = 1;
		const order: string[] = [];
		const send = async (name: string, request: Partial<AdmissionRequest>) => {
			await service.send({...usualRequest, ...request});
			order.push(name);
		};

		void send('running', {});
		void send('new', {});
		void send('returning', {isReturning: true});
		void send('urgent', {priority: 0, workspace: 'b'});
		await service.clock.advance(200);
		expect(order).to.deep.equal(['running', 'urgent', 'returning', 'new']);
	});

	// Guards against a refusal at the deadline of what could have been refused at once.
	it('refuses on arrival what would be late behind the work that waits, and later what becomes late', async () => {
		const service = new SimulatedService();
		service.slots = 1;
		for (let count = 0; count < 4; count++) {
			void service.send({...usualRequest, maxWaitMs: 1000});
		}

		await service.send({...usualRequest, maxWaitMs: 50});
		expect(service.decisions).to.deep.equal(['admitted', 'late']);
		service.slots = 0;
		await service.clock.advance(1100);
		expect(service.decisions).to.deep.equal(['admitted', 'late', 'late', 'late', 'late']);
		expect(service.clock.monotonic()).to.be.lessThan(1200);
	});

	it('lets a request whose caller has gone take no slot', async () => {
		const service = new SimulatedService();
		service.slots = 1;
		const caller = new AbortController();
		void service.send(usualRequest);
		void service.send({...usualRequest, signal: caller.signal});
		void service.send(usualRequest);
		caller.abort();
		await service.clock.advance(100);
		expect(service.answered.get('a')).to.equal(2);
		expect(service.queue.length).to.equal(0);
	});

	// Guards against a crash of a quarter of the servers that turns into refusals of all: what fits is answered.
	it('answers what the remaining slots can take when a quarter of them is lost', async () => {
		const service = new SimulatedService();
		service.startLoad(slots / workMs * 1000 * 0.95, 2000, {});
		service.clock.startTimer(500, () => {
			service.slots = Math.floor(slots * 0.75);
		});
		await service.clock.advance(2000 + deadlineMs);
		const capacity = (500 * slots * 0.95 / workMs) + (1500 * Math.floor(slots * 0.75) / workMs);
		expect(service.answered.get('a')).to.be.at.least(0.95 * capacity);
	}).timeout(60_000);
});

describe('share of the free slots', () => {
	// Guards against all instances that send to the same free slot.
	it('adds up to about the free slots over all instances', () => {
		const random = new Random(3);
		let sent = 0;
		for (let round = 0; round < 1000; round++) {
			for (let instance = 0; instance < 22; instance++) {
				sent += computeSlotShare({
					slots: 18, requests: 18, ownRequests: instance < 18 ? 1 : 0, instances: 22,
				}, random);
			}
		}

		expect(sent / 1000).to.be.closeTo(countFreeSlots({slots: 18, requests: 18}), 0.5);
	});
});

describe('times to return', () => {
	// Guards against callers who are refused in one moment and meet again.
	it('spread callers over the time in which room appears', () => {
		const random = new Random(5);
		const times = Array.from({length: 200}, () => computeReturnTimeMs({earliestMs: 150, backlogMs: 600, random}));
		expect(Math.min(...times)).to.be.within(150, 200);
		expect(Math.max(...times)).to.be.within(700, 750);
	});
});
