/**
 * Mutual authentication of two processes by a shared key. Each side proves that it holds the key with an HMAC over both
 * nonces and both names; the direction is part of the text, so that a proof can't be sent back to its maker. Two keys
 * may be valid at once, so that a key can be rotated: the accepting side offers a proof for each, and the other side
 * answers with the one they share.
 */
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import {Buffer} from 'node:buffer';
import type {PeerMember} from '@hickorytrack/types/peer-methods';

export const protocolVersion = 1;
const nonceBytes = 16;

export type HelloMessage = {
	protocol: number;
	member: PeerMember;
	nonce: string;
};

export type WelcomeMessage = {
	protocol: number;
	member: PeerMember;
	nonce: string;
	proofs: string[];
};

export type ProofMessage = {
	proof: string;
};

export type ReadyMessage = {
	ready: true;
};

export function createNonce(): string {
	return randomBytes(nonceBytes).toString('hex');
}

export type ProofSubject = {
	direction: 'accepting' | 'connecting';
	hello: HelloMessage;
	welcome: Pick<WelcomeMessage, 'member' | 'nonce'>;
};

export function computeProof(key: string, subject: ProofSubject): string {
	const {direction, hello, welcome} = subject;
	const text = JSON.stringify([direction, hello.nonce, welcome.nonce, hello.member.instance, welcome.member.instance]);
	return createHmac('sha256', key).update(text).digest('hex');
}

/** Returns the first key for which one of the proofs holds. */
export function findMatchingKey(keys: readonly string[], proofs: readonly string[], subject: ProofSubject): string | undefined {
	return keys.find(key => {
		const expected = Buffer.from(computeProof(key, subject));
		return proofs.some(proof => isSameProof(Buffer.from(String(proof)), expected));
	});
}

function isSameProof(given: Buffer, expected: Buffer): boolean {
	return given.length === expected.length && timingSafeEqual(given, expected);
}
