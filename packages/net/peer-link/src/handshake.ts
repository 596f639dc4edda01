/**
 * Mutual authentication of two processes by a shared key. Each side proves possession of the key with an HMAC over both
 * nonces and both instance names. The direction is part of the signed text, which prevents a proof from being reflected to
 * its sender. Two keys may be valid at once to allow key rotation: the accepting side sends a proof for each of its keys,
 * and the connecting side answers with a proof for the first key that both sides share.
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

/** Returns the first key for which one of the proofs is valid. */
export function findMatchingKey(keys: readonly string[], proofs: readonly string[], subject: ProofSubject): string | undefined {
	return keys.find(key => {
		const expected = Buffer.from(computeProof(key, subject));
		return proofs.some(proof => isSameProof(Buffer.from(String(proof)), expected));
	});
}

function isSameProof(actual: Buffer, expected: Buffer): boolean {
	return actual.length === expected.length && timingSafeEqual(actual, expected);
}
