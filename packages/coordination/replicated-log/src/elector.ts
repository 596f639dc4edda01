/**
 * Runs leader elections. One task waits until no leader has been heard for the election timeout, asks in a pre-vote
 * whether a majority would grant its vote, and then requests the votes. The pre-vote keeps a member that was partitioned
 * from the others from making the current leader step down when it reconnects.
 */
import type {BackgroundTasks} from '@hickorytrack/background-tasks';
import type {Clock} from '@hickorytrack/clock';
import type {Random} from '@hickorytrack/random';
import type {StepPoints} from '@hickorytrack/step-points';
import type {MemberMessage, MemberTransport} from './member-messages.js';
import type {MemberInfo} from './member-set.js';
import {
	voteOutcomes, type LogTiming, type MemberState, type VoteOutcome,
} from './member-state.js';

export type ElectorOptions = {
	clock: Clock;
	random: Random;
	transport: MemberTransport;
	timing: LogTiming;
	steps: StepPoints;
	signal: AbortSignal;
	tasks: BackgroundTasks;
	onElected: () => void;
};

export class Elector {
	readonly #state: MemberState;
	readonly #opts: ElectorOptions;

	constructor(state: MemberState, opts: ElectorOptions) {
		this.#state = state;
		this.#opts = opts;
	}

	async run(): Promise<void> {
		const {clock, timing, signal} = this.#opts;
		let waitStartedAt = clock.monotonic();
		let isFirst = true;
		while (!signal.aborted) {
			const isOnlyVoter = this.#state.members.voters.length === 1;
			const timeout = isOnlyVoter ? 0 : this.#selectTimeout(isFirst);
			await clock.sleep(Math.max(timing.heartbeatMs / 2, Math.max(waitStartedAt, this.#state.lastHeardAt) + timeout - clock.monotonic()), signal);
			const sinceContact = clock.monotonic() - Math.max(waitStartedAt, this.#state.lastHeardAt);
			if (signal.aborted || this.#state.role === 'leader' || sinceContact < timeout || !this.#canStartElection()) {
				continue;
			}

			waitStartedAt = clock.monotonic();
			isFirst = false;
			await this.#runElection();
		}
	}

	#selectTimeout(isFirst: boolean): number {
		const {random, timing} = this.#opts;
		return isFirst && this.#state.lastHeardAt === Number.NEGATIVE_INFINITY
			? random.nextBetween(timing.firstElectionMinMs, timing.firstElectionMaxMs)
			: random.nextBetween(timing.electionMinMs, timing.electionMaxMs);
	}

	/** Returns false for a learner, and for a voter whose data folder differs from the one in the member set: it has lost its saved votes and must not start an election. */
	#canStartElection(): boolean {
		const {members, id, folder} = this.#state;
		return members.isVoter(id) && members.isSameFolder(id, folder);
	}

	async #runElection(): Promise<void> {
		// A leader with records that its storage refuses could write none of its own.
		await this.#state.removeUnsynced();
		const term = this.#state.term + 1;
		if (!await this.#collectVotes('pre-vote', term) || term !== this.#state.term + 1) {
			return;
		}

		if (!await this.#state.grantVote(term, this.#state.id)) {
			return;
		}

		this.#state.role = 'candidate';
		this.#state.leader = undefined;
		await this.#opts.steps.onStep('election.started', this.#state.id);
		const isElected = await this.#collectVotes('vote', term);
		if (this.#state.term !== term || this.#state.role !== 'candidate') {
			return;
		}

		if (isElected && !this.#opts.signal.aborted) {
			this.#opts.onElected();
		} else {
			this.#state.role = 'follower';
		}
	}

	/** Requests the votes of all other voters in parallel and resolves as soon as the result is decided. */
	async #collectVotes(kind: 'pre-vote' | 'vote', term: number): Promise<boolean> {
		const {members, window, id, folder} = this.#state;
		const others = members.voters.filter(member => member.id !== id);
		const pendingIds = new Set(others.map(member => member.id));
		const votes = new Map<string, VoteOutcome>(others.map(member => [member.id, voteOutcomes.noAnswer]));
		const isGranted = (voter: string) => voter === id || votes.get(voter) === voteOutcomes.granted;
		const hasLostDisk = (voter: string) => this.#state.hasLostDisk(voter);
		if (members.hasQuorum(isGranted, hasLostDisk)) {
			return true;
		}

		const message = {
			kind, from: id, folder, term, lastIndex: window.lastIndex, lastTerm: window.lastTerm,
		};
		return new Promise(resolve => {
			const collectVote = async (member: MemberInfo) => {
				votes.set(member.id, await this.#requestVote(member, message));
				pendingIds.delete(member.id);
				const isElected = members.hasQuorum(isGranted, hasLostDisk);
				if (isElected || !members.hasQuorum(voter => isGranted(voter) || pendingIds.has(voter), hasLostDisk)) {
					this.#state.lastElection = {kind, term, votes};
					resolve(isElected);
				}
			};

			for (const member of others) {
				this.#opts.tasks.start('collect-vote', async () => collectVote(member));
			}
		});
	}

	async #requestVote(member: MemberInfo, message: MemberMessage & {kind: 'pre-vote' | 'vote'}): Promise<VoteOutcome> {
		try {
			const reply = await this.#opts.transport.call(member, message, this.#opts.timing.electionMaxMs);
			if (reply.term > this.#state.term && message.kind === 'vote') {
				await this.#state.updateTerm(reply.term);
			}

			this.#state.recordFolder(member.id, reply.folder);
			if (this.#state.hasLostDisk(member.id)) {
				return voteOutcomes.lostDisk;
			}

			return reply.kind === 'vote' && reply.granted ? voteOutcomes.granted : voteOutcomes.refused;
		} catch {
			return voteOutcomes.noAnswer;
		}
	}
}
