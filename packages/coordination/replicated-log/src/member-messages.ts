/** Messages between the members of a replicated log, and the transport that sends them. */
import type {LogRecord, SnapshotRecord} from '@hickorytrack/log-storage';
import type {MemberInfo} from './member-set.js';

/** Bytes of a snapshot as JSON. */
export type SnapshotPart = {
	/** Index of the last record that the snapshot covers. */
	index: number;
	/** SHA-256 of the whole snapshot, in hexadecimal digits. */
	digest: string;
	totalBytes: number;
	offset: number;
	/** In base64. */
	bytes: string;
};

export type MemberMessage =
	| {kind: 'pre-vote'; from: string; folder: string; term: number; lastIndex: number; lastTerm: number}
	| {kind: 'vote'; from: string; folder: string; term: number; lastIndex: number; lastTerm: number}
	/** Keeps followers in contact with the leader while appends wait for a disk; a follower replies without disk access. */
	| {kind: 'heartbeat'; from: string; term: number; quorumAgeMs: number}
	| {kind: 'append'; from: string; term: number; previousIndex: number; previousTerm: number; records: LogRecord[]; commitIndex: number; quorumAgeMs: number}
	/** For members of earlier versions, which do not say that they take parts. */
	| {kind: 'snapshot'; from: string; term: number; snapshot: SnapshotRecord}
	| {kind: 'snapshot-part'; from: string; term: number; part: SnapshotPart};

/** `heldBytes`: in reply to a part of a snapshot that is not whole yet. */
export type MemberReply =
	| {kind: 'heartbeat'; folder: string; term: number; accepted: boolean; takesParts?: boolean}
	| {kind: 'vote'; folder: string; term: number; granted: boolean}
	| {kind: 'append'; folder: string; term: number; accepted: boolean; lastIndex: number; durableIndex: number; diskFault: boolean; takesParts?: boolean; heldBytes?: number};

/** Sends a message to a member and resolves with its reply; rejects when no reply arrives within the timeout. */
export type MemberTransport = {
	call(to: MemberInfo, message: MemberMessage, timeoutMs: number): Promise<MemberReply>;
};
