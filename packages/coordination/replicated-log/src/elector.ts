/**
 * Elections: one task that waits for the leader's silence, asks first whether a majority would vote (pre-vote), so that
 * a member that was cut off does not disturb the others, and then asks for the votes.
 */
import type {Clock} from '@hickorytrack/clock';
import type {Random} from '@hickorytrack/random';
import type {StepPoints} from '@hickorytrack/step-points';
import type {MemberMessage, MemberTransport} from './member-messages.js';
import type {MemberInfo} from './member-set.js';
import type {LogTiming, MemberState} from './member-state.js';

export type ElectorOptions = {
	clock: Clock;
	random: Random;
	transport: MemberTransport;
	timing: LogTiming;
	steps: StepPoints;
	signal: AbortSignal;
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
		let waitedFrom = clock.monotonic();
		let isFirst = true;
		while (!signal.aborted) {
			const isAlone = this.#state.members.voters.length === 1;
			const timeout = isAlone ? 0 : this.#drawTimeout(isFirst);
			await clock.sleep(Math.max(timing.heartbeatMs / 2, Math.max(waitedFrom, this.#state.lastHeardAt) + timeout - clock.monotonic()), signal);
			const silence = clock.monotonic() - Math.max(waitedFrom, this.#state.lastHeardAt);
			if (signal.aborted || this.#state.role === 'leader' || silence < timeout || !this.#mayStand()) {
				continue;
			}

			waitedFrom = clock.monotonic();
			isFirst = false;
			await this.#campaign();
		}
	}

	#drawTimeout(isFirst: boolean): number {
		const {random, timing} = this.#opts;
		return isFirst && this.#state.lastHeardAt === Number.NEGATIVE_INFINITY
			? random.nextBetween(timing.firstElectionMinMs, timing.firstElectionMaxMs)
			: random.nextBetween(timing.electionMinMs, timing.electionMaxMs);
	}

	/** A voter whose data folder is not the one that the members know has forgotten its votes and must not stand. */
	#mayStand(): boolean {
		const {members, id, folder} = this.#state;
		return members.isVoter(id) && members.isSameFolder(id, folder);
	}

	async #campaign(): Promise<void> {
		const term = this.#state.term + 1;
		if (!await this.#collectVotes('pre-vote', term) || term !== this.#state.term + 1) {
			return;
		}

		if (!await this.#state.grantVote(term, this.#state.id)) {
			return;
		}

		this.#state.role = 'candidate';
		this.#state.leader = undefined;
		await this.#opts.steps.reach('election.started', this.#state.id);
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

	/** Asks every voter at once and resolves as soon as the result is certain. */
	async #collectVotes(kind: 'pre-vote' | 'vote', term: number): Promise<boolean> {
		const {members, window, id, folder} = this.#state;
		const others = members.voters.filter(member => member.id !== id);
		let missing = members.majority - 1;
		let open = others.length;
		if (missing <= 0) {
			return true;
		}

		const message = {
			kind, from: id, folder, term, lastIndex: window.lastIndex, lastTerm: window.lastTerm,
		};
		return new Promise(resolve => {
			const ask = async (member: MemberInfo) => {
				const isGranted = await this.#askForVote(member, message);
				open--;
				missing -= isGranted ? 1 : 0;
				if (missing <= 0 || open < missing) {
					resolve(missing <= 0);
				}
			};

			for (const member of others) {
				void ask(member);
			}
		});
	}

	async #askForVote(member: MemberInfo, message: MemberMessage & {kind: 'pre-vote' | 'vote'}): Promise<boolean> {
		try {
			const reply = await this.#opts.transport.call(member, message, this.#opts.timing.electionMaxMs);
			if (reply.term > this.#state.term && message.kind === 'vote') {
				await this.#state.updateTerm(reply.term);
			}

			return reply.kind === 'vote' && reply.granted && this.#state.members.isSameFolder(member.id, reply.folder);
		} catch {
			return false;
		}
	}
}
