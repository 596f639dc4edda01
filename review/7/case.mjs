/* eslint-disable no-await-in-loop -- Scripts that run step by step, outside the product. */
/** A machine of the core is replaced in order; right after the old one has gone, another one loses its disk. */
import {fileURLToPath} from 'node:url';
import {
	bounds, createConfiguration, runCase, sleep,
} from '../common-2/fleet.mjs';

const catchUpMs = bounds['catch-up-s'] * 1000;

await runCase(fileURLToPath(new URL('.', import.meta.url)), {}, async (fleet, isTroubled) => {
	await fleet.prepare(['edge-1', 'edge-2', 'edge-3', 'edge-4'], ['edge-1', 'edge-2', 'edge-3']);
	for (const name of ['edge-1', 'edge-2', 'edge-3']) {
		fleet.start(name, {isFirst: true});
	}

	if (await fleet.put(createConfiguration(3, 16)) !== 200) {
		throw new Error('the first configuration was not acknowledged');
	}

	await sleep(3000);
	// The new machine first. It has had its time to catch up, twice over, before the old one goes.
	fleet.start('edge-4');
	await sleep(2 * catchUpMs);
	if (await fleet.put(createConfiguration(7, 17)) !== 200) {
		throw new Error('a configuration was not acknowledged before the replacement');
	}

	await fleet.signal('edge-1', 'SIGTERM');
	if (isTroubled) {
		// One machine of those that count is lost; the replaced one does not count any more.
		await sleep(500);
		await fleet.signal('edge-2', 'SIGKILL');
		fleet.wipeDisk('edge-2');
		await sleep(1000);
		fleet.start('edge-2');
	}

	await sleep(bounds['recovery-s'] * 1000);
	const version = await fleet.readBack(20_000);
	for (const name of fleet.running) {
		const state = await fleet.state(name);
		const {status} = state?.configuration.core ?? {};
		fleet.record.write(`${name}: role ${status?.role}, leader ${status?.leader ?? 'none'}, voters ${status?.members.filter(member => member.voter).map(member => member.address).join(' ')}, last index ${status?.lastIndex}, commit index ${status?.commitIndex}`);
	}

	return version === 7 ? undefined : `version 7 was acknowledged, and ${version === undefined ? 'no configuration' : `version ${version}`} is read back`;
});
