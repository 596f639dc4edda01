import {expect} from 'chai';
import {MemberSet, type MemberInfo} from '../src/member-set.js';

const createMember = (id: string): MemberInfo => ({
	id, address: id, voter: true, folder: `folder of ${id}`,
});
const createSet = (ids: readonly string[]) => new MemberSet(ids.map(id => createMember(id)));

function listSubsets(ids: readonly string[]): string[][] {
	return ids.length === 0 ? [[]] : listSubsets(ids.slice(1)).flatMap(rest => [rest, [ids[0]!, ...rest]]);
}

const hasQuorum = (set: MemberSet, votes: readonly string[], lost: readonly string[] = []) => set.hasQuorum(id => votes.includes(id), id => lost.includes(id));
const exclude = (ids: readonly string[], excluded: readonly string[]) => ids.filter(id => !excluded.includes(id));

/**
 * Lists pairs of quorums without a common voter. The first one forms when some disks are known to be lost; by the time of
 * the second one further disks have been lost, some of which it does not know of, and these voters can't vote any more.
 */
function listDisjointQuorums(first: MemberSet, second: MemberSet): string[] {
	const ids = [...new Set([...first.voters, ...second.voters].map(({id}) => id))];
	const found: string[] = [];
	for (const firstLost of listSubsets(ids)) {
		const firstQuorums = listSubsets(exclude(ids, firstLost)).filter(votes => hasQuorum(first, votes, firstLost));
		for (const laterLost of listSubsets(exclude(ids, firstLost))) {
			const lost = [...firstLost, ...laterLost];
			for (const secondLost of listSubsets(lost)) {
				const secondQuorums = listSubsets(exclude(ids, lost)).filter(votes => hasQuorum(second, votes, secondLost));
				found.push(...firstQuorums.flatMap(votes => secondQuorums.filter(others => !others.some(id => votes.includes(id))).map(others => `${votes.join(' ')} (lost ${firstLost.join(' ')}) and ${others.join(' ')} (lost ${secondLost.join(' ')} of ${lost.join(' ')})`)));
			}
		}
	}

	return found;
}

describe('members of a replicated log', () => {
	const four = createSet(['a', 'b', 'c', 'd']);
	const three = createSet(['a', 'b', 'c']);

	it('needs a majority, and half of an even number of voters once one disk is known to be lost', () => {
		expect(hasQuorum(four, ['c', 'd'])).to.equal(false);
		expect(hasQuorum(four, ['b', 'c', 'd'])).to.equal(true);
		expect(hasQuorum(four, ['c', 'd'], ['b'])).to.equal(true);
		expect(hasQuorum(four, ['b', 'c'], ['b'])).to.equal(false);
		expect(hasQuorum(three, ['c'], ['b'])).to.equal(false);
		expect(hasQuorum(three, ['a', 'c'], ['b'])).to.equal(true);
		expect(hasQuorum(new MemberSet([]), [])).to.equal(false);
	});

	// Guards against two leaders of one term, and against an acknowledged record that a later leader lacks.
	for (const ids of [['a'], ['a', 'b'], ['a', 'b', 'c'], ['a', 'b', 'c', 'd'], ['a', 'b', 'c', 'd', 'e']]) {
		it(`has no two disjoint quorums among ${ids.length} voters, whichever disks are lost in between`, () => {
			expect(listDisjointQuorums(createSet(ids), createSet(ids))).to.deep.equal([]);
		});
	}

	// Guards against a change after which the old voters and the new ones elect a leader each: with one disk lost, half of four
	// voters and a majority of three of them can be disjoint.
	for (const [change, before, after] of [
		['removal', four, three],
		['promotion', three, four],
		['demotion', four, four.replace({id: 'b', address: 'b', voter: false})],
		['replacement', three, createSet(['b', 'c', 'd'])],
	] as const) {
		it(`has a quorum of the voters before and of those after a ${change} in each quorum during it`, () => {
			const joint = before.beginChange(after);
			expect(joint.isChanging).to.equal(true);
			expect(joint.completeChange().members).to.deep.equal(after.members);
			expect([...listDisjointQuorums(before, after), ...listDisjointQuorums(after, before)]).not.to.deep.equal([]);
			expect(listDisjointQuorums(before, joint)).to.deep.equal([]);
			expect(listDisjointQuorums(joint, before)).to.deep.equal([]);
			expect(listDisjointQuorums(joint, after)).to.deep.equal([]);
			expect(listDisjointQuorums(after, joint)).to.deep.equal([]);
		});
	}

	it('changes in one step what is no matter of the voters', () => {
		const withLearner = three.replace({id: 'd', address: 'd', voter: false});
		expect(three.beginChange(withLearner)).to.equal(withLearner);
		expect(withLearner.beginChange(three)).to.equal(three);
	});
});
