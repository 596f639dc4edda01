/* eslint-disable no-await-in-loop, unicorn/no-process-exit, unicorn/no-await-expression-member -- Scripts that run step by step, outside the product. */
/**
 * A planned replacement of a core machine with a freeze of another one in the middle, then the loss of one disk. Each
 * machine has had its time to catch up before the next one is lost, so no more than one is lost at once.
 */
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {
	call, Fleet, putConfiguration, readState, Record, sleep, waitForReady,
} from '../common/fleet.mjs';

const folder = fileURLToPath(new URL('.', import.meta.url));
/** `0`: no disruption. `disk`: only the disk is lost. Otherwise the freeze comes as well. */
const trouble = process.env.TROUBLE ?? '1';
const hasFreeze = trouble !== '0' && trouble !== 'disk';
const hasDiskLoss = trouble !== '0';

const freezeMs = 3500;
const catchUpMs = 4000;
const downMs = 3000;
const contactMs = 3000;
const recoveryMs = 12_000;
const marginMs = 1000;

const createConfiguration = version => ({
	version,
	routes: [{
		name: 'r-1', host: 'ficu95.example', 'path-prefix': '/pufi791/', kind: 'idempotent', 'timeout-ms': 1500 + version, 'slo-ms': 386, priority: 2, service: 'wuno96b', 'max-attempts': 2, sticky: false, resumable: false,
	}],
	services: [{
		name: 'wuno96b', 'health-path': '/healthz', 'max-conns': 120, protocol: 'h1', tls: false,
	}],
	limits: {
		'max-header-bytes': 16_384, 'max-body-bytes': 4_194_304, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000,
	},
});

const record = new Record(path.join(folder, 'record.txt'));
const fleet = await Fleet.open(record);

/** What the members of the core say of themselves, for the record only. */
async function recordMembers(names) {
	for (const name of names) {
		const status = (await readState(fleet, name))?.configuration?.core?.status;
		const nameOf = id => fleet.machines.find(({ip}) => id.startsWith(`${ip}:`))?.name ?? id;
		record.add(`${name} counts as members: ${(status?.members ?? []).map(({id, voter}) => `${nameOf(id)}${voter ? '' : ' (learner)'}`).join(', ')}; role ${status?.role}, term ${status?.term}`);
	}
}

async function run() {
	for (const [index, name] of ['a', 'b', 'c', 'd'].entries()) {
		fleet.define(name, {number: index + 1, zone: ['chaguanas-a', 'tunapuna-b', 'arima-c', 'tunapuna-b'][index], bearsLoss: true});
	}

	fleet.setSeeds(['a', 'b', 'c']);
	for (const name of ['a', 'b', 'c']) {
		fleet.start(name, {isFirstStart: true});
	}

	if (!await putConfiguration(fleet, ['a', 'b', 'c'], createConfiguration(3), {forMs: 20_000}) || !await waitForReady(fleet, ['a', 'b', 'c'], 20_000)) {
		record.say('the system did not start');
		return 2;
	}

	record.say('planned replacement of b: its successor d starts, with an empty disk');
	fleet.start('d');
	if (!await waitForReady(fleet, ['d'], 20_000)) {
		record.say('d did not get ready');
		return 2;
	}

	await sleep(catchUpMs + marginMs);
	await recordMembers(['a', 'b', 'c', 'd']);

	if (hasFreeze) {
		record.say(`c stands still for ${freezeMs} ms`);
		fleet.signal('c', 'SIGSTOP');
		await sleep(freezeMs);
		fleet.signal('c', 'SIGCONT');
	}

	await sleep(catchUpMs + contactMs + marginMs);
	await recordMembers(['a', 'b', 'c', 'd']);

	record.say('b gets SIGTERM and leaves for good; its successor has had its time');
	await fleet.stop('b');
	await sleep(catchUpMs + marginMs);
	if (!await putConfiguration(fleet, ['a', 'c', 'd'], createConfiguration(7), {forMs: 10_000})) {
		record.say('version 7 was not acknowledged before the loss of the disk');
		return 2;
	}

	if (hasDiskLoss) {
		record.say('right after the acknowledgement of version 7, a loses its disk');
		await fleet.kill('a');
		fleet.wipe('a');
		await sleep(downMs);
		fleet.start('a');
	}

	await sleep(recoveryMs);
	await recordMembers(['a', 'c', 'd']);

	// The operator reads for longer than `contact-ms`, at all machines in turn.
	record.say('the operator reads the configuration back');
	let newest;
	const until = performance.now() + (4 * contactMs);
	for (let tries = 0; performance.now() < until && newest === undefined; tries++) {
		const name = ['a', 'c', 'd'][tries % 3];
		const {status, body} = await call(`${fleet.controlOf(name)}/api/Config.Get`);
		record.add(`operator: Config.Get from ${name}: ${status} ${body.slice(0, 100)}`);
		if (status === 200) {
			newest = JSON.parse(body).version;
		} else {
			await sleep(300);
		}
	}

	const isTaken = await putConfiguration(fleet, ['a', 'c', 'd'], createConfiguration(12), {forMs: 8000});
	record.say(`version 12 is ${isTaken ? 'acknowledged' : 'not acknowledged within 8 s'}`);
	if (newest === 7) {
		record.say('HELD: version 7 was read back');
		return 0;
	}

	record.say(newest === undefined ? 'BROKEN: CONFIG: the acknowledged configuration, version 7, does not come' : `BROKEN: CONFIG: version ${newest} was read back, version 7 had been acknowledged`);
	return 1;
}

let code = 2;
try {
	code = await run();
} catch (error) {
	record.say(`the case could not run: ${error.stack}`);
} finally {
	await fleet.close();
}

process.exit(code);
