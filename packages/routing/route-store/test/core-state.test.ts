import {expect} from 'chai';
import {BanStore, type BanRecord} from '@hickorytrack/crash-attribution/ban-store';
import {OriginStore} from '@hickorytrack/stream-origins/origin-store';
import {UsageStore} from '@hickorytrack/usage-windows/usage-store';
import {CoreState} from '../src/core-state.js';
import {RouteStore} from '../src/route-store.js';

const oddValues: unknown[] = [undefined, null, '', 'x', 'a\r\nb', '__proto__', 'constructor', -1, 0, 1.5, 1e308, Number.POSITIVE_INFINITY, Number.NEGATIVE_INFINITY, 2 ** 53, true, [], [[]], [null], {}, {constructor: 1}];

const configuration = {version: 3, digest: 'd', document: {version: 3}};
const origins = {
	kind: 'stream-origins', at: 1000, admitted: [['model', 'v1']], retired: [['model', 'v0']], streams: [['stream', 'model', ['v1'], ['v0'], 2000, [['s1', 5, 10]]]],
};
const bans = {
	kind: 'crash-bans', at: 1000, put: [{
		trait: 'part:bad', suspects: [['part:bad', 1]], crashes: [['s1/5', 900], ['s2/5', 950]], triedAt: 990, failedTrials: 1,
	}], removed: ['part:other'],
};
const usage = {
	kind: 'usage-windows', begin: 7, totals: [['i1', [[9, [['w1', 2], ['w2', 1]]]]]], decided: [8, [['w1', 3]]], accepted: 8,
};
const commands = {
	configuration, origins, bans, usage,
};

/** Lists copies of a value in which one field or element has an odd value. */
function listVariants(value: unknown): unknown[] {
	const variants: unknown[] = [...oddValues];
	if (typeof value === 'object' && value !== null) {
		for (const [name, inner] of Object.entries(value)) {
			variants.push(...listVariants(inner).map(variant => Array.isArray(value) ? (value as unknown[]).with(Number(name), variant) : {...value, [name]: variant}));
		}
	}

	return variants;
}

class Member {
	readonly origins = new OriginStore();
	readonly told: BanRecord[] = [];
	readonly bans = new BanStore(records => {
		this.told.push(...records);
	});

	readonly routes = new RouteStore(() => {/* Read by `current`. */});
	readonly usage = new UsageStore();
	readonly state = new CoreState(this.routes, {origins: this.origins, bans: this.bans, usage: this.usage});

	describe(): unknown {
		return structuredClone({
			configuration: this.routes.current, origins: this.origins.createSnapshot(), bans: this.bans.list(), usage: this.usage.createSnapshot(), view: this.origins.describe(['model'], {stream: 'stream', now: 1000}),
		});
	}

	/** Applies sound commands, which every later one builds on. */
	applyAll(): this {
		for (const command of Object.values(commands)) {
			this.state.apply(command);
		}

		return this;
	}
}

/** Throws unless all that is stored has the types that its users need. */
function expectUsable({routes, origins, bans, usage, told}: Member, note: string): void {
	const {version, digest} = routes.current ?? configuration;
	expect(Number.isSafeInteger(version) && typeof digest === 'string', note).to.equal(true);
	const {versions, streams} = origins.createSnapshot();
	for (const [service, names] of versions) {
		expect([service, ...names].every(name => typeof name === 'string'), note).to.equal(true);
	}

	for (const [stream, record] of streams) {
		expect([stream, record.service, ...record.versions, ...record.sends.map(([id]) => id)].every(name => typeof name === 'string'), note).to.equal(true);
		expect([record.expiresAt, ...record.sends.flatMap(([, startedAt, ageMs]) => [startedAt, ageMs])].every(value => Number.isFinite(value)), note).to.equal(true);
	}

	expect(usage.findWaiting()?.counts.every(([name, count]) => typeof name === 'string' && Number.isSafeInteger(count)) ?? true, note).to.equal(true);
	expect([usage.decidedTo ?? 0, ...usage.listSenders().flatMap(sender => usage.findTotals(sender)!.list()).flatMap(([window, counts]) => [window, ...counts.map(([, count]) => count)])].every(value => Number.isSafeInteger(value)), note).to.equal(true);
	for (const {trait, suspects, crashes, triedAt = 0, failedTrials} of [...bans.list(), ...told]) {
		expect([trait, ...suspects.map(([name]) => name), ...crashes.map(([id]) => id)].every(name => typeof name === 'string'), note).to.equal(true);
		expect([triedAt, failedTrials, ...suspects.map(([, position]) => position), ...crashes.map(([, at]) => at)].every(value => Number.isFinite(value)), note).to.equal(true);
	}
}

