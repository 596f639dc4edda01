/** The parts of the callers' prompts, one of which crashes each server that begins to write an answer to it. */
import type {Random} from '@hickorytrack/random';
import type {OutcomeRecord} from './records.js';

export const crashingPartFault = 'crashing-part';
/** Answer in the records of a server that a part has crashed. */
export const partCrash = 'part-crash';
const crashingPart = 'bad0';
const crashingFraction = 0.08;
const heads = 3;
const topics = 40;
const partTokens = 10;

/** Creates the parts of a prompt; the last one is its own. */
export function createPromptParts(random: Random, {key, tokens, faults}: {key: string; tokens: number; faults: ReadonlySet<string>}): string {
	const isCrashing = faults.has(crashingPartFault) && random.next() < crashingFraction;
	const shared = [`a${random.nextInteger(heads)}`, ...(isCrashing ? [crashingPart] : []), `b${random.nextInteger(topics)}`];
	return [...shared.map(part => `${part}:${partTokens}`), `${key}:${tokens - (shared.length * partTokens)}`].join(',');
}

/** Times at which servers have recorded a crash of theirs, by the names that `formatStart` gives to their starts. */
export function collectCrashTimes(outcomes: readonly OutcomeRecord[]): ReadonlyMap<string, number> {
	return new Map(outcomes.filter(({answer}) => answer === partCrash || answer === 'crash' || answer === 'exit').map(outcome => [formatStart(outcome), outcome.at]));
}

export function formatStart({server, startedAt}: Pick<OutcomeRecord, 'server' | 'startedAt'>): string {
	return `${server}/${startedAt}`;
}

export function hasCrashingPart(prompt: string | undefined): boolean {
	return prompt?.split(',').some(part => part.startsWith(`${crashingPart}:`)) ?? false;
}
