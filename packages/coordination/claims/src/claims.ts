/**
 * Claims for non-idempotent calls. A claim records that one attempt may make the call. It is opened before the first
 * byte is sent to the service and settled once the outcome is known. A claim whose outcome is unknown stays in the state
 * `may-have-run` until it expires; its call is never run again. The table is deterministic, so it can be part of a
 * replicated state machine.
 */
import {createHash} from 'node:crypto';
import type {
	Claim, ClaimReply, ClaimRequest, ClaimSettlement,
} from '@hickorytrack/types/claim';

const msPerSecond = 1000;
/** Larger answers are not retained; a retry of such a call learns only that the call ran. */
export const maximumRetainedAnswerBytes = 256 * 1024;

/** Number of replica groups that claims are partitioned over. */
export const claimGroupCount = 1;

/** Returns the index of the replica group that stores the claim. */
export function computeClaimGroup(workspace: string, key: string, groupCount = claimGroupCount): number {
	const digest = createHash('sha256').update(JSON.stringify([workspace, key])).digest();
	return digest.readUInt32BE(0) % groupCount;
}

const encodeClaimKey = (workspace: string, key: string): string => JSON.stringify([workspace, key]);

export class ClaimTable {
	#claims = new Map<string, Claim>();

	get size(): number {
		return this.#claims.size;
	}

	read(workspace: string, key: string): Claim | undefined {
		return this.#claims.get(encodeClaimKey(workspace, key));
	}

	/**
	 * Opens a claim. If an unexpired claim with this key exists, it is returned instead, unless its call is confirmed as not
	 * run: then the new attempt takes the claim over. The same key with a different body is a conflict.
	 */
	open(request: ClaimRequest, at: number): ClaimReply {
		const existing = this.read(request.workspace, request.key);
		if (existing && existing.expiresAt > at) {
			if (existing.bodyDigest !== request.bodyDigest) {
				return {granted: false, conflict: true, claim: existing};
			}

			if (existing.attempt === request.attempt) {
				return {granted: existing.state === 'open', conflict: false, claim: existing};
			}

			if (existing.state !== 'not-run') {
				return {granted: false, conflict: false, claim: existing};
			}
		}

		const {retentionSeconds, ...rest} = request;
		const claim: Claim = {
			...rest, state: 'open', attemptNumber: (existing?.attemptNumber ?? 0) + 1, openedAt: at, expiresAt: at + (retentionSeconds * msPerSecond),
		};
		this.#claims.set(encodeClaimKey(request.workspace, request.key), claim);
		return {granted: true, claim};
	}

	/**
	 * Settles an open claim. Only the attempt that holds the claim can settle it. A settled claim keeps its outcome, except
	 * that a late answer replaces `may-have-run`, because an answer resolves the uncertainty.
	 */
	settle(settlement: ClaimSettlement): Claim | undefined {
		const existing = this.read(settlement.workspace, settlement.key);
		if (existing?.attempt !== settlement.attempt) {
			return existing;
		}

		const isLateAnswer = existing.state === 'may-have-run' && settlement.state === 'answered';
		if (existing.state !== 'open' && !isLateAnswer) {
			return existing;
		}

		const isAnswerRetained = settlement.answer !== undefined && settlement.answer.body.length <= maximumRetainedAnswerBytes;
		const settled: Claim = {...existing, state: settlement.state, ...(isAnswerRetained && {answer: settlement.answer})};
		this.#claims.set(encodeClaimKey(settlement.workspace, settlement.key), settled);
		return settled;
	}

	/** Tells whether the retention period of any claim has ended. */
	hasExpired(at: number): boolean {
		for (const claim of this.#claims.values()) {
			if (claim.expiresAt <= at) {
				return true;
			}
		}

		return false;
	}

	/** Removes the claims whose retention period has ended and returns their number. */
	expire(at: number): number {
		let count = 0;
		for (const [name, claim] of this.#claims) {
			if (claim.expiresAt <= at) {
				this.#claims.delete(name);
				count++;
			}
		}

		return count;
	}

	dump(): Claim[] {
		return structuredClone([...this.#claims.values()]);
	}

	restore(claims: readonly Claim[]): void {
		this.#claims = new Map(claims.map(claim => [encodeClaimKey(claim.workspace, claim.key), claim]));
	}
}
