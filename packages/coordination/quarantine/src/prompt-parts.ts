/** Digests of the parts of a prompt that other requests of the workspace may share, for the quarantine of a part. */
import {createHash} from 'node:crypto';

const partHexDigits = 16;
const maxParts = 32;

/**
 * Returns a digest for each message of a chat but the last one, which is the request's own. A prompt without messages is given
 * as the chained digests of its beginnings.
 */
export function computePromptParts(workspace: string, {model, body, prefixes}: {model: string; body: Readonly<Record<string, unknown>>; prefixes: readonly string[]}): string[] {
	const parts = Array.isArray(body.messages) ? body.messages.slice(0, -1).map(message => JSON.stringify(message)) : prefixes;
	return parts.slice(0, maxParts).map(part => createHash('sha256').update(JSON.stringify([workspace, model, part])).digest('hex').slice(0, partHexDigits));
}
