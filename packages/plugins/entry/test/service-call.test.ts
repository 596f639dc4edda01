import {expect} from 'chai';
import {ok} from 'neverthrow';
import {SystemClock} from '@hickorytrack/clock/system-clock';
import type {Claim, ClaimReadResult, ClaimRequest} from '@hickorytrack/types/claim';
import type {GenerationServices} from '../src/generation-call.js';
import {ServiceCall, type ServiceRequest} from '../src/service-call.js';

const answer = {status: 200, contentType: 'text/plain', body: 'done'};

/** Runs a call whose only attempt is refused, and whose claim is then read with these changes; without any, it can't be read. */
async function runRefusedCall(changes?: Partial<Claim>) {
	let claim: Claim | undefined;
	const handle = {endpoint: 'e1', record: {agentIncarnation: 'i1'}};
	const services = {
		context: {
			clock: new SystemClock(), settings: {requestTimeoutMs: 5000, instance: 'entry-1', availabilityZone: 'z'}, events: {emit() {/* Not checked. */}}, steps: {async onStep() {/* No faults here. */}},
		},
		control: {
			revision: 1,
			async propose(command: {kind: string; request: ClaimRequest}) {
				if (command.kind === 'open-claim') {
					claim = {
						...command.request, state: 'open', attemptNumber: 1, openedAt: 0, expiresAt: 60_000,
					};
				}

				return ok({ok: true, value: {granted: true, claim}});
			},
			readClaim: async (): Promise<ClaimReadResult> => changes ? {kind: 'found', claim: {...claim!, ...changes}} : {kind: 'unknown'},
		},
		endpoints: {listUsable: () => [handle], createCandidate: () => ({})},
		attempts: {createAttemptId: () => 'attempt-1', run: async () => ({kind: 'refused', reason: 'tombstone'})},
		placer: {rank: () => [handle]},
	} as unknown as GenerationServices;
	const workspace = {contract: {workspace: 'w', answerRetentionSeconds: 60}, retryBudget: {acquire: () => false}} as unknown as ServiceRequest['workspace'];
	const request: ServiceRequest = {
		requestId: 'r', workspace, service: 's', method: 'POST', path: '/', contentType: 'text/plain', body: 'b', repeatable: false, key: 'k', fingerprint: 'f',
	};
	return new ServiceCall(services, request, new AbortController().signal).run();
}

describe('service call under a claim', () => {
	// Guards against 'not-run' for a call that another entry runs: that entry took the claim over while the attempt of this one was delayed.
	it('returns the answer of the sending that took the claim over, and says not-run only of a claim that is free', async () => {
		const taken = await runRefusedCall({state: 'answered', attempt: 'attempt-2', answer});
		expect(taken).to.deep.equal({kind: 'answer', answer, replayed: true});
		const running = await runRefusedCall({state: 'open', attempt: 'attempt-2'});
		expect(running.kind === 'refused' && running.problem).to.include({status: 409, run: 'may-have-run'});
		const unknown = await runRefusedCall();
		expect(unknown.kind === 'refused' && unknown.problem).to.include({code: 'overloaded', run: 'may-have-run'});
		const free = await runRefusedCall({state: 'not-run'});
		expect(free.kind === 'refused' && free.problem).to.include({code: 'overloaded', run: 'not-run'});
	});
});
