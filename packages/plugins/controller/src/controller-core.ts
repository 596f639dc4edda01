/** Shared by the parts of the controller: the replicated log, its state machine and the connection to the leader. */
import {setMaxListeners} from 'node:events';
import type {Result} from 'neverthrow';
import type {ProcessContext} from '@hickorytrack/kernel/plugin';
import type {ReplicatedLog} from '@hickorytrack/replicated-log';
import type {ReplicatedLogError} from '@hickorytrack/replicated-log/member-state';
import type {ControlState} from '@hickorytrack/control-state';
import type {CommandOutcome, ControlCommand} from '@hickorytrack/types/control';
import type {ProposeReply} from '@hickorytrack/types/peer-methods';
import type {PeerConnection} from '@hickorytrack/peer-link/peer-connection';
import type {PeerMemberTransport} from './member-transport.js';

const leaderTimeoutMs = 2500;
const leaderPollIntervalMs = 25;
const forwardTimeoutMs = 5000;

export type ControllerCoreOptions = {
	context: ProcessContext;
	log: ReplicatedLog;
	state: ControlState;
	transport: PeerMemberTransport;
};

export class ControllerCore {
	readonly context: ProcessContext;
	readonly log: ReplicatedLog;
	readonly state: ControlState;
	readonly transport: PeerMemberTransport;
	readonly stopped = new AbortController();

	constructor(opts: ControllerCoreOptions) {
		// Every running change sleeps with this signal, so the number of its listeners is not limited.
		setMaxListeners(0, this.stopped.signal);
		this.context = opts.context;
		this.log = opts.log;
		this.state = opts.state;
		this.transport = opts.transport;
	}

	/** Proposes a command locally when this member leads, otherwise through the leader. */
	async propose(command: ControlCommand, opts: {forwarded?: boolean} = {}): Promise<ProposeReply> {
		const {clock} = this.context;
		const deadline = clock.monotonic() + leaderTimeoutMs;
		while (clock.monotonic() < deadline && !this.stopped.signal.aborted) {
			if (this.log.isLeader) {
				return this.#proposeLocally(command);
			}

			const connection = opts.forwarded ? undefined : this.findLeaderConnection();
			if (connection) {
				const reply = await connection.request('control.propose', {command, forwarded: true}, {timeoutMs: forwardTimeoutMs});
				if (reply.isOk() && !(reply.value.kind === 'unavailable' && reply.value.applied === 'no')) {
					return reply.value;
				}

				if (reply.isErr() && reply.error.sent) {
					return {kind: 'unavailable', applied: 'unknown', message: reply.error.message};
				}
			}

			if (opts.forwarded) {
				break;
			}

			await clock.sleep(leaderPollIntervalMs, this.stopped.signal);
		}

		return {kind: 'unavailable', applied: 'no', message: 'The controllers have no leader'};
	}

	/** Proposes a command locally; returns its outcome, or `undefined` when it was not acknowledged. */
	async proposeAsLeader(command: ControlCommand): Promise<CommandOutcome | undefined> {
		const reply = await this.#proposeLocally(command);
		return reply.kind === 'outcome' ? reply.outcome : undefined;
	}

	findLeaderConnection(): PeerConnection | undefined {
		const {leader} = this.log;
		const member = this.log.getStatus().members.find(candidate => candidate.id === leader);
		return member && member.id !== this.log.id ? this.transport.getLink(member.address).connection : undefined;
	}

	async readBarrier(): Promise<Result<number, ReplicatedLogError>> {
		return this.log.readBarrier({timeoutMs: leaderTimeoutMs});
	}

	async #proposeLocally(command: ControlCommand): Promise<ProposeReply> {
		const {clock, steps, metrics, settings} = this.context;
		const startedAt = clock.monotonic();
		await steps.onStep('control.proposed', settings.instance);
		// The leader's wall-clock time is part of the command, so that every member applies the same timestamp.
		const timestamped = 'at' in command ? {...command, at: clock.now()} : command;
		const result = await this.log.propose(timestamped);
		metrics.time('controller.commit_ms', clock.monotonic() - startedAt);
		if (result.isErr()) {
			return {kind: 'unavailable', applied: result.error.applied, message: result.error.message};
		}

		await steps.onStep('control.committed', settings.instance);
		return {kind: 'outcome', outcome: result.value as CommandOutcome};
	}
}
