import {expect} from 'chai';
import {EdgesUnderTest, type EdgeAnswer} from './edges-under-test.js';

const configuration = {
	version: 1,
	routes: [{
		name: 'talk', host: 'soak.example', 'path-prefix': '/talk/', kind: 'streaming', 'timeout-ms': 5000, 'slo-ms': 300, priority: 0, service: 'model', 'max-attempts': 1, sticky: true, resumable: true, 'gap-slo-ms': 200,
	}],
	services: [{
		name: 'model', 'health-path': '/healthz', 'max-conns': 100, engine: {
			slots: 8, 'kv-tokens': 200_000, 'handle-ttl-s': 5, 'switch-s': 1,
		},
	}],
	limits: {
		'max-header-bytes': 16_384, 'max-body-bytes': 1_000_000, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000,
	},
};

const streamCount = 8;
const outOfStepMs = 2400;
/** Time for which a caller goes on taking its stream up. */
const takeUpMs = 4000;
const retryMs = 50;

/** The version of each event, in the order of the events; their ids must follow on each other. */
function listVersions(text: string, firstEvent = 1): string[] {
	const events = [...text.matchAll(/^id: (?<id>\d+)\ndata: event \d+ of (?<version>\S+)\n\n/gm)].map(({groups}) => groups!);
	expect(events.map(({id}) => Number(id))).to.deep.equal(events.map((_, index) => firstEvent + index));
	return events.map(({version}) => version!);
}

// A release goes on while one edge is cut off or stands still: what it knew of the versions is outdated when it goes on.
describe('an edge that is out of step during a release', function () {
	this.timeout(60_000);
	let fleet: EdgesUnderTest;

	beforeEach(async () => {
		fleet = await EdgesUnderTest.start(configuration);
	});

	afterEach(async () => {
		await fleet.stop();
	});

	const begin = async (edges: readonly string[]) => {
		const streams = await Promise.all(Array.from({length: streamCount}, async (_, index) => fleet.send(edges[index % edges.length]!, '/talk/x')));
		return streams.filter(({body}) => listVersions(body).length > 0);
	};

	const takeUp = async (edge: string, {requestId, body}: EdgeAnswer) => fleet.send(edge, '/talk/x', {resumes: requestId, 'last-event-id': String(listVersions(body).length)});

	/** Takes a stream up until it goes on; returns the versions of its events. */
	const takeUpUntilServed = async (edge: string, first: EdgeAnswer) => {
		const versions = listVersions(first.body);
		const until = fleet.clock.monotonic() + takeUpMs;
		while (fleet.clock.monotonic() < until) {
			const second = await takeUp(edge, first);
			if (second.status === 200) {
				return [...versions, ...listVersions(second.body, versions.length + 1)];
			}

			await fleet.clock.sleep(retryMs);
		}

		return versions;
	};

	const play = async ({isFrozen, leads}: {isFrozen: boolean; leads: boolean}) => {
		const leader = await fleet.findLeader();
		const edge = leads ? leader : 'edge-4';
		const others = fleet.edges.map(({name}) => name).filter(name => name !== edge);
		for (const number of [1, 2]) {
			await fleet.addServer(others[0]!, {id: `old-${number}`, version: 'v1'});
		}

		await fleet.waitForServers(edge, ['old-1', 'old-2']);
		await Promise.all([edge, ...others].map(async name => fleet.send(name, '/talk/x')));
		const endOutOfStep = isFrozen ? fleet.freeze(edge) : fleet.cut(edge);
		const until = fleet.clock.monotonic() + outOfStepMs;
		const streams: EdgeAnswer[] = [];
		const joined = await Promise.all([1, 2, 3].map(async number => fleet.addServer(others[number % others.length]!, {id: `new-${number}`, version: 'v2'})));
		while (!streams.some(({body}) => listVersions(body).includes('v2'))) {
			streams.push(...await begin(others));
		}

		await fleet.crashServer(joined[0]!);
		const during = streams.map(async first => takeUpUntilServed(edge, first));
		await fleet.clock.sleep(Math.max(0, until - fleet.clock.monotonic()));
		endOutOfStep();
		const after = streams.map(async first => takeUpUntilServed(edge, first));
		const results = await Promise.all([...during, ...after]);
		for (const versions of results) {
			expect(new Set(versions).size).to.equal(1);
		}

		// Not refused for good either.
		expect(results.filter(versions => versions.length === 4).length).to.be.at.least(results.length / 2);
	};

	for (const isFrozen of [true, false]) {
		for (const leads of [true, false]) {
			it(`continues streams at their version only when it ${leads ? 'led the core' : 'is no member of the core'} and ${isFrozen ? 'stood still' : 'was cut off'}`, async () => {
				await play({isFrozen, leads});
			});
		}
	}

	// An edge that had not heard of a restart recorded the version of the start before; while it stood still, nothing corrected the record.
	it('does not leave a wrong version behind when it stands still after a server has started anew with another version', async () => {
		const leader = await fleet.findLeader();
		const [told, ...rest] = fleet.edges.map(({name}) => name).filter(name => name !== leader && name !== 'edge-4');
		expect(rest.length).to.equal(1);
		const old = await fleet.addServer(told!, {id: 'anew', version: 'v1', startedAt: Date.now()});
		const servers = [{id: 'v1-2', version: 'v1'}, {id: 'v2-1', version: 'v2'}, {id: 'v2-2', version: 'v2'}];
		await Promise.all(servers.map(async server => fleet.addServer(told!, server)));
		for (const edge of ['edge-4', leader]) {
			await fleet.waitForServers(edge, ['anew', 'v1-2', 'v2-1', 'v2-2']);
		}

		await Promise.all(Array.from({length: 20}, async () => fleet.send('edge-4', '/talk/x')));
		const heal = fleet.cut('edge-4', [told!]);
		await fleet.crashServer(old);
		await fleet.addServer(told!, {
			id: 'anew', version: 'v2', startedAt: Date.now(), eventMs: 1500,
		}, {address: old.address});
		await fleet.clock.sleep(500);
		// Those at other servers have ended by then; these still run when their edge stands still, and their callers leave.
		const begun = Array.from({length: streamCount}, async () => fleet.send('edge-4', '/talk/x', {}, 900));
		await fleet.clock.sleep(600);
		const thaw = fleet.freeze('edge-4');
		const streams = (await Promise.all(begun)).filter(({body}) => listVersions(body).length === 1);
		expect(streams.length).to.be.greaterThan(0);
		const results = await Promise.all(streams.map(async first => takeUpUntilServed(leader, first)));
		thaw();
		heal();
		for (const versions of results) {
			expect(new Set(versions).size).to.equal(1);
		}
	});
});
