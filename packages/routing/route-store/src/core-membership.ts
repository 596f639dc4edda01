/**
 * Decides, on the leader of the core, who its members are. A member that asks to join becomes a learner, and a voter once it
 * has the whole log. A voter that is stopping, or that has been silent for some time, is removed if enough others are left:
 * while one too many votes, the end of that one and one further loss would take the quorum away.
 */
import type {Result} from 'neverthrow';
import type {Clock} from '@hickorytrack/clock';
import type {HickorytrackError} from '@hickorytrack/errors';
import type {EventLog} from '@hickorytrack/events';
import type {ReplicatedLog} from '@hickorytrack/replicated-log';
import type {MemberInfo} from '@hickorytrack/replicated-log/member-set';

export type CoreMembershipOptions = {
	/** Address of this member. */
	address: string;
	clock: Clock;
	events: EventLog;
	/** Number n of simultaneous failures to tolerate, which takes 2n + 1 voters. */
	toleratedLosses: number;
	/** Time since this member became the leader, in milliseconds; 0 while it does not lead. */
	getLeadershipAgeMs: () => number;
};

/** A voter without contact for this time is removed if a replacement is ready. A request that is not repeated for this time has lapsed. */
const voterTimeoutMs = 2500;
/** A voter that the core can spare is removed earlier: as long as it is counted, one more loss can take the quorum away. */
const surplusVoterTimeoutMs = 1000;
/** A learner without contact for this time is removed. */
const learnerTimeoutMs = 10_000;

export class CoreMembership {
	readonly #opts: CoreMembershipOptions;
	/** Pending join requests by address, with the identity of the member's data folder. */
	readonly #joinRequests = new Map<string, {folder: string; requestedAt: number}>();

	/** Times of the requests to leave, by address. */
	readonly #leaveRequests = new Map<string, number>();

	constructor(opts: CoreMembershipOptions) {
		this.#opts = opts;
	}

	requestJoin(address: string, folder: string): void {
		this.#joinRequests.set(address, {folder, requestedAt: this.#opts.clock.monotonic()});
		this.#leaveRequests.delete(address);
	}

	requestLeave(address: string): void {
		this.#leaveRequests.set(address, this.#opts.clock.monotonic());
		this.#joinRequests.delete(address);
	}

	/** Lists the addresses of those whose request to join is pending. */
	listApplicants(): string[] {
		return [...this.#joinRequests.keys()];
	}

	/** Makes the first due membership change; the log accepts one at a time. Learners heard of within twice the interval, in milliseconds, can take the place of a voter. */
	async update(log: ReplicatedLog, intervalMs: number): Promise<void> {
		const {members} = log.getStatus();
		const unresponsiveMember = this.#findUnresponsiveMember(log, intervalMs);
		if (unresponsiveMember !== undefined) {
			this.#reportChange('removed', unresponsiveMember, await log.removeMember(unresponsiveMember));
			return;
		}

		const leavingVoter = this.#findLeavingVoter(members);
		if (leavingVoter !== undefined) {
			this.#reportChange('removed before its stop', leavingVoter, await log.removeMember(leavingVoter));
			return;
		}

		for (const [address, {folder, requestedAt}] of this.#joinRequests) {
			const isExpired = this.#opts.clock.monotonic() - requestedAt > voterTimeoutMs;
			const member = members.find(candidate => candidate.id === address);
			if (isExpired || (member?.voter && member.folder === folder)) {
				this.#joinRequests.delete(address);
				continue;
			}

			if (!member) {
				this.#reportChange('added as learner', address, await log.addLearner({id: address, address}));
				return;
			}

			if (member.voter && member.folder !== undefined && member.folder !== folder) {
				this.#reportChange('demoted to learner after disk loss', address, await log.demoteMember(address));
				return;
			}

			if (!member.voter && log.getMemberProgress(address).folder === folder) {
				this.#reportChange('promoted to voter', address, await log.promoteLearner(address));
			}
		}
	}

	#findUnresponsiveMember(log: ReplicatedLog, intervalMs: number): string | undefined {
		const {members} = log.getStatus();
		const getContactAgeMs = (member: MemberInfo) => log.getMemberProgress(member.id).contactAgeMs;
		const others = members.filter(member => member.id !== this.#opts.address).sort((a, b) => getContactAgeMs(b) - getContactAgeMs(a));
		const learner = others.find(member => !member.voter && getContactAgeMs(member) > learnerTimeoutMs && this.#hasLedFor(learnerTimeoutMs));
		const canReplaceVoter = others.some(member => !member.voter && getContactAgeMs(member) < intervalMs * 2 && log.getMemberProgress(member.id).matchIndex >= log.getStatus().commitIndex);
		const hasSurplus = this.#hasSurplusVoter(members);
		const timeoutMs = hasSurplus ? surplusVoterTimeoutMs : voterTimeoutMs;
		const voter = hasSurplus || canReplaceVoter ? others.find(member => member.voter && getContactAgeMs(member) > timeoutMs && this.#hasLedFor(timeoutMs)) : undefined;
		return voter?.id ?? learner?.id;
	}

	/** A voter that leaves is removed only if enough others remain; it may be back after a restart. The leader itself goes last. */
	#findLeavingVoter(members: readonly MemberInfo[]): string | undefined {
		if (!this.#hasSurplusVoter(members)) {
			return undefined;
		}

		const now = this.#opts.clock.monotonic();
		const leaving = members.filter(member => member.voter).map(({id}) => id).filter(id => now - (this.#leaveRequests.get(id) ?? Number.NEGATIVE_INFINITY) <= voterTimeoutMs);
		return leaving.find(id => id !== this.#opts.address) ?? leaving[0];
	}

	#hasSurplusVoter(members: readonly MemberInfo[]): boolean {
		return members.filter(member => member.voter).length > (2 * this.#opts.toleratedLosses) + 1;
	}

	/** Contact ages are valid only once this member has led for the timeout, because a new leader has had no contact yet. */
	#hasLedFor(ms: number): boolean {
		return this.#opts.getLeadershipAgeMs() > ms;
	}

	#reportChange(change: string, address: string, result: Result<void, HickorytrackError>): void {
		if (result.isOk()) {
			this.#opts.events.emit('coreMemberChanged', {change, address});
		} else {
			this.#opts.events.emit('coreMemberRefused', {change, address, message: result.error.message});
		}
	}
}
