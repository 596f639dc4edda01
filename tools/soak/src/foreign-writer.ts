/**
 * Another writer beside servers and operator: it sends reports, deregistrations and configurations of its own to random edges.
 * Under the ids of real servers it sends only what can't be read: what a valid report of another writer under such an id does
 * is not decided by the rules. Its own servers run nowhere. It never sends a valid configuration, and those that it sends have
 * an old version, so that one that is wrongly accepted shows in the answer alone.
 */
import {Client} from 'undici';
import type {Clock} from '@hickorytrack/clock';
import type {Random} from '@hickorytrack/random';
import {
	configurationFields, deregistrationFields, formatConfiguration, formatDocument, idField, listOdd, listRefused, listRefusedNear, otherDocuments, reportFields, unreadableBodies, type JsonText, type WireField,
} from '@hickorytrack/stand-ins/wire-fields';
import type {ForeignCall} from './records.js';

export const foreignFaults = {
	writer: 'foreign-writer',
	/** It also sends deregistrations that can't be read under the ids of real servers. */
	leave: 'foreign-leave',
} as const;

/** What the rules say of the answer: a success, a refusal, or any that is clear. */
export const expectedAnswers = {accepted: 'accepted', refused: 'refused', clear: 'clear'} as const;

export type ForeignWriterOptions = {
	clock: Clock;
	random: Random;
	faults: ReadonlySet<string>;
	edges: ReadonlyArray<{name: string; controlAddress: string}>;
	/** Names of the servers, which their ids begin with. */
	servers: readonly string[];
	/** Addresses at which nothing listens. */
	closedAddresses: readonly string[];
	record: (call: ForeignCall) => void;
};

type Message = Pick<ForeignCall, 'call' | 'expected'> & {path: string; body: string};

const meanGapMs = 40;
/** Callers of the control address go on to another node after a second without an answer. */
const answerMs = 1000;
const recordedCharacters = 200;
const services = ['plain', 'model', 'plain-b', 'model-b'] as const;
/** Chance that a document can't be read at all, and that a report is of a server of its own. */
const unreadableRate = 0.15;
/** Chance that an odd report has an odd address, and that a value looks like a sound one. */
const addressRate = 0.4;
const nearRate = 0.5;
const ownRate = 0.3;
const maxStarts = 3;

export class ForeignWriter {
	readonly #opts: ForeignWriterOptions;
	#sequence = 0;

	constructor(opts: ForeignWriterOptions) {
		this.#opts = opts;
	}

