import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import type {SocketAddress} from '@hickorytrack/socket-address';
import {EndpointRegistry, type ServerReport} from '../src/endpoint-registry.js';

const report: ServerReport = {
	id: 'a', startedAt: 1000, sequence: 1, service: 's', address: '10.0.0.1:80' as SocketAddress, availabilityZone: 'z', slots: 6, state: 'ready', coldMs: 0,
};

describe('endpoint registry', () => {
	let clock: ManualClock;
	let registry: EndpointRegistry;
	const listIds = () => registry.listUsable('s').map(server => server.id);

	beforeEach(() => {
		clock = new ManualClock();
		registry = new EndpointRegistry({clock, reportTimeoutMs: 5000});
		registry.recordReport(report);
	});

	// Nothing but a dump or a new connection removed servers, so that those whose ids change with each start filled the bound of their number for good.
	it('forgets servers that no longer report while others do, and says so', async () => {
		const forgotten: string[] = [];
		registry = new EndpointRegistry({
			clock, reportTimeoutMs: 5000, onForgotten(id) {
				forgotten.push(id);
			},
		});
		for (let start = 0; start < 300; start++) {
			registry.recordReport({...report, id: `a${start}`, startedAt: start + 1});
			await clock.advance(1000);
		}

		expect(registry.size).to.be.at.most(121);
		expect(forgotten.slice(0, 2)).to.deep.equal(['a0', 'a1']);
		expect(forgotten).to.have.length(300 - registry.size);
	});

	it('orders the reports of one incarnation by sequence number', () => {
		expect(registry.recordReport({...report, sequence: 3, state: 'draining'})).to.equal(true);
		expect(registry.recordReport({...report, sequence: 2})).to.equal(false);
		expect(listIds()).to.deep.equal([]);
	});

	// Guards against a server that has been told that its draining is known and gets more requests, because a foreign report outdates its own.
	it('drains a server by its report, whatever number the ready one has', () => {
		registry.recordReport({...report, sequence: Number.MAX_SAFE_INTEGER});
		expect(registry.recordReport({...report, sequence: 2, state: 'draining'})).to.equal(true);
		expect([listIds(), registry.isUsable(report)]).to.deep.equal([[], false]);
		expect(registry.recordReport({...report, sequence: 3})).to.equal(false);
		expect(listIds()).to.deep.equal([]);
		expect(registry.recordReport({
			...report, sequence: 2, state: 'draining', address: '10.0.0.9:80' as SocketAddress,
		})).to.equal(false);
	});

	// Guards against a server that drains no more, and is kept out by a report of before.
	it('uses a server again that reports ready with a higher number than a late report that it drains', () => {
		registry.recordReport({...report, sequence: 5});
		registry.recordReport({...report, sequence: 4, state: 'draining'});
		expect(registry.recordReport({...report, sequence: 6})).to.equal(true);
		expect(listIds()).to.deep.equal(['a']);
	});

	it('accepts a new incarnation under the same id, whose sequence starts again', () => {
		registry.recordReport({...report, sequence: 9, state: 'draining'});
		expect(registry.recordReport({...report, startedAt: 2000, sequence: 1})).to.equal(true);
		expect(listIds()).to.deep.equal(['a']);
		expect(registry.recordReport({...report, sequence: 10})).to.equal(false);
	});

	// A sound server whose reports were lost got no more requests.
	it('keeps a server in use that does not report but answers', async () => {
		for (let step = 0; step < 4; step++) {
			await clock.advance(4000);
			expect(listIds()).to.deep.equal(['a']);
			registry.recordAnswer(report);
			registry.recordAnswer({...report, startedAt: 2000});
		}

		await clock.advance(5001);
		expect(listIds()).to.deep.equal([]);
		registry.recordReport({...report, sequence: 2, state: 'draining'});
		registry.recordAnswer(report);
		expect(listIds()).to.deep.equal([]);
	});

	it('excludes a server until its reports show the stage that it was ordered to change to', async () => {
		const model: ServerReport = {...report, stage: 'decode', sequence: 2};
		registry.recordReport(model);
		registry.setPendingStage('a', {startedAt: 1000, stage: 'prefill'});
		expect(listIds()).to.deep.equal([]);
		expect(registry.listReady('s')).to.have.length(1);
		registry.recordReport({...model, sequence: 3});
		expect(registry.findPendingStage(registry.find('a')!)).to.equal('prefill');
		registry.recordReport({...model, sequence: 4, stage: 'prefill'});
		expect(listIds()).to.deep.equal(['a']);
		registry.setPendingStage('a', {startedAt: 1000, stage: 'decode'});
		registry.recordReport({
			...model, startedAt: 2000, sequence: 1, stage: 'prefill',
		});
		expect(listIds(), 'a new incarnation has no pending stage').to.deep.equal(['a']);
		registry.setPendingStage('a', {startedAt: 2000, stage: 'decode'});
		for (let sequence = 2; sequence < 9; sequence++) {
			await clock.advance(2000);
			registry.recordReport({
				...model, startedAt: 2000, sequence, stage: 'prefill',
			});
		}

		expect(listIds(), 'a pending stage that is never reported expires').to.deep.equal(['a']);
	});

	it('does not restore a server that has left on a late report', () => {
		registry.recordDeparture('a', 1000);
		expect(registry.recordReport({...report, sequence: 50})).to.equal(false);
		expect(listIds()).to.deep.equal([]);
		registry.recordReport({...report, startedAt: 3000});
		expect(registry.recordDeparture('a', 1000)).to.equal(undefined);
		expect(listIds()).to.deep.equal(['a']);
	});

	describe('a server that says in an answer that it leaves', () => {
		beforeEach(() => {
			registry.recordLeaving({id: 'a', startedAt: 1000});
		});

		it('gets nothing more, and is reported to the other instances once', () => {
			expect([listIds(), registry.listReady('s'), registry.isUsable(report)]).to.deep.equal([[], [], false]);
			expect(registry.list()).to.deep.equal([{...report, state: 'leaving'}]);
			expect(registry.recordLeaving({id: 'a', startedAt: 1000})).to.equal(undefined);
		});

		// A report that was sent before the answer, or by a server that reports ready until it is gone, made it usable again.
		it('is not restored by any report, repeat or note of the same start', () => {
			registry.recordReport({...report, sequence: 5});
			registry.recordRepeat({id: 'a', startedAt: 1000, sequence: 6});
			registry.recordReport({...report, sequence: 7, state: 'draining'});
			registry.recordReport({...report, sequence: 8, coldMs: 5});
			expect([listIds(), registry.isUsable(report)]).to.deep.equal([[], false]);
		});

		// Forgotten after a time without a report that counted, a server was usable again with its next report.
		it('is not forgotten while it reports', async () => {
			for (let sequence = 2; sequence < 60; sequence++) {
				await clock.advance(2500);
				registry.list();
				registry.recordReport({...report, sequence});
				registry.recordRepeat({id: 'a', startedAt: 1000, sequence});
			}

			expect(listIds()).to.deep.equal([]);
		});

		// An acknowledged report promises that every instance knows: one that changes nothing here must still be passed on.
		it('passes on its report that it drains, and that it has left', () => {
			expect(registry.recordReport({...report, sequence: 2, state: 'draining'})).to.equal(true);
			expect(registry.find('a')!.state).to.equal('leaving');
			expect(registry.recordDeparture('a', 1000)).to.include({state: 'left'});
		});

		it('is usable as soon as a new start is known, under its id or at its address', () => {
			registry.recordReport({...report, startedAt: 2000});
			expect(listIds()).to.deep.equal(['a']);
			registry.recordLeaving({id: 'a', startedAt: 2000});
			registry.recordReport({...report, id: 'b', startedAt: 3000});
			expect(listIds()).to.deep.equal(['b']);
		});

		it('does not harm its new start with late news of the earlier one', () => {
			registry.recordReport({...report, startedAt: 2000});
			expect(registry.recordLeaving({id: 'a', startedAt: 1000})).to.equal(undefined);
			expect(registry.recordReport({...report, sequence: 9, state: 'leaving'})).to.equal(false);
			expect(listIds()).to.deep.equal(['a']);
		});

		// Late news of a server that was never known took the address from its successor when neither reports a start time.
		it('takes no address from a server without a start time', () => {
			const successor = {
				...report, startedAt: 0, id: 'successor', address: '10.0.0.2:80' as SocketAddress,
			};
			registry.recordReport(successor);
			registry.recordReport({...successor, id: 'predecessor', state: 'leaving'});
			expect(listIds()).to.deep.equal(['successor']);
			registry.recordReport({...successor, id: 'predecessor', sequence: 9});
			expect(listIds()).to.deep.equal(['successor']);
		});
	});

	it('assigns an address to the server that started last at it', () => {
		registry.recordReport({
			...report, id: 'b', startedAt: 2000, service: 't',
		});
		expect(listIds()).to.deep.equal([]);
		expect(registry.isUsable(report)).to.equal(false);
		expect(registry.recordReport({...report, sequence: 8})).to.equal(false);
	});

	it('orders servers that report no start time by when they became known', () => {
		const first = {
			...report, startedAt: 0, address: '10.0.0.2:80' as SocketAddress, id: 'first',
		};
		registry.recordReport(first);
		registry.recordReport({...first, id: 'second'});
		expect(registry.recordReport({...first, sequence: 9})).to.equal(false);
		expect(listIds()).to.deep.equal(['a', 'second']);
	});

	it('stops using a server that no longer reports', async () => {
		await clock.advance(5001);
		expect(listIds()).to.deep.equal([]);
		registry.recordReport({...report, sequence: 2});
		expect(listIds()).to.deep.equal(['a']);
	});

	describe('a live server behind a record that is not its own', () => {
		/** Records reports, or repeats of them, at the interval of reports. Returns when the server was first in use. */
		async function recordSeries(first: ServerReport, {count, kind = 'report'}: {count: number; kind?: 'report' | 'repeat'}): Promise<number | undefined> {
			for (let sent = 0; sent < count; sent++) {
				await clock.advance(1000);
				const next = {...first, sequence: first.sequence + sent};
				const isKnown = kind === 'report' ? registry.recordReport(next) : registry.recordRepeat(next);
				if (kind === 'repeat' && !isKnown) {
					registry.recordReport(next);
				}

				if (registry.listUsable('s').some(({id, address, startedAt}) => id === first.id && address === first.address && startedAt === first.startedAt)) {
					return clock.monotonic();
				}
			}

			return undefined;
		}

		const foreign = [
			{...report, sequence: Number.MAX_SAFE_INTEGER, address: '10.0.0.9:80' as SocketAddress},
			{...report, startedAt: Number.MAX_SAFE_INTEGER, address: '10.0.0.9:80' as SocketAddress},
			{...report, startedAt: Number.MAX_SAFE_INTEGER, id: 'foreign'},
			{...report, sequence: Number.MAX_SAFE_INTEGER, service: 't'},
		];

		// Guards against one foreign report that keeps a live server out until it is forgotten, after two minutes.
		it('gets in again while the foreign one is silent, by its reports and by the repeats of other instances', async () => {
			for (const kind of ['report', 'repeat'] as const) {
				for (const [index, other] of foreign.entries()) {
					clock = new ManualClock();
					registry = new EndpointRegistry({clock, reportTimeoutMs: 5000});
					registry.recordReport(report);
					registry.recordReport(other);
					expect(await recordSeries({...report, sequence: 2}, {count: 15, kind}), `${kind} ${index}`).to.be.within(10_000, 12_000);
				}
			}
		});

		// Guards against a late report of a dead boot that revives it.
		it('is not what a burst of late reports, or a few over a long time, make of a dead boot', async () => {
			registry.recordReport({...report, startedAt: 2000, address: '10.0.0.9:80' as SocketAddress});
			await clock.advance(6000);
			for (let sequence = 2; sequence < 40; sequence++) {
				expect(registry.recordReport({...report, sequence})).to.equal(false);
			}

			for (let sequence = 40; sequence < 50; sequence++) {
				await clock.advance(5001);
				expect(registry.recordReport({...report, sequence})).to.equal(false);
			}
		});

		// Guards against repeated, outdated reports that count as the sign of a live server.
		it('is not what reports make of it whose numbers do not rise', async () => {
			registry.recordReport(foreign[0]!);
			await clock.advance(6000);
			for (let sequence = 40; sequence > 20; sequence--) {
				await clock.advance(1000);
				expect(registry.recordReport({...report, sequence})).to.equal(false);
			}
		});

		// Guards against a drained, leaving or departed server that gets requests again.
		it('is not what reports make of a server that drains, leaves or has left', async () => {
			for (const state of ['draining', 'leaving', 'left'] as const) {
				clock = new ManualClock();
				registry = new EndpointRegistry({clock, reportTimeoutMs: 5000});
				registry.recordReport(report);
				registry.recordReport({...report, sequence: Number.MAX_SAFE_INTEGER, state});
				expect(await recordSeries({...report, sequence: 2}, {count: 60}), state).to.equal(undefined);
				expect(await recordSeries({...report, sequence: 70}, {count: 40, kind: 'repeat'}), state).to.equal(undefined);
			}
		});

		// Guards against a successor that is given up while it reports or answers.
		it('is not what reports make of the predecessor of a server that is heard of', async () => {
			for (const listen of ['recordReport', 'recordAnswer'] as const) {
				clock = new ManualClock();
				registry = new EndpointRegistry({clock, reportTimeoutMs: 5000});
				const successor = {...report, startedAt: 2000};
				registry.recordReport(successor);
				for (let sequence = 2; sequence < 40; sequence++) {
					await clock.advance(1000);
					expect(registry.recordReport({...report, sequence}), listen).to.equal(false);
					registry[listen]({...successor, sequence});
				}
			}
		});
	});
});
