/** Carries out the schedule of faults on processes and links. */
import {request} from 'undici';
import {waitWithTimeout, type Clock} from '@hickorytrack/clock';
import {passThroughRule, type RelayRule} from '@hickorytrack/stand-ins/relay';
import {edgePorts, graceMs, type EdgeProcess} from './edge-process.js';
import {leaderTarget, type ScheduledFault} from './fault-schedule.js';
import {floodEdge} from './flood.js';
import type {Links} from './links.js';
import type {ManagedProcess} from './managed-process.js';
import type {Disturbance, RuleCase} from './records.js';
import {hushPath} from './soak-server.js';

export type FaultRunnerOptions = {
	clock: Clock;
	edges: readonly EdgeProcess[];
	servers: readonly ManagedProcess[];
	links: Links;
	waitForAcknowledgement: () => Promise<void>;
};

/** These strike all connections to their target, whatever source was drawn. */
const strikesAll: ReadonlySet<string> = new Set(['reset', 'stall', 'freeze', 'hush', 'term', 'kill', 'kill-core', 'kill-all', 'release', 'kill-acknowledged', 'flood']);
const maxDelayMs = 250;
/** All edges are back while callers still wait, so that they take their streams up. */
const maxPowerLossMs = 500;
const hushTimeoutMs = 200;
const stateTimeoutMs = 500;

export class FaultRunner {
	readonly disturbances: Disturbance[] = [];
	/** Rules that an edge broke under a fault. */
	readonly cases: RuleCase[] = [];
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
			const target = fault.target === leaderTarget ? await findLeader(this.#opts.edges) : fault.target;
			const from = this.#opts.clock.now();
			if (target !== undefined && await this.#runFault({...fault, target})) {
				this.disturbances.push({
					kind: fault.kind, target, source: strikesAll.has(fault.kind) ? undefined : fault.source, from, until: this.#opts.clock.now(),
				});
			}
		}));
	}

	/** Returns true if the fault was carried out; ends of processes are recorded elsewhere. */
	async #runFault({kind, target, source, durationMs}: ScheduledFault): Promise<boolean> {
		const {edges, servers, clock, links} = this.#opts;
		const edge = edges.find(({name}) => name === target);
		switch (kind) {
			case 'term': {
				return this.#restart(edge!, durationMs, async () => this.#terminate(edge!));
			}

			case 'kill': {
				return this.#restart(edge!, durationMs, async () => this.#kill(edge!));
			}

			case 'kill-core': {
				await Promise.all(edges.filter(({isCore}) => isCore).map(async member => this.#restart(member, durationMs, async () => this.#kill(member))));
				return true;
			}

			case 'flood': {
				this.cases.push(...await floodEdge(edge!, durationMs, clock));
				return true;
			}

			case 'kill-acknowledged':
			case 'kill-all': {
				if (kind === 'kill-acknowledged') {
					await waitWithTimeout(this.#opts.waitForAcknowledgement(), durationMs, clock);
				}

				const pauseMs = Math.min(durationMs, maxPowerLossMs);
				await Promise.all(edges.map(async member => this.#restart(member, pauseMs, async () => this.#kill(member))));
				return true;
			}

			case 'release': {
				for (const server of servers) {
					const from = clock.now();
					const ended = server.waitForEnd();
					server.signal('SIGTERM');
					await ended;
					this.disturbances.push({
						kind: 'end', target: server.name, from, until: clock.now(),
					});
					await server.start();
					await clock.sleep(durationMs / servers.length);
				}

				return true;
			}

			case 'freeze': {
				const frozen = edge ?? servers.find(({name}) => name === target)!;
				frozen.signal('SIGSTOP');
				await clock.sleep(durationMs);
				frozen.signal('SIGCONT');
				return true;
			}

			case 'hush': {
				const isCarriedOut = await startSilence(links.getAddress(target), durationMs);
				await clock.sleep(durationMs);
				return isCarriedOut;
			}

			case 'reset': {
				links.resetConnections(target);
				return true;
			}

			case 'stall': {
				links.stopDelivery(target);
				return true;
			}

			case 'delay':
			case 'silence':
			case 'cut': {
				const removeRules = this.#addRules(target, source, createRule(kind, durationMs));
				await clock.sleep(durationMs);
				removeRules();
				return true;
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

	async #restart(edge: EdgeProcess, pauseMs: number, stop: () => Promise<void>): Promise<boolean> {
		if (this.#restarting.has(edge)) {
			return false;
		}

		this.#restarting.add(edge);
		await stop();
		await this.#opts.clock.sleep(pauseMs);
		await edge.start();
		this.#restarting.delete(edge);
		return true;
	}

	async #kill(edge: EdgeProcess): Promise<void> {
		const {clock} = this.#opts;
		const from = clock.now();
		await edge.kill();
		this.disturbances.push({
			kind: 'end', target: edge.name, from, until: clock.now(),
		});
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

/** Returns the name of the edge that leads the core, if an edge knows it. */
async function findLeader(edges: readonly EdgeProcess[]): Promise<string | undefined> {
	for (const {controlAddress} of edges) {
		try {
			const {body} = await request(`http://${controlAddress}/state`, {reset: true, headersTimeout: stateTimeoutMs, bodyTimeout: stateTimeoutMs});
			const {configuration} = await body.json() as {configuration?: {leader?: string}};
			const leader = edges.find(({ip}) => configuration?.leader === `${ip}:${edgePorts.peer}`);
			if (leader) {
				return leader.name;
			}
		} catch {
			// It ends, starts or stands still.
		}
	}

	return undefined;
}

/** Makes a server silent. Returns false if it doesn't run. */
async function startSilence({host, port}: {host: string; port: number}, durationMs: number): Promise<boolean> {
	try {
		const {body} = await request(`http://${host}:${port}${hushPath}${durationMs}`, {
			method: 'POST', reset: true, headersTimeout: hushTimeoutMs, bodyTimeout: hushTimeoutMs,
		});
		await body.dump();
		return true;
	} catch {
		return false;
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
