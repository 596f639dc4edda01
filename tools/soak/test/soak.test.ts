import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {expect} from 'chai';
import {SystemClock} from '@hickorytrack/clock/system-clock';
import {allFaults} from '../src/faults.js';
import {runSoak} from '../src/soak-run.js';

describe('soak', function () {
	this.timeout(240_000);

	// Late answers were taken for those of other requests: streams went on from foreign handles, and requests that ran were refused.
	it('breaks no rule with real processes under all faults', async () => {
		const folder = await mkdtemp(path.join(tmpdir(), 'hickorytrack-soak-'));
		const {cases, summary} = await runSoak({
			clock: new SystemClock(), seed: 7, seconds: 20, edges: 3, servers: 6, callers: 24, faults: allFaults, folder,
		});
		expect(cases, `records and logs: ${folder}`).to.deep.equal([]);
		expect(summary.served).to.be.greaterThan(0);
		await rm(folder, {recursive: true});
	});
});