	/** Sends one message after the other, also before the last one is answered, until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, random} = this.#opts;
		const calls: Array<Promise<void>> = [];
		while (!signal.aborted) {
			calls.push(this.#call(this.#createMessage()));
			await clock.sleep(random.nextExponential(meanGapMs), signal);
		}

		await Promise.all(calls);
	}

	#createMessage(): Message {
		const {random, faults} = this.#opts;
		const kinds = ['odd-report', 'odd-report', 'odd-report', 'closed-report', 'own-report', 'own-leave', 'configuration', ...(faults.has(foreignFaults.leave) ? ['foreign-leave'] as const : [])] as const;
		const kind = random.select(kinds);
		switch (kind) {
			case 'odd-report': {
				const id = random.next() < ownRate ? this.#createOwnId() : this.#createRealId();
				return {
					call: kind, expected: expectedAnswers.refused, path: `/api/Instances.Heartbeat/${id}`, body: this.#isUnreadable() ? this.#selectUnreadable() : this.#createReport(this.#createRefusedChange()),
				};
			}

			case 'closed-report': {
				return {
					call: kind, expected: expectedAnswers.accepted, path: `/api/Instances.Heartbeat/${this.#createOwnId()}`, body: this.#createReport(),
				};
			}

			case 'own-report': {
				const id = random.next() < ownRate ? random.select(idField.odd) : this.#createOwnId();
				return {
					call: kind, expected: expectedAnswers.clear, path: `/api/Instances.Heartbeat/${id}`, body: this.#createReport(this.#createChange(reportFields, listOdd)),
				};
			}

			case 'own-leave': {
				const id = random.next() < ownRate ? random.select(idField.odd) : this.#createOwnId();
				return {
					call: kind, expected: expectedAnswers.clear, path: `/api/Instances.Deregister/${id}`, body: this.#isUnreadable() ? this.#selectUnreadable() : formatDocument(deregistrationFields, random, this.#createChange(deregistrationFields, listOdd)),
				};
			}

			case 'foreign-leave': {
				return {
					call: kind, expected: expectedAnswers.refused, path: `/api/Instances.Deregister/${this.#createRealId()}`, body: this.#isUnreadable() ? random.select(unreadableBodies.filter(body => body.trim() !== '')) : formatDocument(deregistrationFields, random, this.#createChange(deregistrationFields, listRefused)),
				};
			}

			case 'configuration': {
				return {
					call: kind, expected: expectedAnswers.refused, path: '/api/Config.Put', body: this.#isUnreadable() ? this.#selectUnreadable() : formatConfiguration(random, this.#createChange(configurationFields, listRefused)),
				};
			}
		}
	}

	#createRefusedChange(): Record<string, JsonText> {
		const {random} = this.#opts;
		const fields = random.next() < addressRate ? reportFields.filter(({name}) => name === 'address') : reportFields;
		return this.#createChange(fields, random.next() < nearRate ? listRefusedNear : listRefused);
	}

	/** Draws a field and a value for it. */
	#createChange(fields: readonly WireField[], listValues: (field: WireField) => JsonText[]): Record<string, JsonText> {
		const {random} = this.#opts;
		const field = random.select(fields.filter(candidate => listValues(candidate).length > 0));
		return {[field.name]: random.select(listValues(field))};
	}

	/** A report of a server that nobody runs, of any service. */
	#createReport(changes: Readonly<Record<string, JsonText>> = {}): string {
		const {random, clock, closedAddresses} = this.#opts;
		const service = random.select(services);
		const stage = service.startsWith('model') ? JSON.stringify(random.select(['prefill', 'decode'])) : undefined;
		this.#sequence++;
		return formatDocument(reportFields, random, {
			service: JSON.stringify(service), stage, address: JSON.stringify(random.select(closedAddresses)), seq: String(this.#sequence), born: String(clock.now()), ...changes,
		});
	}

	#isUnreadable(): boolean {
		return this.#opts.random.next() < unreadableRate;
	}

	#selectUnreadable(): string {
		return this.#opts.random.select([...unreadableBodies, ...otherDocuments]);
	}

	#createOwnId(): string {
		return `foreign-${this.#opts.random.nextInteger(this.#opts.closedAddresses.length)}`;
	}

	/** A server that starts again may have a number behind its name. */
	#createRealId(): string {
		const {random, servers} = this.#opts;
		const name = random.select(servers);
		return random.next() < 0.5 ? name : `${name}-${random.nextInteger(maxStarts)}`;
	}

	async #call({call, expected, path, body}: Message): Promise<void> {
		const {clock, random, edges, record} = this.#opts;
		const {name, controlAddress} = random.select(edges);
		const client = new Client(`http://${controlAddress}`, {headersTimeout: answerMs, bodyTimeout: answerMs, connect: {timeout: answerMs}});
		const sentAt = clock.now();
		const text = `${path} ${body}`.slice(0, recordedCharacters);
		try {
			const response = await client.request({
				path, method: 'POST', headers: {'content-type': 'application/json'}, body,
			});
			await response.body.dump();
			record({
				edge: name, sentAt, endedAt: clock.now(), call, expected, text, status: response.statusCode,
			});
		} catch (error) {
			record({
				edge: name, sentAt, endedAt: clock.now(), call, expected, text, failure: String(error),
			});
		} finally {
			await client.destroy();
		}
	}
}