describe('state of the core', () => {
	it('keeps what sound commands say', () => {
		const member = new Member().applyAll();
		expect(member.describe()).to.deep.equal({
			configuration,
			origins: {
				versions: [['model', ['v1']]], streams: [['stream', {
					service: 'model', versions: ['v1'], sends: [['s1', 5, 10]], expiresAt: 3000,
				}]],
			},
			bans: bans.put,
			usage: {
				decidedTo: 8, droppedTo: undefined, windows: [{window: 8, counts: [['w1', 3]], isAccepted: true}], totals: [['i1', [[9, [['w1', 2], ['w2', 1]]]]]],
			},
			view: {versions: {model: ['v1']}, stream: {service: 'model', versions: ['v1'], sends: [['s1', 5, 10]]}},
		});
		const copy = new Member();
		copy.state.restoreSnapshot(structuredClone(member.state.createSnapshot()));
		expect(copy.describe()).to.deep.equal(member.describe());
	});

	for (const [name, command] of Object.entries(commands)) {
		// Guards against a record of another version that throws where it is applied: on all members, at each start.
		it(`applies each command of ${name} without an exception, whatever one field is, and alike everywhere`, () => {
			for (const variant of listVariants(command)) {
				const note = JSON.stringify(variant)?.slice(0, 300) ?? 'undefined';
				const [first, second] = [new Member().applyAll(), new Member().applyAll()];
				for (const member of [first, second]) {
					expect(() => member.state.apply(structuredClone(variant)), note).not.to.throw();
					expect(() => member.applyAll(), note).not.to.throw();
					expectUsable(member, note);
				}

				expect(first.describe(), note).to.deep.equal(second.describe());
			}
		});
	}

	// Guards against a snapshot of another version that no member can start from.
	it('is restored from each snapshot without an exception, whatever one field is', () => {
		const snapshot = new Member().applyAll().state.createSnapshot();
		for (const variant of listVariants(snapshot)) {
			const note = JSON.stringify(variant)?.slice(0, 300) ?? 'undefined';
			const member = new Member();
			expect(() => {
				member.state.restoreSnapshot(variant);
			}, note).not.to.throw();
			expect(() => member.applyAll(), note).not.to.throw();
			expectUsable(member, note);
		}
	});

	// Guards against members of two versions in one core: one that has never heard of usage reads and writes snapshots without it.
	it('restores a snapshot without usage, and one with usage reads as a stored configuration', () => {
		const {usageWindows, ...older} = new Member().applyAll().state.createSnapshot() as Record<string, unknown>;
		const member = new Member();
		member.state.restoreSnapshot(older);
		expect(member.routes.current).to.deep.equal(configuration);
		expect(member.usage.decidedTo).to.equal(undefined);
		const olderRoutes = new RouteStore(() => undefined);
		olderRoutes.restoreSnapshot({...older, usageWindows});
		expect(olderRoutes.current).to.deep.equal(configuration);
	});

	// Guards against a part that can't be used and takes the sound ones with it.
	it('keeps the elements beside one that can not be used', () => {
		const member = new Member();
		member.state.apply({...origins, admitted: [[5, 'v1'], ...origins.admitted], streams: [null, ...origins.streams, ['x']]});
		member.state.apply({...bans, put: [{trait: 7}, ...bans.put]});
		expect(member.origins.listVersions()).to.deep.equal([['model', ['v1']]]);
		expect(member.origins.streamCount).to.equal(1);
		expect(member.bans.list()).to.deep.equal(bans.put);
	});
});
