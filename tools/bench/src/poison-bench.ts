/** `poison`: one request that crashes every engine that runs it, resent without end through all entries, beside innocent streams. */
import type {Clock} from '@hickorytrack/clock';
import {FaultFleet} from '@hickorytrack/faults/fault-fleet';
import {createObservations} from '@hickorytrack/faults/observations';
import {
	putContract, runGeneration, waitUntil, waitUntilServing,
} from '@hickorytrack/faults/operations';
import {crashMarker} from '@hickorytrack/stand-ins/model-engine';
import {round} from './placement-bench.js';

const benchMs = 12_000;
const resendMs = 100;

export async function benchPoison(seed: number, {clock}: {clock: Clock}): Promise<Record<string, unknown>> {
	const fleet = new FaultFleet({clock, slot: 40, seed});
	const seen = createObservations();
	const poison = createObservations();
	try {
		await fleet.start();
		await waitUntil(clock, () => fleet.findLeader() !== undefined);
		const names = fleet.instances.map(instance => instance.name);
		await putContract(fleet, seen, {share: 1, expectedVersion: 0, instances: [...names, ...names]});
		await waitUntilServing(fleet);
		const startedAt = performance.now();
		let quarantinedAt: number | undefined;
		const resend = async () => {
			for (let index = 0; performance.now() - startedAt < benchMs; index++) {
				await runGeneration(fleet, poison, {entry: names[index % names.length]!, prompt: `${crashMarker} classify this`, maxTokens: 200});
				if (quarantinedAt === undefined && poison.generations.at(-1)!.record.refusal?.code === 'quarantined') {
					quarantinedAt = performance.now();
				}

				await new Promise(resolve => {
					setTimeout(resolve, resendMs);
				});
			}
		};

		const work = async (worker: number) => {
			for (let index = 0; performance.now() - startedAt < benchMs; index++) {
				await runGeneration(fleet, seen, {entry: names[worker % names.length]!, prompt: `innocent ${worker} ${index}`, maxTokens: 120});
			}
		};

		await Promise.all([resend(), ...Array.from({length: 9}, async (_, worker) => work(worker))]);
		const crashes = [...fleet.engines.values()].map(engine => engine.crashes).reduce((sum, count) => sum + count, 0);
		const lost = seen.generations.filter(one => one.record.outcome !== 'answered');
		return {
			crashes,
			innocentLost: lost.length,
			innocentAnswered: seen.generations.length - lost.length,
			lostAs: lost.map(one => one.record.refusal?.code ?? one.record.detail ?? one.record.outcome),
			poisonSent: poison.generations.length,
			secondsToQuarantine: quarantinedAt === undefined ? undefined : round((quarantinedAt - startedAt) / 1000),
		};
	} finally {
		await fleet.stop();
	}
}
