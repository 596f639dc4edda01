/** The members of a replicated log and the computation of their majority. */

export type MemberInfo = {
	id: string;
	/** Address of the member's peer listener. */
	address: string;
	/** False for a learner, which receives the log but does not count towards a majority. */
	voter: boolean;
	/** ID of the data folder that holds the member's votes and acknowledged records. A member that replies from another folder is not counted. */
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

	/** Returns whether the folder is the one recorded for the member; any folder matches while none is recorded. */
	isSameFolder(id: string, folder: string): boolean {
		const known = this.find(id)?.folder;
		return known === undefined || known === folder;
	}

	/** Returns the highest value that a majority of the voters has reached, given the value of each voter. */
	computeMajorityValue(getValue: (id: string) => number): number {
		const values = this.voters.map(member => getValue(member.id)).sort((a, b) => b - a);
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
