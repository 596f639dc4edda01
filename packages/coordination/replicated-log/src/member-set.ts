/** The members of a replicated log and the arithmetic of their majority. */

export type MemberInfo = {
	id: string;
	/** Address of the member's peer listener. */
	address: string;
	/** A learner receives the log but counts in no majority. */
	voter: boolean;
	/** Identity of the data folder that the member's promises stand on; a member with another folder is not counted. */
	folder?: string;
};

export class MemberSet {
	readonly members: readonly MemberInfo[];

	constructor(members: readonly MemberInfo[]) {
		this.members = members;
	}

	get voters(): MemberInfo[] {
		return this.members.filter(member => member.voter);
	}

	get majority(): number {
		return Math.floor(this.voters.length / 2) + 1;
	}

	find(id: string): MemberInfo | undefined {
		return this.members.find(member => member.id === id);
	}

	isVoter(id: string): boolean {
		return this.find(id)?.voter ?? false;
	}

	/** Tells whether a reply from this folder stands for the member that the set knows. */
	isSameFolder(id: string, folder: string): boolean {
		const known = this.find(id)?.folder;
		return known === undefined || known === folder;
	}

	/** Returns the value that a majority of the voters has reached, given the value of each. */
	computeMajorityValue(valueOf: (id: string) => number): number {
		const values = this.voters.map(member => valueOf(member.id)).sort((a, b) => b - a);
		return values[this.majority - 1] ?? Number.NEGATIVE_INFINITY;
	}

	replace(member: MemberInfo): MemberSet {
		const others = this.members.filter(other => other.id !== member.id);
		return new MemberSet([...others, member].sort((a, b) => a.id.localeCompare(b.id)));
	}

	remove(id: string): MemberSet {
		return new MemberSet(this.members.filter(member => member.id !== id));
	}
}
