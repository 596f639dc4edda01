/** The entry plug-in: forwards the requests of callers to agents. It keeps no durable state. */
import type {Result} from 'neverthrow';
import type {HickorytrackError} from '@hickorytrack/errors';
import type {Plugin, PluginRegistry, ProcessContext} from '@hickorytrack/kernel/plugin';
import {parseAddress} from '@hickorytrack/peer-link/peer-node';
import {ExpectedTimePlacer} from '@hickorytrack/placement';
import {AttemptRunner} from './attempt-runner.js';
import {CallerApi} from './caller-api.js';
import {EndpointDirectory} from './endpoint-directory.js';
import {WorkspaceDirectory} from './workspace-directory.js';

const crossZoneMs = 3;
/** Delay between the failing readiness check and the close of the listener, so that the load balancer notices. */
const loadBalancerDelayMs = 1000;
const drainPollIntervalMs = 25;
/** Part of the time of a stop that is left for its end when the callers have been waited for. */
const exitMarginMs = 400;
const msPerSecond = 1000;

class EntryPlugin implements Plugin {
	readonly #context: ProcessContext;
	readonly #api: CallerApi;
	readonly #endpoints: EndpointDirectory;
	readonly #workspaces: WorkspaceDirectory;
	readonly #attempts: AttemptRunner;
	/** Monotonic time at which the stop has to end, in milliseconds. */
	#stopsBy = 0;

	constructor(context: ProcessContext) {
		this.#context = context;
		const {clock, peers, control, random} = context;
		this.#workspaces = new WorkspaceDirectory(clock);
		this.#endpoints = new EndpointDirectory({clock, peers});
		this.#attempts = new AttemptRunner(context, this.#endpoints);
		control.onItems(items => {
			this.#workspaces.applyItems(items);
			this.#endpoints.applyItems(items);
		});
		control.onShares(shares => {
			this.#workspaces.setShares(shares);
		});
		control.addDemandSource(() => ({demands: this.#workspaces.collectDemand(), reports: []}));
		this.#api = new CallerApi({
			services: {
				context, control, endpoints: this.#endpoints, attempts: this.#attempts, placer: new ExpectedTimePlacer({random, crossZoneMs}),
			},
			workspaces: this.#workspaces,
			isReady: () => control.isFresh,
		});
	}

	async start(): Promise<Result<void, HickorytrackError>> {
		return this.#api.listen(parseAddress(this.#context.settings.callerListen));
	}

	async drain(signal: AbortSignal): Promise<void> {
		const {clock, settings} = this.#context;
		this.#stopsBy = clock.monotonic() + (settings.stopSeconds * msPerSecond) - exitMarginMs;
		// The second half is left for the calls that arrive at the end of the first.
		this.#api.startDraining(settings.stopSeconds * msPerSecond / 2);
		await clock.sleep(loadBalancerDelayMs, signal);
		while (!signal.aborted && this.#api.inFlight > 0) {
			await clock.sleep(drainPollIntervalMs, signal);
		}

		await this.#api.finishOpenCalls();
	}

	async stop(): Promise<void> {
		await this.#api.stop(Math.max(0, this.#stopsBy - this.#context.clock.monotonic()));
	}

	dump(): unknown {
		return {
			inFlight: this.#api.inFlight, workspaces: this.#workspaces.size, attempts: this.#attempts.openCount, endpoints: this.#endpoints.dump(),
		};
	}

	listOpenWork(): string[] {
		return this.#api.inFlight > 0 ? [`${this.#api.inFlight} requests in flight`] : [];
	}
}

/** Registers the entry role. */
export function registerEntry(registry: PluginRegistry): void {
	registry.registerRole({role: 'entry', startOrder: 3, create: context => new EntryPlugin(context)});
}
