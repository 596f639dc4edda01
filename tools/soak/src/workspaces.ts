/** What a run has with workspaces: their names, the keys that move between them, and the settings that edges and checks share. */
import type {Random} from '@hickorytrack/random';

export const workspaceFaults = {
	/** The configuration has workspaces. Callers send keys, also unknown and removed ones; the operator removes, moves and returns keys. */
	workspaces: 'workspaces',
	/** The infrastructure that takes reports of usage is down, slow or overloaded at times. Without workspaces it has no effect. */
	infrastructure: 'infrastructure',
} as const;

/** Times that the settings of the edges name, in milliseconds. */
export type WorkspaceBounds = {
	revocationMs: number;
	leaseMs: number;
	windowMs: number;
};

/** The least revocation time whose lease, 0.8 of it, is longer than 0.6 of it and one renewal is 2500 ms. */
export const workspaceBounds: WorkspaceBounds = {revocationMs: 3000, leaseMs: 2000, windowMs: 2000};

/** All keys contain this text and nothing else does, so that a key is found wherever it turns up. */
export const keyMark = 'soak-key-';
const workspaces = ['w1', 'w2', 'w3'] as const;
const keyCount = 12;
export const keys: readonly string[] = Array.from({length: keyCount}, (_, index) => `${keyMark}${index}`);
const moveFraction = 0.3;
const meanKeyChangeMs = 2500;
const firstKeyChangeMs = 3000;
const lastKeyChangeMs = 1000;
const unknownFraction = 0.05;
const missingFraction = 0.05;

/** Workspaces by the keys that they hold. */
export class KeyOwners {
	readonly #random: Random;
	readonly #owners = new Map(keys.map((key, index) => [key, workspaces[index % workspaces.length]!]));

	constructor(random: Random) {
		this.#random = random;
	}

	/** Removes a key, moves it to another workspace, or returns one that was removed. */
	change(): void {
		const key = this.#random.select(keys);
		const owner = this.#owners.get(key);
		if (owner !== undefined && this.#random.next() >= moveFraction) {
			this.#owners.delete(key);
		} else {
			this.#owners.set(key, this.#random.select(workspaces.filter(name => name !== owner)));
		}
	}

	list(): Record<string, string> {
		return Object.fromEntries(this.#owners);
	}
}

/** Times of the operator's changes of keys. */
export function createKeyTimes(random: Random, seconds: number): number[] {
	const times: number[] = [];
	for (let atMs = firstKeyChangeMs; atMs < (seconds * 1000) - lastKeyChangeMs; atMs += random.nextExponential(meanKeyChangeMs)) {
		times.push(Math.round(atMs));
	}

	return times;
}

/** Encodes owners of keys as the configuration has them. */
export function encodeWorkspaces(owners: Readonly<Record<string, string>>): unknown[] {
	return workspaces.map((name, priority) => ({name, 'api-keys': Object.keys(owners).filter(key => owners[key] === name), priority}));
}

/** Draws the key of a request, which may be unknown or removed; undefined for a request without one. */
export function drawKey(random: Random): string | undefined {
	const value = random.next();
	if (value < missingFraction) {
		return undefined;
	}

	return value < missingFraction + unknownFraction ? `${keyMark}unknown-${random.nextInteger(keyCount)}` : random.select(keys);
}
