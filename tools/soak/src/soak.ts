/**
 * `npm run soak -- --seed N --seconds S [--seeds COUNT] [--edges N] [--servers N] [--callers N] [--faults LIST] [--folder PATH] [--keep]`: runs
 * the soak for COUNT seeds from N and prints the cases of broken rules. A failing seed, or each one with `--keep`, leaves
 * its records and logs in its folder.
 */
import {rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {SystemClock} from '@hickorytrack/clock/system-clock';
import {collectByKey} from './collect-by-key.js';
import {allFaults, listedFaults} from './faults.js';
import {runSoak} from './soak-run.js';

const shownCasesByRule = 5;
const {values} = parseArgs({
	options: {
		seed: {type: 'string', default: '1'}, seeds: {type: 'string', default: '1'}, seconds: {type: 'string', default: '30'}, edges: {type: 'string', default: '3'}, servers: {type: 'string', default: '10'}, callers: {type: 'string', default: '36'}, keep: {type: 'boolean', default: false}, faults: {type: 'string', default: allFaults.join(',')}, folder: {type: 'string', default: path.join(tmpdir(), 'hickorytrack-soak')},
	},
});
const faults = values.faults.split(',').filter(fault => fault !== '');
const knownFaults = [...allFaults, ...listedFaults];
const unknownFaults = faults.filter(fault => !knownFaults.includes(fault));
if (unknownFaults.length > 0) {
	throw new TypeError(`Unknown faults ${unknownFaults.join(', ')}; expected some of ${knownFaults.join(', ')}`);
}

for (const signal of ['SIGINT', 'SIGTERM'] as const) {
	process.once(signal, () => {
		process.exit(1);
	});
}

let failedSeeds = 0;
for (let seed = Number(values.seed); seed < Number(values.seed) + Number(values.seeds); seed++) {
	const folder = path.join(values.folder, `seed-${seed}`);
	await rm(folder, {recursive: true, force: true});
	const {cases, summary} = await runSoak({
		clock: new SystemClock(), seed, seconds: Number(values.seconds), edges: Number(values.edges), servers: Number(values.servers), callers: Number(values.callers), faults, folder,
	});
	const casesByRule = collectByKey(cases, ({rule}) => rule);
	const counts = Object.fromEntries([...casesByRule].map(([rule, list]) => [rule, list.length]));
	console.log(JSON.stringify({
		seed, seconds: Number(values.seconds), verdict: cases.length === 0 ? 'kept' : 'broken', ...counts, ...summary,
	}));
	for (const {rule, requestId, detail} of [...casesByRule.values()].flatMap(list => list.slice(0, shownCasesByRule))) {
		console.log(`  ${rule} ${requestId ?? ''} ${detail}`);
	}

	if (cases.length > 0) {
		failedSeeds++;
		console.log(`  records and logs: ${folder}`);
	} else if (!values.keep) {
		await rm(folder, {recursive: true, force: true});
	}
}

process.exit(failedSeeds > 0 ? 1 : 0); // eslint-disable-line unicorn/no-process-exit
