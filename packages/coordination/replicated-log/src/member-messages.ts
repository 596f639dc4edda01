/** Messages between the members of a replicated log, and the transport that carries them. */
import type {LogRecord, SnapshotRecord} from '@hickorytrack/log-storage';
import type {MemberInfo} from './member-set.js';

export type MemberMessage =
	| {kind: 'pre-vote'; from: string; folder: string; term: number; lastIndex: number; lastTerm: number}
	| {kind: 'vote'; from: string; folder: string; term: number; lastIndex: number; lastTerm: number}
	/** Keeps the lead known while records wait for a disk; it is answered without touching one. */
	| {kind: 'heartbeat'; from: string; term: number; quorumAgeMs: number}
	| {kind: 'append'; from: string; term: number; previousIndex: number; previousTerm: number; records: LogRecord[]; commitIndex: number; quorumAgeMs: number}
	| {kind: 'snapshot'; from: string; term: number; snapshot: SnapshotRecord};

export type MemberReply =
	| {kind: 'heartbeat'; folder: string; term: number; accepted: boolean}
	| {kind: 'vote'; folder: string; term: number; granted: boolean}
	| {kind: 'append'; folder: string; term: number; accepted: boolean; lastIndex: number; durableIndex: number; diskFault: boolean};

/** Carries one message to a member and brings its reply; rejects when there is none in time. */
export type MemberTransport = {
	call(to: MemberInfo, message: MemberMessage, timeoutMs: number): Promise<MemberReply>;
};
