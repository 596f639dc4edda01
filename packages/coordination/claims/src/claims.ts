/**
 * Claims of calls that must not be repeated. A claim is opened before the first byte goes to the service and settled once
 * the outcome is known. A claim whose outcome was lost stays `may-have-run` until it expires and is never run again.
 * The table is deterministic, so that it can stand in a replicated state machine.
 */
import {createHash} from 'node:crypto';
import type {
	Claim, ClaimReply, ClaimRequest, ClaimSettlement,
} from '@hickorytrack/types/claim';

const msPerSecond = 1000;
/** A larger answer is not kept; a resend then learns that the call ran. */
export const maximumRetainedAnswerBytes = 256 * 1024;

/** Number of groups that claims are divided among. */
export const claimGroupCount = 1;

/** Returns the group of replicas that keeps the claim. */
export function computeClaimGroup(workspace: string, key: string, groups = claimGroupCount): number {
	const digest = createHash('sha256').update(JSON.stringify([workspace, key])).digest();
	return digest.readUInt32BE(0) % groups;
}

const createName = (workspace: string, key: string): string => JSON.stringify([workspace, key]);

export class ClaimTable {
	#claims = new Map<string, Claim>();

	get size(): number {
		return this.#claims.size;
	}

	read(workspace: string, key: string): Claim | undefined {
		return this.#claims.get(createName(workspace, key));
	}

	/**
	 * Opens a claim. A claim that is there already is returned instead, unless it is confirmed as not run: then the new
	 * attempt takes it over. Another body under the same key is a conflict.
	 */
	open(request: ClaimRequest, at: number): ClaimReply {
		const held = this.read(request.workspace, request.key);
		if (held && held.expiresAt > at) {
			if (held.bodyDigest !== request.bodyDigest) {
				return {granted: false, conflict: true, claim: held};
			}

			if (held.attempt === request.attempt) {
				return {granted: held.state === 'open', conflict: false, claim: held};
			}

			if (held.state !== 'not-run') {
				return {granted: false, conflict: false, claim: held};
			}
		}

		const {retentionSeconds, ...rest} = request;
		const claim: Claim = {
			...rest, state: 'open', attemptNumber: (held?.attemptNumber ?? 0) + 1, openedAt: at, expiresAt: at + (retentionSeconds * msPerSecond),
		};
		this.#claims.set(createName(request.workspace, request.key), claim);
		return {granted: true, claim};
	}

	/**
	 * Settles an open claim. Only the attempt that holds it can, and a settled claim keeps its outcome, with one exception:
	 * an answer that arrives late replaces `may-have-run`, because it says more.
	 */
	settle(settlement: ClaimSettlement): Claim | undefined {
		const held = this.read(settlement.workspace, settlement.key);
		if (held?.attempt !== settlement.attempt) {
			return held;
		}

		const isLateAnswer = held.state === 'may-have-run' && settlement.state === 'answered';
		if (held.state !== 'open' && !isLateAnswer) {
			return held;
		}

		const isKept = settlement.answer !== undefined && settlement.answer.body.length <= maximumRetainedAnswerBytes;
		const settled: Claim = {...held, state: settlement.state, ...(isKept && {answer: settlement.answer})};
		this.#claims.set(createName(settlement.workspace, settlement.key), settled);
		return settled;
	}

	/** Tells whether any claim's retention has ended. */
	hasExpired(at: number): boolean {
		for (const claim of this.#claims.values()) {
			if (claim.expiresAt <= at) {
				return true;
			}
		}

		return false;
	}

	/** Forgets the claims whose retention has ended. */
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
		this.#claims = new Map(claims.map(claim => [createName(claim.workspace, claim.key), claim]));
	}
}
