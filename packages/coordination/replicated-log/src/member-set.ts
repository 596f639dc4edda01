/**
 * The members of a replicated log and the computation of their quorums.
 *
 * A change of the voters is made in two steps, as in the joint consensus of Raft: while it is in progress, a quorum of the
 * voters before it and a quorum of the voters after it are both needed.
 *
 * A quorum is a majority. Of an even number of voters, half are enough as soon as one voter is known to have lost its disk:
 * a majority keeps at least half of the voters without the lost one, and two halves of an even number can only be disjoint
 * if one of them contains the lost one. So any two quorums share a voter that still has its votes and records. Without
 * this, four voters, as they exist while one replaces another, would not survive that one is gone and another one has lost
 * its disk.
 */

/** Changes of one voter. A voter under demotion or removal is a voter only before the change, one under promotion only after it. */
export const voterChanges = {promotion: 'promotion', demotion: 'demotion', removal: 'removal'} as const;
export type VoterChange = typeof voterChanges[keyof typeof voterChanges];

export type MemberInfo = {
	id: string;
	/** Address of the member's peer listener. */
	address: string;
	/** False for a learner, which receives the log but does not count towards a quorum. */
	voter: boolean;
	/** ID of the data folder that holds the member's votes and acknowledged records. A member that replies from another folder is not counted. */
	folder?: string;
	/** The change of this voter that is in progress. */
	change?: VoterChange;
};

/** What is known of the voters when a quorum is computed. */
export type VoterView = {
	getValue: (id: string) => number;
	/** Tells whether the voter is known to have lost the disk that the member set names. Its value is ignored. */
	hasLostDisk: (id: string) => boolean;
};

export class MemberSet {
	readonly members: readonly MemberInfo[];

	constructor(members: readonly MemberInfo[]) {
		this.members = members;
	}

	/** The voters before and after a change that is in progress. */
	get voters(): MemberInfo[] {
		return this.members.filter(member => member.voter);
	}

	get isChanging(): boolean {
		return this.members.some(member => member.change !== undefined);
	}

	find(id: string): MemberInfo | undefined {
		return this.members.find(member => member.id === id);
	}

	isVoter(id: string): boolean {
		return this.find(id)?.voter ?? false;
	}

	/** Returns whether the folder is the one recorded for the member; any folder matches while none is recorded. */
	isSameFolder(id: string, folder: string): boolean {
		const known = this.find(id)?.folder;
		return known === undefined || known === folder;
	}

	/** Returns the highest value that a quorum has reached. */
	computeQuorumValue(view: VoterView): number {
		const {voters} = this;
		const before = voters.filter(({change}) => change !== voterChanges.promotion);
		const after = voters.filter(({change}) => change === undefined || change === voterChanges.promotion);
		return Math.min(computeGroupValue(before, view), computeGroupValue(after, view));
	}

	hasQuorum(isCounted: (id: string) => boolean, hasLostDisk: (id: string) => boolean): boolean {
		return this.computeQuorumValue({getValue: id => isCounted(id) ? 1 : 0, hasLostDisk}) > 0;
	}

	replace(member: MemberInfo): MemberSet {
		const others = this.members.filter(other => other.id !== member.id);
		return new MemberSet([...others, member].sort((a, b) => a.id.localeCompare(b.id)));
	}

	remove(id: string): MemberSet {
		return new MemberSet(this.members.filter(member => member.id !== id));
	}

	/** Returns the set for the time in which the voters of this set become those of the next one; the next set itself if its voters are the same. */
	beginChange(next: MemberSet): MemberSet {
		let joint = next;
		for (const member of this.voters) {
			if (!next.isVoter(member.id)) {
				joint = joint.replace({...member, change: next.find(member.id) ? voterChanges.demotion : voterChanges.removal});
			}
		}

		for (const member of next.voters) {
			if (!this.isVoter(member.id)) {
				joint = joint.replace({...member, change: voterChanges.promotion});
			}
		}

		return joint;
	}

	/** Returns the set after the change that is in progress. */
	completeChange(): MemberSet {
		return new MemberSet(this.members.filter(({change}) => change !== voterChanges.removal).map(({change, ...member}) => change === voterChanges.demotion ? {id: member.id, address: member.address, voter: false} : member));
	}
}

function computeGroupValue(voters: readonly MemberInfo[], {getValue, hasLostDisk}: VoterView): number {
	const remaining = voters.filter(({id}) => !hasLostDisk(id));
	const quorum = remaining.length < voters.length ? Math.ceil(voters.length / 2) : Math.floor(voters.length / 2) + 1;
	const values = remaining.map(({id}) => getValue(id)).sort((a, b) => b - a);
	return values[quorum - 1] ?? Number.NEGATIVE_INFINITY;
}
