/** Messages between the members of a replicated log, and the transport that sends them. */
import type {LogRecord, SnapshotRecord} from '@hickorytrack/log-storage';
import type {MemberInfo} from './member-set.js';

export type MemberMessage =
	| {kind: 'pre-vote'; from: string; folder: string; term: number; lastIndex: number; lastTerm: number}
	| {kind: 'vote'; from: string; folder: string; term: number; lastIndex: number; lastTerm: number}
	/** Keeps followers in contact with the leader while appends wait for a disk; a follower replies without disk access. */
	| {kind: 'heartbeat'; from: string; term: number; quorumAgeMs: number}
	| {kind: 'append'; from: string; term: number; previousIndex: number; previousTerm: number; records: LogRecord[]; commitIndex: number; quorumAgeMs: number}
	| {kind: 'snapshot'; from: string; term: number; snapshot: SnapshotRecord};

export type MemberReply =
	| {kind: 'heartbeat'; folder: string; term: number; accepted: boolean}
	| {kind: 'vote'; folder: string; term: number; granted: boolean}
	| {kind: 'append'; folder: string; term: number; accepted: boolean; lastIndex: number; durableIndex: number; diskFault: boolean};

/** Sends a message to a member and resolves with its reply; rejects when no reply arrives within the timeout. */
export type MemberTransport = {
	call(to: MemberInfo, message: MemberMessage, timeoutMs: number): Promise<MemberReply>;
};
