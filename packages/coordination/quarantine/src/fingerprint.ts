/** Computes the fingerprint of a request from its workspace and its normalised body. */
import {createHash} from 'node:crypto';

const fingerprintHexDigits = 32;

/**
 * Bodies that differ only in the order of their fields, in white space around strings, or in `stream` and `user` fields have
 * the same fingerprint.
 */
export function computeFingerprint(workspace: string, body: unknown): string {
	const text = JSON.stringify([workspace, normalise(body)]);
	return createHash('sha256').update(text).digest('hex').slice(0, fingerprintHexDigits);
}

function normalise(value: unknown): unknown {
	if (Array.isArray(value)) {
		return value.map(element => normalise(element));
	}

	if (typeof value === 'object' && value !== null) {
		return Object.entries(value)
			.filter(([key]) => key !== 'stream' && key !== 'user')
			.sort(([a], [b]) => (a < b ? -1 : 1))
			.map(([key, inner]) => [key, normalise(inner)]);
	}

	return typeof value === 'string' ? value.trim() : value;
}
