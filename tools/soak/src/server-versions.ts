/** The software versions of the soak's servers: a server that starts has one of them, under the id that it had or a new one. */
import {Random} from '@hickorytrack/random';

export const versionsFault = 'versions';
const versions = ['v1', 'v2'] as const;

/** Spreads the seeds of servers; the first numbers of generators with small seeds are alike. */
const seedFactor = 2_654_435_761;

/** Creates the generator from which a server draws its versions; it does not disturb the other draws of a run. */
export function createVersionSeeds(serverIndex: number): Random {
	return new Random((serverIndex * seedFactor) % (2 ** 32));
}

/** Selects the version for the next start of a server. */
export function selectVersion(random: Random, {service, faults}: {service: string; faults: readonly string[]}): string {
	return `${service}/${faults.includes(versionsFault) ? random.select(versions) : versions[0]}`;
}
