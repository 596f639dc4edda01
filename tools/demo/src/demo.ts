/**
 * The demo: starts Cuenca's fleet on loopback, applies contracts with the command-line client, sends real text, and drains
 * one engine while streams run. It ends with a table per workspace. It exits with 0 only if no response was cut or wrong,
 * no dispatch was executed more than once, each pair of dispatch responses was equal, and the drain succeeded.
 */
import {randomUUID} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {build} from 'hdr-histogram-js';
import {request} from 'undici';
import {SystemClock} from '@hickorytrack/clock/system-clock';
import {Fleet} from '@hickorytrack/stand-ins/fleet';
import {requestGeneration, callService, type GenerationRecord} from '@hickorytrack/stand-ins/load-generator';

const clock = new SystemClock();
const basePort = 17_000;
const trafficDurationMs = 20_000;
const reportIntervalMs = 110;
const questionIntervalMs = 60;
const dispatchIntervalMs = 250;
const drainDelayMs = 5000;
const root = new URL('../../../../', import.meta.url);

const places = ['the chapel in El Vado', 'the school on Calle Larga', 'a shop shutter in Totoracocha', 'the bridge over the Tomebamba', 'a house in San Sebastian', 'the market hall of El Ejido'];
const questions = ['Which layer holds the load-bearing walls?', 'Classify the part: hollow section, 60 by 40, two holes.', 'Does the markup on sheet A-104 contradict sheet S-201?', 'List the layers that changed since revision C.'];

type Tally = {
	workspace: string;
	answered: number;
	refused: number;
	cut: number;
	wrong: number;
	firstToken: ReturnType<typeof build>;
	betweenTokens: ReturnType<typeof build>;
};

const createTally = (workspace: string): Tally => ({
	workspace, answered: 0, refused: 0, cut: 0, wrong: 0, firstToken: build(), betweenTokens: build(),
});

function recordResult(tally: Tally, record: GenerationRecord): void {
	tally[record.outcome]++;
	if (record.firstTokenMs !== undefined) {
		tally.firstToken.recordValue(record.firstTokenMs);
	}

	if (record.betweenTokensMs !== undefined) {
		tally.betweenTokens.recordValue(record.betweenTokensMs);
	}
}

/** Starts a task every `intervalMs` for the duration of the traffic and waits until all tasks have ended. */
async function runAtInterval(intervalMs: number, task: (index: number) => Promise<void>): Promise<void> {
	const deadline = clock.monotonic() + trafficDurationMs;
	const pending: Array<Promise<void>> = [];
	for (let index = 0; clock.monotonic() < deadline; index++) {
		pending.push(task(index));
		await clock.sleep(intervalMs);
	}

	await Promise.all(pending);
}

async function sendDispatch(fleet: Fleet, index: number): Promise<'ok' | 'failed'> {
	const key = randomUUID();
	const call = {
		key: 'cuenca-demo-key', service: 'dispatch', method: 'POST', path: '/sheets', body: JSON.stringify({sheet: key, place: places[index % places.length]}), idempotencyKey: key,
	};
	// Every dispatch is sent twice with one idempotency key, through two entries at once, like a retry after a lost response.
	const urls = [0, 1].map(offset => fleet.instances[(index + offset) % fleet.instances.length]!.callerUrl);
	const records = await Promise.all(urls.map(async url => callService({...call, url})));
	const bodies = new Set(records.map(record => record.body));
	return records.every(record => record.status === 200) && bodies.size === 1 ? 'ok' : 'failed';
}

async function countDuplicates(fleet: Fleet): Promise<{executedCount: number; duplicateCount: number}> {
	const callCounts = new Map<string, number>();
	for (const agent of fleet.agents.filter(member => member.name.startsWith('dispatch'))) {
		const response = await request(`${agent.engineUrl}/ledger`);
		const {calls} = await response.body.json() as {calls: Array<{body: string; method: string}>};
		for (const call of calls.filter(candidate => candidate.method === 'POST')) {
			callCounts.set(call.body, (callCounts.get(call.body) ?? 0) + 1);
		}
	}

	return {executedCount: callCounts.size, duplicateCount: [...callCounts.values()].filter(count => count > 1).length};
}

