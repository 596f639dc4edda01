import process from 'node:process';
import {expect} from 'chai';
import {Random} from '@hickorytrack/random';
import {MemoryLogStorage} from '@hickorytrack/log-storage/memory-log-storage';
import type {MemberMessage} from '../src/member-messages.js';
import {TestCluster, type TestMember} from './test-cluster.js';

const ids = ['a', 'b', 'c'];

describe('replicated log', () => {
	let cluster: TestCluster;

	const start = async (seed: number, timing = {}) => {
		cluster = new TestCluster(seed, timing);
		await cluster.startAll(ids);
		return cluster.waitForLeader();
	};

	afterEach(async () => {
		await cluster.stopAll();
	});

	it('applies an acknowledged command on every member', async () => {
		const leader = await start(1);
		const result = await cluster.waitForResult(leader.log.propose('x'));
		expect(result._unsafeUnwrap()).to.equal(1);
		await cluster.clock.advance(300);
		for (const member of cluster.members.values()) {
			expect(member.stateMachine.values).to.deep.equal(['x']);
		}
	});

	// The founder of a group had no member set on its disk for the first 100 ms, and never led again after a restart.
	it('keeps a command that was acknowledged right after the log was founded', async () => {
		cluster = new TestCluster(1);
		const founder = await cluster.startMember('a', ['a']);
		while (!founder.log.isLeader) {
			await cluster.clock.advance(1);
		}

		expect((await cluster.waitForResult(founder.log.propose('x'))).isOk()).to.equal(true);
		const {storage} = await cluster.stopMember('a');
		await cluster.startMember('a', [], storage);
		const restarted = await cluster.waitForLeader();
		await cluster.clock.advance(100);
		expect(restarted.stateMachine.values).to.deep.equal(['x']);
	});

	it('rejects a command on a follower and returns the leader', async () => {
		const leader = await start(2);
		await cluster.clock.advance(300);
		const follower = [...cluster.members.values()].find(member => member !== leader)!;
		const error = (await follower.log.propose('x'))._unsafeUnwrapErr();
		expect(error.applied).to.equal('no');
		expect(error.leader).to.equal(leader.log.id);
	});

	it('steps down by its own clock before another member can become leader', async () => {
		const leader = await start(3);
		cluster.isolate(leader.log.id);
		for (let step = 0; step < 400; step++) {
			await cluster.clock.advance(10);
			expect(cluster.leaders.length).to.be.at.most(1);
		}

		expect(cluster.leaders).to.have.length(1);
		expect(leader.log.isLeader).to.equal(false);
		expect((await leader.log.propose('late')).isErr()).to.equal(true);
	});

	it('keeps the leader and its term when a partitioned member reconnects', async () => {
		const leader = await start(4);
		const isolatedId = ids.find(id => id !== leader.log.id)!;
		cluster.isolate(isolatedId);
		await cluster.clock.advance(10_000);
		const {term} = leader.log;
		cluster.restoreLinks();
		await cluster.clock.advance(3000);
		expect(leader.log.isLeader).to.equal(true);
		expect(leader.log.term).to.equal(term);
	});

	it('catches up a member that lags hundreds of commands, by snapshot and later records', async () => {
		const leader = await start(5, {snapshotRecords: 50});
		const laggingId = ids.find(id => id !== leader.log.id)!;
		const {storage} = await cluster.stopMember(laggingId);
		for (let index = 0; index < 520; index++) {
			await cluster.waitForResult(leader.log.propose(index));
		}

		expect(leader.log.getStatus().snapshotIndex).to.be.greaterThan(400);
		const restarted = await cluster.startMember(laggingId, ids, storage);
		await cluster.clock.advance(2000);
		expect(restarted.stateMachine.values).to.deep.equal(leader.stateMachine.values);
	});

	// Guards against a member that never catches up: all records that it lacked came in one message, which the link refused.
	it('catches up a member that lags large commands in messages of bounded size', async () => {
		const leader = await start(17, {snapshotBytes: Number.POSITIVE_INFINITY, batchBytes: 250_000});
		const laggingId = ids.find(id => id !== leader.log.id)!;
		const {storage} = await cluster.stopMember(laggingId);
		for (let index = 0; index < 20; index++) {
			await cluster.waitForResult(leader.log.propose('x'.repeat(index === 10 ? 400_000 : 100_000)));
		}

		const sizes: number[] = [];
		cluster.onMessage = message => {
			if (message.kind === 'append') {
				sizes.push(JSON.stringify(message.records).length);
			}
		};

		const restarted = await cluster.startMember(laggingId, ids, storage);
		await cluster.clock.advance(3000);
		expect(restarted.stateMachine.values).to.deep.equal(leader.stateMachine.values);
		expect(Math.max(...sizes)).to.be.within(400_000, 401_000);
		expect(sizes.filter(size => size > 250_000)).to.have.length(1);
	});

	describe('with a member that needs a snapshot of 1 MB', () => {
		const partBytes = 50_000;
		const commands = Array.from({length: 12}, (_, index) => String(index).repeat(100_000).slice(0, 100_000));
		let messages: MemberMessage[];

		const startBehind = async (seed: number): Promise<[TestMember, MemoryLogStorage, string]> => {
			const leader = await start(seed, {snapshotRecords: 5, partBytes});
			const laggingId = ids.find(id => id !== leader.log.id)!;
			const {storage} = await cluster.stopMember(laggingId);
			for (const command of commands) {
				await cluster.waitForResult(leader.log.propose(command));
			}

			messages = [];
			cluster.onMessage = message => {
				messages.push(message);
			};

			return [leader, storage, laggingId];
		};

		// A snapshot went in one message, which a slow link did not take within the time-out of the call.
		it('sends it in parts of bounded size', async () => {
			const [leader, storage, laggingId] = await startBehind(31);
			const restarted = await cluster.startMember(laggingId, ids, storage);
			await cluster.clock.advance(1500);
			expect(restarted.stateMachine.values).to.deep.equal(commands);
			const sizes = messages.filter(({kind}) => kind === 'snapshot-part').map(message => JSON.stringify(message).length);
			expect(sizes.length).to.be.within(20, 40);
			expect(Math.max(...sizes)).to.be.below(1.4 * partBytes);
			expect(messages.filter(({kind}) => kind === 'snapshot')).to.have.length(0);
			expect((await cluster.waitForResult(leader.log.propose('next'))).isOk()).to.equal(true);
			await cluster.clock.advance(300);
			expect(restarted.stateMachine.values).to.deep.equal([...commands, 'next']);
		});

		it('goes on with the part that was lost, and keeps the snapshot that it has begun', async () => {
			const [leader, storage, laggingId] = await startBehind(32);
			cluster.lossRate = 0.2;
			const restarted = await cluster.startMember(laggingId, ids, storage);
			for (let round = 0; round < 20; round++) {
				await cluster.waitForResult(leader.log.propose('small', {timeoutMs: 500}));
			}

			cluster.lossRate = 0;
			await cluster.clock.advance(3000);
			const next = await cluster.waitForLeader();
			await cluster.waitForResult(next.log.readBarrier());
			await cluster.clock.advance(1000);
			expect(restarted.stateMachine.values).to.deep.equal(next.stateMachine.values);
			const parts = messages.flatMap(message => message.kind === 'snapshot-part' ? [message.part] : []);
			const offsets = parts.filter(({digest}) => digest === parts[0]!.digest).map(({offset}) => offset);
			expect(offsets).to.deep.equal([...offsets].sort((a, b) => a - b));
			expect(new Set(offsets).size).to.be.greaterThan(5);
		});

		it('asks for the whole again after a part that is damaged', async () => {
			const [, storage, laggingId] = await startBehind(33);
			let isDamaged = false;
			cluster.onMessage = message => {
				if (!isDamaged && message.kind === 'snapshot-part' && message.part.offset > 0) {
					isDamaged = true;
					message.part.bytes = message.part.bytes.replace(/^.{4}/, 'AAAA');
				}
			};

			const restarted = await cluster.startMember(laggingId, ids, storage);
			await cluster.clock.advance(3000);
			expect(isDamaged).to.equal(true);
			expect(restarted.stateMachine.values).to.deep.equal(commands);
		});

		// The member was started anew with the version before, which refuses parts.
		it('sends it whole to a member of an earlier version', async () => {
			const [, storage, laggingId] = await startBehind(34);
			cluster.transformReply = reply => reply.kind === 'vote' ? reply : {...reply, takesParts: undefined};
			cluster.onMessage = message => {
				messages.push(message);
				if (message.kind === 'snapshot-part') {
					throw new TypeError('"kind" is not known');
				}
			};

			const restarted = await cluster.startMember(laggingId, ids, storage);
			await cluster.clock.advance(1500);
			expect(restarted.stateMachine.values).to.deep.equal(commands);
			expect(messages.filter(({kind}) => kind === 'snapshot')).to.have.length(1);
		});

		it('does not send it again for each write that a full disk refuses', async () => {
			const [, storage, laggingId] = await startBehind(35);
			storage.capacityBytes = 500_000;
			const restarted = await cluster.startMember(laggingId, ids, storage);
			await cluster.clock.advance(5000);
			const sentBytes = messages.filter(({kind}) => kind === 'snapshot-part').length * partBytes;
			expect(restarted.stateMachine.values).to.have.length(0);
			storage.capacityBytes = Number.POSITIVE_INFINITY;
			await cluster.clock.advance(1000);
			expect(restarted.stateMachine.values).to.deep.equal(commands);
			expect(sentBytes).to.be.below(5_000_000);
		});
	});

	it('keeps acknowledged commands when leaders fail one after another', async () => {
		await start(6);
		const acknowledged: number[] = [];
		for (let round = 0; round < 6; round++) {
			const leader = await cluster.waitForLeader();
			if ((await cluster.waitForResult(leader.log.propose(round))).isOk()) {
				acknowledged.push(round);
			}

			const {storage} = await cluster.stopMember(leader.log.id);
			await cluster.waitForLeader();
			await cluster.startMember(leader.log.id, ids, storage);
		}

		const leader = await cluster.waitForLeader();
		await cluster.waitForResult(leader.log.readBarrier());
		expect(leader.stateMachine.values.filter(value => acknowledged.includes(value as number))).to.deep.equal(acknowledged);
		expect(acknowledged).to.have.length(6);
	});

	it('does not count a member whose disk was lost until it is demoted to learner and promoted again', async () => {
		const leader = await start(7);
		await cluster.waitForResult(leader.log.propose('kept'));
		await cluster.clock.advance(1500);
		const lostDiskId = ids.find(id => id !== leader.log.id)!;
		const other = ids.find(id => id !== leader.log.id && id !== lostDiskId)!;
		await cluster.stopMember(lostDiskId);
		await cluster.startMember(lostDiskId, ids, new MemoryLogStorage('another folder'));
		await cluster.clock.advance(1000);
		cluster.isolate(other);
		await cluster.clock.advance(5000);
		expect(cluster.leaders, 'a member with a lost disk must not count towards a majority').to.have.length(0);
		cluster.restoreLinks();
		const next = await cluster.waitForLeader();
		await cluster.clock.advance(500);
		expect((await cluster.waitForResult(next.log.demoteMember(lostDiskId))).isOk()).to.equal(true);
		await cluster.clock.advance(1000);
		expect((await cluster.waitForResult(next.log.promoteLearner(lostDiskId))).isOk()).to.equal(true);
		cluster.isolate(other);
		await cluster.clock.advance(3000);
		const last = await cluster.waitForLeader();
		expect((await cluster.waitForResult(last.log.propose('after repair'))).isOk()).to.equal(true);
	});

	// Guards against a group without a leader whose state does not tell why: who answered the request for votes, and how.
	it('shows the answers to the last request for votes', async () => {
		const leader = await start(15);
		await cluster.clock.advance(1500);
		const [lostDiskId, remainingId] = ids.filter(id => id !== leader.log.id);
		await cluster.stopMember(leader.log.id);
		await cluster.stopMember(lostDiskId!);
		await cluster.startMember(lostDiskId!, [], new MemoryLogStorage('another folder'));
		await cluster.clock.advance(4000);
		const {role, lastElection} = cluster.members.get(remainingId!)!.log.getStatus();
		expect(role).to.equal('follower');
		expect(lastElection?.kind).to.equal('pre-vote');
		expect(lastElection?.votes).to.deep.equal({[leader.log.id]: 'no-answer', [lostDiskId!]: 'lost-disk'});
	});

	it('rejects a membership change that leaves no live majority', async () => {
		const leader = await start(8);
		await cluster.clock.advance(1500);
		const others = ids.filter(id => id !== leader.log.id);
		await cluster.stopMember(others[0]!);
		await cluster.clock.advance(1500);
		const refused = await cluster.waitForResult(leader.log.removeMember(others[1]!));
		expect(refused._unsafeUnwrapErr().code).to.equal('ERR_HICKORYTRACK_MEMBERS_REFUSED');
		const allowed = await cluster.waitForResult(leader.log.removeMember(others[0]!));
		expect(allowed.isOk()).to.equal(true);
	});

	// Guards against a leader that leads on, or whose tasks fail, once it is no member any more.
	it('lets a leader remove itself, and the others go on without it', async () => {
		const leader = await start(16);
		await cluster.clock.advance(1500);
		await cluster.startMember('d', []);
		await cluster.waitForResult(leader.log.addLearner({id: 'd', address: 'd'}));
		await cluster.clock.advance(1000);
		await cluster.waitForResult(leader.log.promoteLearner('d'));
		const errors: Error[] = [];
		const collectError = (error: Error) => errors.push(error);
		process.on('warning', collectError);
		expect((await cluster.waitForResult(leader.log.removeMember(leader.log.id))).isOk()).to.equal(true);
		await cluster.clock.advance(100);
		expect(leader.log.isLeader).to.equal(false);
		const next = await cluster.waitForLeader();
		expect((await cluster.waitForResult(next.log.propose('x'))).isOk()).to.equal(true);
		expect(next.log.getStatus().members.map(({id}) => id)).to.deep.equal(['a', 'b', 'c', 'd'].filter(id => id !== leader.log.id));
		await new Promise(resolve => {
			setImmediate(resolve);
		});
		process.off('warning', collectError);
		expect(errors).to.deep.equal([]);
	});

	it('does not promote a learner that lacks records', async () => {
		const leader = await start(9);
		await cluster.clock.advance(1500);
		expect((await cluster.waitForResult(leader.log.addLearner({id: 'd', address: 'd'}))).isOk()).to.equal(true);
		const refused = await cluster.waitForResult(leader.log.promoteLearner('d'));
		expect(refused.isErr()).to.equal(true);
		await cluster.startMember('d', []);
		await cluster.clock.advance(2000);
		expect((await cluster.waitForResult(leader.log.promoteLearner('d'))).isOk()).to.equal(true);
	});

	it('steps down when its disk is full, and another member takes over', async () => {
		const leader = await start(10);
		leader.storage.full = true;
		const outcome = await cluster.waitForResult(leader.log.propose('x'));
		expect(outcome.isErr()).to.equal(true);
		const next = await cluster.waitForLeader();
		expect(next).to.not.equal(leader);
		leader.storage.full = false;
		expect((await cluster.waitForResult(next.log.propose('y'))).isOk()).to.equal(true);
		await cluster.clock.advance(1000);
		expect(leader.stateMachine.values).to.deep.equal(next.stateMachine.values);
	});

	describe('whose storages have room for small records only', () => {
		const capacityBytes = 1024 * 1024;
		/** Held back by a leader until it is synced. */
		const largeCommand = 'x'.repeat(100_000);

		/** Proposes large commands until one is refused, and returns the leader, the number of those before, and the refusal. */
		const fill = async () => {
			const leader = await start(18, {snapshotBytes: Number.POSITIVE_INFINITY});
			for (const {storage} of cluster.members.values()) {
				storage.capacityBytes = capacityBytes;
			}

			for (let stored = 0; ; stored++) {
				const result = await cluster.waitForResult(leader.log.propose(largeCommand));
				if (result.isErr()) {
					return {leader, stored, error: result.error};
				}
			}
		};

		// A record that no storage took stayed in the memory of all members: no leader could write one of its own behind it, and nothing was read any more.
		it('refuses a command, and goes on with what is stored', async () => {
			const {leader, stored, error} = await fill();
			const {term} = leader.log;
			expect([stored, error.code, error.applied]).to.deep.equal([10, 'ERR_HICKORYTRACK_DISK_FULL', 'no']);
			expect((await cluster.waitForResult(leader.log.readBarrier())).isOk()).to.equal(true);
			expect((await cluster.waitForResult(leader.log.propose('small'))).isOk()).to.equal(true);
			await cluster.clock.advance(5000);
			expect([leader.log.isLeader, leader.log.term]).to.deep.equal([true, term]);
			for (const {storage} of cluster.members.values()) {
				storage.capacityBytes = 2 * capacityBytes;
			}

			expect((await cluster.waitForResult(leader.log.propose(largeCommand))).isOk()).to.equal(true);
			await cluster.clock.advance(300);
			for (const {stateMachine, storage} of cluster.members.values()) {
				expect(stateMachine.values).to.deep.equal([...Array.from({length: stored}, () => largeCommand), 'small', largeCommand]);
				expect((await storage.open())._unsafeUnwrap().records.filter(({payload}) => payload === largeCommand)).to.have.length(stored + 1);
			}
		});

		it('store a small command beside a large one that is refused', async () => {
			const {leader} = await fill();
			const {term} = leader.log;
			const results = await cluster.waitForResult(Promise.all(['before', largeCommand, 'after'].map(async command => leader.log.propose(command))));
			expect(results.map(result => result.isOk() || result.error.applied)).to.deep.equal([true, 'no', 'no']);
			expect([leader.log.isLeader, leader.log.term]).to.deep.equal([true, term]);
		});

		it('have another leader after the end of the one that has refused a command', async () => {
			const {leader, stored} = await fill();
			await cluster.stopMember(leader.log.id);
			const next = await cluster.waitForLeader();
			expect((await cluster.waitForResult(next.log.readBarrier())).isOk()).to.equal(true);
			expect(next.stateMachine.values).to.have.length(stored);
			expect((await cluster.waitForResult(next.log.propose('small'))).isOk()).to.equal(true);
		});

		it('store what the leader and one more of them have room for', async () => {
			const {leader, stored} = await fill();
			const [follower, full] = [...cluster.members.values()].filter(member => member !== leader);
			leader.storage.capacityBytes = 2 * capacityBytes;
			follower!.storage.capacityBytes = 2 * capacityBytes;
			expect((await cluster.waitForResult(leader.log.propose(largeCommand))).isOk()).to.equal(true);
			await cluster.clock.advance(1000);
			expect(full!.stateMachine.values).to.have.length(stored);
			await cluster.stopMember(leader.log.id);
			full!.storage.capacityBytes = 2 * capacityBytes;
			const next = await cluster.waitForLeader();
			await cluster.waitForResult(next.log.readBarrier());
			await cluster.clock.advance(1000);
			expect([follower!, full!].map(({stateMachine}) => stateMachine.values.length)).to.deep.equal([stored + 1, stored + 1]);
		});
	});

	// Nobody led while no disk took a vote, and nothing was read.
	it('goes on answering reads while all disks are full', async () => {
		const leader = await start(20);
		await cluster.waitForResult(leader.log.propose('kept'));
		const setFull = (isFull: boolean) => {
			for (const {storage} of cluster.members.values()) {
				storage.full = isFull;
			}
		};

		setFull(true);
		expect((await cluster.waitForResult(leader.log.propose('refused', {timeoutMs: 500}))).isErr()).to.equal(true);
		await cluster.clock.advance(10_000);
		expect((await cluster.waitForResult(leader.log.readBarrier())).isOk()).to.equal(true);
		expect(leader.stateMachine.values).to.deep.equal(['kept']);
		expect((await leader.log.propose('later'))._unsafeUnwrapErr().applied).to.equal('no');
		setFull(false);
		await cluster.clock.advance(300);
		expect((await cluster.waitForResult(leader.log.propose('stored'))).isOk()).to.equal(true);
		expect(leader.stateMachine.values).to.deep.equal(['kept', 'refused', 'stored']);
	});

	// A leader refused all commands, because the write of an earlier lead had failed after it had stepped down.
	it('takes commands in a lead after one whose last write failed late', async () => {
		const leader = await start(36);
		const {storage} = leader;
		const append = storage.append.bind(storage);
		storage.append = async records => {
			await cluster.clock.sleep(2000);
			storage.full = true;
			const result = await append(records);
			storage.full = false;
			storage.append = append;
			return result;
		};

		void leader.log.propose('late');
		cluster.isolate(leader.log.id);
		await cluster.clock.advance(1000);
		expect(leader.log.isLeader).to.equal(false);
		await cluster.clock.advance(1500);
		cluster.restoreLinks();
		while (!leader.log.isLeader) {
			const other = await cluster.waitForLeader();
			if (other !== leader) {
				cluster.isolate(other.log.id);
				await cluster.clock.advance(2500);
				cluster.restoreLinks();
			}
		}

		expect((await cluster.waitForResult(leader.log.propose('stored'))).isOk()).to.equal(true);
	});

	// A large record went to the other members beside its writing, so that a leader could not refuse it any more.
	it('sends a large record only once the leader has synced it', async () => {
		const leader = await start(19);
		const sent: unknown[] = [];
		cluster.onMessage = message => {
			sent.push(...message.kind === 'append' ? message.records.map(({payload}) => payload) : []);
		};

		leader.storage.full = true;
		const large = 'x'.repeat(100_000);
		expect((await cluster.waitForResult(leader.log.propose(large)))._unsafeUnwrapErr().applied).to.equal('no');
		await cluster.clock.advance(3000);
		expect(sent).to.not.include(large);
	});

	for (const seed of [11, 12, 13, 14]) {
		it(`keeps one consistent log under message loss, restarts and partitions (seed ${seed})`, async () => {
			await start(seed, {snapshotRecords: 20});
			const random = new Random(seed);
			const acknowledged: string[] = [];
			let nextValue = 0;
			cluster.lossRate = 0.05;
			for (let round = 0; round < 60; round++) {
				const action = random.nextInteger(6);
				const id = random.select(ids);
				switch (action) {
					case 0: {
						cluster.isolate(id);

						break;
					}

					case 1: {
						cluster.restoreLinks();

						break;
					}

					case 2: {
						const {storage} = await cluster.stopMember(id);
						await cluster.clock.advance(random.nextInteger(800));
						await cluster.startMember(id, ids, storage);

						break;
					}
				// No default
				}

				const leader = cluster.leaders.at(-1) ?? random.select([...cluster.members.values()]);
				const value = `v${nextValue++}`;
				const outcome = await cluster.waitForResult(leader.log.propose(value, {timeoutMs: 700}));
				if (outcome.isOk()) {
					acknowledged.push(value);
				}

				await cluster.clock.advance(random.nextInteger(500));
			}

			cluster.restoreLinks();
			cluster.lossRate = 0;
			await cluster.clock.advance(4000);
			const leader = await cluster.waitForLeader();
			await cluster.waitForResult(leader.log.readBarrier());
			await cluster.clock.advance(1000);
			expect(acknowledged.length, 'too few acknowledged commands for a meaningful check').to.be.greaterThan(5);
			expect(leader.stateMachine.values.filter(value => acknowledged.includes(value as string))).to.deep.equal(acknowledged);
			for (const member of cluster.members.values()) {
				expect(member.stateMachine.values).to.deep.equal(leader.stateMachine.values);
			}
		});
	}

	for (const seed of [21, 22, 23, 24, 25, 26]) {
		// Guards against a command that was answered as not stored, and applied later.
		it(`applies what it has acknowledged, and nothing that it has refused, beside disks that run full (seed ${seed})`, async () => {
			await start(seed, {snapshotRecords: 20});
			const random = new Random(seed);
			const acknowledged: string[] = [];
			const refused: string[] = [];
			const setCapacity = (members: ReadonlyArray<{storage: MemoryLogStorage}>, freeBytes: number) => {
				for (const {storage} of members) {
					const {records, snapshot} = storage.sizes;
					storage.capacityBytes = records + snapshot + freeBytes;
				}
			};

			for (let round = 0; round < 60; round++) {
				const id = random.select(ids);
				const members = [...cluster.members.values()];
				switch (random.nextInteger(9)) {
					case 0: {
						cluster.isolate(id);
						break;
					}

					case 1: {
						cluster.restoreLinks();
						break;
					}

					case 2: {
						const {storage} = await cluster.stopMember(id);
						await cluster.clock.advance(random.nextInteger(800));
						await cluster.startMember(id, ids, storage);
						break;
					}

					case 3: {
						setCapacity(members, 50_000);
						break;
					}

					case 4: {
						setCapacity([cluster.members.get(id)!], random.select([0, 200, 50_000]));
						break;
					}

					case 5: {
						setCapacity(members, Number.POSITIVE_INFINITY);
						break;
					}
				// No default
				}

				const leader = cluster.leaders.at(-1) ?? random.select([...cluster.members.values()]);
				const outcomes = Array.from({length: 1 + random.nextInteger(3)}, async (_, index) => {
					const value = `${round}.${index}${random.nextInteger(2) === 0 ? '' : ' '.repeat(70_000)}`;
					const outcome = await leader.log.propose(value, {timeoutMs: 700});
					if (outcome.isOk()) {
						acknowledged.push(value);
					} else if (outcome.error.applied === 'no') {
						refused.push(value);
					}
				});
				await cluster.waitForResult(Promise.all(outcomes));
				await cluster.clock.advance(random.nextInteger(500));
			}

			cluster.restoreLinks();
			setCapacity([...cluster.members.values()], Number.POSITIVE_INFINITY);

			await cluster.clock.advance(4000);
			const leader = await cluster.waitForLeader();
			await cluster.waitForResult(leader.log.readBarrier());
			await cluster.clock.advance(1000);
			expect(acknowledged.length, 'too few acknowledged commands for a meaningful check').to.be.greaterThan(20);
			expect(refused.length, 'too few refused commands for a meaningful check').to.be.greaterThan(5);
			expect(leader.stateMachine.values).to.include.members(acknowledged);
			expect(refused.filter(value => leader.stateMachine.values.includes(value))).to.deep.equal([]);
			expect(new Set(leader.stateMachine.values).size).to.equal(leader.stateMachine.values.length);
			for (const member of cluster.members.values()) {
				expect(member.stateMachine.values).to.deep.equal(leader.stateMachine.values);
			}
		});
	}
});
