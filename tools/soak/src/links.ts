/**
 * The links of a run: a relay in front of each edge's peer address and of each server. Faults apply to the connections from
 * one source, known by its IP address, or to all of them. Bytes of a cut link are held, as TCP would send them again.
 */
import {connect} from 'node:net';
import type {Clock} from '@hickorytrack/clock';
import {passThroughRule, Relay, type RelayRule} from '@hickorytrack/stand-ins/relay';

export type LinkTarget = {
	name: string;
	/** Address of the process, and of the relay in front of it. */
	address: {host: string; port: number};
	relayAddress: {host: string; port: number};
};

const pollMs = 20;

export class Links {
	readonly #clock: Clock;
	readonly #relays = new Map<string, {target: LinkTarget; relay: Relay; rules: Set<{source?: string; rule: RelayRule}>; opening?: symbol; lastChange: Promise<void>}>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	add(target: LinkTarget): void {
		this.#relays.set(target.name, {
			target, relay: new Relay(target.address), rules: new Set(), lastChange: Promise.resolve(),
		});
	}

	/** Address of a process itself, past its relay. */
	getAddress(name: string): LinkTarget['address'] {
		return this.#relays.get(name)!.target.address;
	}

	/** Listens for a target as soon as the target does. */
	async open(name: string, signal: AbortSignal): Promise<void> {
		const link = this.#relays.get(name)!;
		const opening = Symbol(name);
		link.opening = opening;
		while (link.opening === opening && !signal.aborted) {
			if (!await canConnect(link.target.address)) {
				await this.#clock.sleep(pollMs, signal);
			} else if (link.opening === opening) {
				await applyChange(link, async () => link.relay.start(link.target.relayAddress));
				return;
			}
		}
	}

	/** Stops listening for a target that has ended and resets its connections. */
	async close(name: string): Promise<void> {
		const link = this.#relays.get(name)!;
		link.opening = undefined;
		await applyChange(link, async () => link.relay.stop());
	}

	/** Applies a rule to a link, until the returned function is called. */
	addRule(name: string, source: string | undefined, rule: RelayRule): () => void {
		const {relay, rules} = this.#relays.get(name)!;
		const entry = {source, rule};
		const update = () => {
			relay.setRule(connectionSource => [...rules].findLast(other => other.source === undefined || other.source === connectionSource)?.rule ?? passThroughRule);
		};

		rules.add(entry);
		update();
		return () => {
			rules.delete(entry);
			update();
		};
	}

	resetConnections(name: string): void {
		this.#relays.get(name)!.relay.resetConnections();
	}

	/** Leaves the open connections silent for good; new ones work. */
	stopDelivery(name: string): void {
		this.#relays.get(name)!.relay.stopDelivery();
	}

	async stop(): Promise<void> {
		await Promise.all([...this.#relays.keys()].map(async name => this.close(name)));
	}
}

/** A relay that is stopped while it starts would go on listening, so starts and stops wait for each other. */
async function applyChange(link: {lastChange: Promise<void>}, work: () => Promise<void>): Promise<void> {
	link.lastChange = link.lastChange.then(work);
	await link.lastChange;
}

async function canConnect(address: {host: string; port: number}): Promise<boolean> {
	return new Promise(resolve => {
		const socket = connect(address);
		socket.once('connect', () => {
			socket.destroy();
			resolve(true);
		});
		socket.once('error', () => {
			resolve(false);
		});
	});
}
