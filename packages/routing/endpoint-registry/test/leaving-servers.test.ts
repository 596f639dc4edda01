/** Random series of starts, reports, answers and exchanges, with late and repeated reports, between instances that may be cut off. */
import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {Random} from '@hickorytrack/random';
import type {SocketAddress} from '@hickorytrack/socket-address';
import {EndpointRegistry, type Incarnation, type ServerReport} from '../src/endpoint-registry.js';

const seeds = 300;
const steps = 200;

const createKey = ({id, startedAt}: Incarnation) => `${id}/${startedAt}`;

/** An instance, and the starts of servers of which it has heard that they leave. */
class Instance {
	readonly registry: EndpointRegistry;
	readonly leaving = new Map<string, ServerReport>();

	constructor(clock: ManualClock) {
		this.registry = new EndpointRegistry({clock, reportTimeoutMs: 5000});
	}

	recordAnswer(start: ServerReport): void {
		if (this.registry.find(start.id)?.startedAt === start.startedAt) {
			this.leaving.set(createKey(start), start);
		}

		this.registry.recordLeaving(start);
	}

	recordNote(reports: readonly ServerReport[]): void {
		for (const report of reports) {
			this.registry.recordReport(report);
			if (report.state === 'leaving') {
				this.leaving.set(createKey(report), report);
			}
		}
	}

	listLeavingInUse(): string[] {
		const usable = new Set(this.registry.listUsable('s').map(server => createKey(server)));
		return [...this.leaving].filter(([key, start]) => usable.has(key) || this.registry.isUsable(start)).map(([key]) => key);
	}
}

class Series {
	readonly clock = new ManualClock();
	readonly instances = [1, 2, 3].map(() => new Instance(this.clock));
	readonly #random: Random;
	readonly #reportsStart: boolean;
	/** The newest start at each address, by its last report. */
	readonly #current: ServerReport[] = [];
	readonly #sent: ServerReport[] = [];
	#starts = 0;

	constructor(random: Random, reportsStart: boolean) {
		this.#random = random;
		this.#reportsStart = reportsStart;
		for (const address of ['10.0.0.1:80', '10.0.0.2:80']) {
			this.#current.push(this.#createStart(address, address));
		}
	}

	async runStep(): Promise<void> {
		const random = this.#random;
		const instance = random.select(this.instances);
		const index = random.nextInteger(this.#current.length);
		switch (random.nextInteger(8)) {
			case 0: {
				const {id, address} = this.#current[index]!;
				this.#current[index] = this.#createStart(address, this.#reportsStart && random.next() < 0.5 ? id : `id-${this.#starts}`);
				break;
			}

			case 1:
			case 2: {
				this.#report(instance, index);
				break;
			}

			case 3: {
				const late = random.select(this.#sent.length > 0 ? this.#sent : this.#current);
				instance.registry.recordReport(late);
				instance.registry.recordRepeat(late);
				break;
			}

			case 4: {
				instance.recordAnswer(random.select([...this.#current, ...this.#sent]));
				break;
			}

			case 5: {
				this.exchange(random.select(this.instances), instance);
				break;
			}

			case 6: {
				const {id, startedAt} = random.select([...this.#current, ...this.#sent]);
				instance.recordNote(instance.registry.list().filter(report => report.id === id));
				if (random.next() < 0.2) {
					instance.registry.recordDeparture(id, startedAt);
				}

				break;
			}

			default: {
				await this.clock.advance(random.nextBetween(0, 3000));
			}
		}
	}

	exchange(from: Instance, to: Instance): void {
		to.recordNote(from.registry.list());
	}

	#createStart(address: string, id: string): ServerReport {
		this.#starts++;
		return {
			id, startedAt: this.#reportsStart ? this.#starts : 0, sequence: 0, service: 's', address: address as SocketAddress, availabilityZone: 'z', slots: 1, state: 'ready', coldMs: 0,
		};
	}

	/** The newest start at an address reports; unless it is known to drain, to leave or to have left, it is in use from then on. */
	#report(instance: Instance, index: number): void {
		const state = this.#random.next() < 0.1 ? 'draining' : this.#current[index]!.state;
		const report = {...this.#current[index]!, sequence: this.#current[index]!.sequence + 1, state};
		this.#current[index] = report;
		this.#sent.push(report);
		instance.registry.recordReport(report);
		const isOut = state !== 'ready' || instance.leaving.has(createKey(report)) || instance.registry.find(report.id)?.state === 'left';
		if (this.#reportsStart && !isOut) {
			expect(instance.registry.isUsable(report), `${createKey(report)} has started anew`).to.equal(true);
		}
	}
}

describe('servers that say that they leave', () => {
	// Requests went to a server after its news; or its next start was taken for the one that leaves.
	for (const reportsStart of [true, false]) {
		it(`are in use nowhere after the news, and ${reportsStart ? 'their next starts are' : 'without start times'}`, async () => {
			for (let seed = 1; seed <= seeds; seed++) {
				const series = new Series(new Random(seed), reportsStart);
				for (let step = 0; step < steps; step++) {
					await series.runStep();
					expect(series.instances.flatMap(instance => instance.listLeavingInUse()), `seed ${seed}, step ${step}`).to.deep.equal([]);
				}

				for (const from of series.instances) {
					for (const to of series.instances) {
						series.exchange(from, to);
					}
				}

				expect(series.instances.flatMap(instance => instance.listLeavingInUse()), `seed ${seed}, after the exchange`).to.deep.equal([]);
			}
		});
	}
});
