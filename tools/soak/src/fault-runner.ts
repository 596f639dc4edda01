/** Carries out the schedule of faults on processes and links. */
import type {Clock} from '@hickorytrack/clock';
import {passThroughRule, type RelayRule} from '@hickorytrack/stand-ins/relay';
import {graceMs, type EdgeProcess} from './edge-process.js';
import type {ScheduledFault} from './fault-schedule.js';
import type {Links} from './links.js';
import type {ManagedProcess} from './managed-process.js';

export type FaultRunnerOptions = {
	clock: Clock;
	edges: readonly EdgeProcess[];
	servers: readonly ManagedProcess[];
	links: Links;
};

const maxDelayMs = 250;

export class FaultRunner {
	readonly #opts: FaultRunnerOptions;
	/** Edges that are being stopped and started again. */
	readonly #restarting = new Set<EdgeProcess>();

	constructor(opts: FaultRunnerOptions) {
		this.#opts = opts;
	}

	/** Resolves once all faults have ended. */
	async run(schedule: readonly ScheduledFault[]): Promise<void> {
		await Promise.all(schedule.map(async fault => {
			await this.#opts.clock.sleep(fault.atMs);
			await this.#runFault(fault);
		}));
	}

	async #runFault({kind, target, source, durationMs}: ScheduledFault): Promise<void> {
		const {edges, servers, clock, links} = this.#opts;
		const edge = edges.find(({name}) => name === target);
		switch (kind) {
			case 'term': {
				await this.#restart(edge!, durationMs, async () => this.#terminate(edge!));
				break;
			}

			case 'kill': {
				await this.#restart(edge!, durationMs, async () => edge!.kill());
				break;
			}

			case 'kill-core': {
				await Promise.all(edges.filter(({isCore}) => isCore).map(async member => this.#restart(member, durationMs, async () => member.kill())));
				break;
			}

			case 'freeze': {
				const frozen = edge ?? servers.find(({name}) => name === target)!;
				frozen.signal('SIGSTOP');
				await clock.sleep(durationMs);
				frozen.signal('SIGCONT');
				break;
			}

			case 'reset': {
				links.resetConnections(target);
				break;
			}

			case 'stall': {
				links.stopDelivery(target);
				break;
			}

			case 'delay':
			case 'silence':
			case 'cut': {
				const removeRules = this.#addRules(target, source, createRule(kind, durationMs));
				await clock.sleep(durationMs);
				removeRules();
				break;
			}
		}
	}

	/** Applies a rule to the link between two edges in both roles, or to the link to a server. */
	#addRules(target: string, source: string | undefined, rule: RelayRule): () => void {
		const {edges, links} = this.#opts;
		const sourceEdge = edges.find(({name}) => name === source);
		const targetEdge = edges.find(({name}) => name === target);
		const removals = [links.addRule(target, sourceEdge?.ip, rule)];
		if (targetEdge) {
			const others = edges.filter(edge => edge !== targetEdge && (!sourceEdge || edge === sourceEdge));
			const reversed = {...rule, forward: rule.back, back: rule.forward};
			removals.push(...others.map(edge => links.addRule(edge.name, targetEdge.ip, reversed)));
		}

		return () => {
			for (const remove of removals) {
				remove();
			}
		};
	}

	async #restart(edge: EdgeProcess, pauseMs: number, stop: () => Promise<void>): Promise<void> {
		if (this.#restarting.has(edge)) {
			return;
		}

		this.#restarting.add(edge);
		await stop();
		await this.#opts.clock.sleep(pauseMs);
		await edge.start();
		this.#restarting.delete(edge);
	}

	/** Stops an edge as the infrastructure does: with a grace period. */
	async #terminate(edge: EdgeProcess): Promise<void> {
		const abortController = new AbortController();
		edge.signal('SIGTERM');
		const ended = edge.waitForEnd().then(() => {
			abortController.abort();
		});
		await this.#opts.clock.sleep(graceMs, abortController.signal);
		await edge.kill();
		await ended;
	}
}

function createRule(kind: 'delay' | 'silence' | 'cut', durationMs: number): RelayRule {
	switch (kind) {
		case 'delay': {
			return {...passThroughRule, delayMs: 1 + (durationMs % maxDelayMs)};
		}

		case 'silence': {
			return {...passThroughRule, [durationMs % 2 === 0 ? 'forward' : 'back']: 'hold'};
		}

		case 'cut': {
			return {...passThroughRule, forward: 'hold', back: 'hold'};
		}
	}
}
