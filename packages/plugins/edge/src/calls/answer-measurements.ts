/**
 * What the answers to forwarded requests tell about the servers: which prompts they hold now, how fast they prefill, how long
 * a hand-over takes and for how long a slot is held.
 */
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import type {EngineProfile, PrefillSample} from '@hickorytrack/engine-profile';
import type {ServerLoad} from '@hickorytrack/prompt-placement/load-tracker';
import type {PrefixCacheIndex} from '@hickorytrack/prompt-placement/prefix-cache-index';
import type {Prompt} from '@hickorytrack/prompt-placement/prompt';
import type {PrefillTiming} from '@hickorytrack/types/peer-methods';
import type {ServerHealth} from './server-health.js';

export type AnswerMeasurementsOptions = {
	cacheIndex: PrefixCacheIndex;
	profile: EngineProfile;
	health: ServerHealth;
};

export class AnswerMeasurements {
	readonly #opts: AnswerMeasurementsOptions;

	constructor(opts: AnswerMeasurementsOptions) {
		this.#opts = opts;
	}

	/** Records that a prefill server has prefilled a prompt. `queuedTokens` waited there when the request was sent. */
	recordPrefill(server: KnownServer, {prompt, queuedTokens, prefillTokens, elapsedMs}: {prompt: Prompt; queuedTokens: number; prefillTokens: number; elapsedMs: number}): void {
		this.#recordSample(server, prompt, {tokens: queuedTokens + prefillTokens, elapsedMs, isIdle: queuedTokens === 0});
	}

	/**
	 * Records the first byte of an answer. `load` is that of the server when the request was sent; a request that had to wait
	 * for a slot measures nothing. `prefillTokens` is 0 after a hand-over.
	 */
	recordFirstByte(server: KnownServer, {prompt, load, prefillTokens, elapsedMs}: {prompt: Prompt; load: ServerLoad; prefillTokens: number; elapsedMs: number}): void {
		const {cacheIndex, profile, health} = this.#opts;
		health.recordSignOfLife(server);
		const hadFreeSlot = load.requests < server.slots;
		if (prefillTokens > 0 && hadFreeSlot) {
			this.#recordSample(server, prompt, {tokens: load.promptTokens + prefillTokens, elapsedMs, isIdle: load.requests === 0});
			return;
		}

		cacheIndex.recordPrompt(server, prompt.parts);
		if (prefillTokens === 0 && hadFreeSlot && load.promptTokens === 0) {
			profile.recordHandOver(server, {tokens: prompt.tokens, elapsedMs, isIdle: load.requests === 0});
		}
	}

	/** Records the end of a complete answer, which held its slot for this time after the first byte. */
	recordEnd(server: KnownServer, {isStream, holdMs}: {isStream: boolean; holdMs: number}): void {
		this.#opts.profile.recordHold(server.service, {isStream, elapsedMs: holdMs});
	}

	#recordSample(server: KnownServer, prompt: Prompt, sample: PrefillSample): void {
		const {cacheIndex, profile} = this.#opts;
		cacheIndex.recordPrompt(server, prompt.parts, encodeTiming(sample));
		profile.record(server, sample);
	}
}

function encodeTiming({tokens, elapsedMs, isIdle}: PrefillSample): PrefillTiming {
	return [tokens, Math.round(elapsedMs), isIdle];
}