function printTable(tallies: readonly Tally[]): void {
	console.log('\nworkspace    answered  refused  cut  wrong  first token p50/p95 ms  between tokens p95 ms');
	for (const tally of tallies) {
		const first = `${tally.firstToken.getValueAtPercentile(50)}/${tally.firstToken.getValueAtPercentile(95)}`;
		console.log(`${tally.workspace.padEnd(10)}${String(tally.answered).padEnd(10)}${String(tally.refused).padEnd(9)}${String(tally.cut).padEnd(5)}${String(tally.wrong).padEnd(7)}${first.padEnd(24)}${tally.betweenTokens.getValueAtPercentile(95)}`);
	}
}

async function applyContracts(fleet: Fleet): Promise<void> {
	for (const workspace of ['cuenca', 'maraval']) {
		const file = fileURLToPath(new URL(`examples/contracts/${workspace}.yaml`, root));
		const result = await fleet.runCli('contract', 'apply', '-f', file, '--wait-seconds', '10');
		console.log(`contract of ${workspace}: ${result.output.trim().split('\n').at(-1)}`);
		if (result.code !== 0) {
			throw new Error(result.output);
		}
	}
}

async function runTraffic(fleet: Fleet): Promise<{tallies: Tally[]; failedDispatches: number; drainCode: number}> {
	const ordinance = await readFile(new URL('tools/demo/text/ordinance.txt', root), 'utf8');
	const cuenca = createTally('cuenca');
	const maraval = createTally('maraval');
	let failedDispatches = 0;
	let drainCode = -1;
	const getEntryUrl = (index: number) => fleet.instances[index % fleet.instances.length]!.callerUrl;
	const drain = async () => {
		await clock.sleep(drainDelayMs);
		const result = await fleet.runCli('endpoint', 'drain', 'engine-3', '--wait-seconds', '40');
		drainCode = result.code;
		console.log(`drain of engine-3 while streams run: ${result.output.trim().split('\n').at(-1)}`);
	};

	await Promise.all([
		runAtInterval(reportIntervalMs, async index => {
			const prompt = `${ordinance}\n\nReport ${index}: there is paint on ${places[index % places.length]!}. Is the wall public or private? Draft a short reply.`;
			recordResult(cuenca, await requestGeneration({
				clock, url: getEntryUrl(index), key: 'cuenca-demo-key', model: 'ordinance', api: 'chat', prompt, maxTokens: 120,
			}));
		}),
		runAtInterval(questionIntervalMs, async index => {
			const prompt = `Question ${index}: ${questions[index % questions.length]!}`;
			recordResult(maraval, await requestGeneration({
				clock, url: getEntryUrl(index), key: 'maraval-demo-key', model: 'drafting', prompt, maxTokens: 60, isStreamed: true,
			}));
		}),
		runAtInterval(dispatchIntervalMs, async index => {
			const outcome = await sendDispatch(fleet, index);
			failedDispatches += outcome === 'ok' ? 0 : 1;
		}),
		drain(),
	]);
	return {tallies: [cuenca, maraval], failedDispatches, drainCode};
}

async function main(): Promise<number> {
	const fleet = new Fleet({
		clock, basePort, zones: ['el-ejido', 'totoracocha', 'el-centro'], engines: 8, services: ['dispatch', 'dispatch', 'dispatch'],
	});
	try {
		console.log('starting 3 instances, 8 engines and 3 dispatch servers on loopback …');
		await fleet.start();
		await applyContracts(fleet);
		console.log(`sending reports, questions and dispatches for ${trafficDurationMs / 1000} s …`);
		const {tallies, failedDispatches, drainCode} = await runTraffic(fleet);
		const {executedCount, duplicateCount} = await countDuplicates(fleet);
		printTable(tallies);
		console.log(`dispatches: ${executedCount} executed, ${duplicateCount} executed more than once, ${failedDispatches} pairs without two equal successful responses`);
		const faultyCount = tallies.reduce((sum, tally) => sum + tally.cut + tally.wrong, 0);
		return faultyCount + duplicateCount + failedDispatches === 0 && drainCode === 0 ? 0 : 1;
	} finally {
		await fleet.stop();
	}
}

process.exitCode = await main();
