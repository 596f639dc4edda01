import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {expect} from 'chai';
import {SystemClock} from '@hickorytrack/clock/system-clock';
import {slowReaderFault} from '../src/caller.js';
import {allFaults} from '../src/faults.js';
import {unbornFault} from '../src/server-operations.js';
import {runSoak} from '../src/soak-run.js';
import {workspaceFaults} from '../src/workspaces.js';

describe('soak', function () {
	this.timeout(240_000);

	async function checkRun({seed, seconds, faults, servers = 10, callers = 24}: {seed: number; seconds: number; faults: readonly string[]; servers?: number; callers?: number}): Promise<Record<string, number>> {
		const folder = await mkdtemp(path.join(tmpdir(), 'hickorytrack-soak-'));
		const {cases, summary} = await runSoak({
			clock: new SystemClock(), seed, seconds, edges: 3, servers, callers, faults, folder,
		});
		expect(cases, `records and logs: ${folder}`).to.deep.equal([]);
		expect(summary.served).to.be.greaterThan(0);
		await rm(folder, {recursive: true});
		return summary;
	}

	// Late answers were taken for those of other requests: streams went on from foreign handles, and requests that ran were refused.
	it('breaks no rule with real processes under all faults', async () => {
		await checkRun({seed: 7, seconds: 20, faults: allFaults});
	});

	// Guards against streams of two starts or versions that are joined, and sound ones that are cut, where a server's status names no start.
	it('breaks no rule under all faults beside servers that do not say when they started', async () => {
		await checkRun({seed: 7, seconds: 20, faults: [...allFaults, unbornFault]});
	});

	// Requests that share a part of their prompt ended server after server.
	it('ends few servers over a part of prompts that crashes them', async () => {
		await checkRun({seed: 31, seconds: 18, faults: ['crashing-part', 'unframed', 'broken-off', 'term']});
	});

	// Streams were joined from the events of two versions, most of them when callers took them up after a kill of all edges.
	it('joins no stream from two versions while servers are released and all edges are killed', async () => {
		await checkRun({seed: 5, seconds: 14, faults: ['versions', 'broken-off', 'lost', 'kill-all', 'release']});
	});

	// Streams were cut half a second after their sound server fell silent.
	it('breaks no rule while servers fall silent beside changes and planned stops', async () => {
		await checkRun({seed: 23, seconds: 14, faults: ['hush', 'term']});
	});

	// Two servers worked on one stream for more than 400 ms, and streams hung when a silent server was heard again.
	it('leaves no two servers at work on a stream, and none without an end, beside slow reports and first tokens', async () => {
		await checkRun({
			seed: 7012, seconds: 12, faults: ['hush', 'slow-report', 'slow-token'], servers: 12, callers: 36,
		});
	});

	// Sound streams were cut when their server fell silent and the next one did not say in its status when it had started.
	it('cuts no stream whose server pauses, at servers that do not say when they started', async () => {
		await checkRun({
			seed: 9301, seconds: 8, faults: ['pause', 'unborn'], servers: 12, callers: 36,
		});
	});

	// A request was passed on behind an answer that then ended its connection, and got no answer.
	it('ends no request that was written behind another one and passed on', async () => {
		await checkRun({
			seed: 9501, seconds: 8, faults: ['pipeline', 'unframed'], servers: 12, callers: 36,
		});
	});

	// Half of a plain answer without a length looked complete behind the crash of its server.
	it('passes no half of a plain answer on as whole beside crashes', async () => {
		await checkRun({
			seed: 7203, seconds: 10, faults: ['exit', 'unframed'], servers: 12, callers: 36,
		});
	});

	// Connections that announced large bodies and frames, and did not end them, made an edge use more memory than its machine has.
	it('uses no more memory than a machine has beside control calls and frames that do not end', async () => {
		await checkRun({
			seed: 9801, seconds: 10, faults: ['flood'], servers: 12, callers: 36,
		});
	});

	// A server was reported at an address to which no connection can be opened, and the leader of the core ended by itself.
	it('ends no edge and fails no request beside foreign reports and configurations while leaders change', async () => {
		await checkRun({
			seed: 6301, seconds: 10, faults: ['foreign-writer', 'term', 'kill', 'freeze', 'kill-core'], servers: 12, callers: 36,
		});
	});

	// Guards against keys that servers see, removed keys that still run at an edge that was away, and usage that is reported twice or wrongly.
	it('runs no request with a removed key and reports usage once, while an edge is cut off and stopped and the infrastructure fails', async () => {
		const summary = await checkRun({
			seed: 104, seconds: 14, faults: [...Object.values(workspaceFaults), slowReaderFault],
		});
		expect([summary.unknownKeys, summary.checkedWindows].every(count => count! > 0), JSON.stringify(summary)).to.equal(true);
	});

	it('loses no configuration that was acknowledged right before all edges end', async () => {
		await checkRun({
			seed: 9812, seconds: 10, faults: ['kill-acknowledged'], servers: 12, callers: 36,
		});
	});
});
