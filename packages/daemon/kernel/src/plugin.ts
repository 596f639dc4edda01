/** Plug-ins: the interface that a plug-in implements, the context that the kernel passes to it, and the plug-in registry. */
import type {Result} from 'neverthrow';
import type {Clock} from '@hickorytrack/clock';
import type {ControlClient} from '@hickorytrack/control-client';
import type {HickorytrackError} from '@hickorytrack/errors';
import type {EventLog} from '@hickorytrack/events';
import type {Metrics} from '@hickorytrack/events/metrics';
import type {PeerNode} from '@hickorytrack/peer-link/peer-node';
import type {Random} from '@hickorytrack/random';
import type {DaemonSettings} from '@hickorytrack/settings';
import type {StepPoints} from '@hickorytrack/step-points';
import type {EngineAdapterFactory} from '@hickorytrack/types/engine-adapter';
import type {OperatorReply, PeerMember} from '@hickorytrack/types/peer-methods';

export type OperatorCaller = {
	/** Name of the operator's key, recorded with the changes that the operator requests. */
	operator: string;
	/** Number of processes that have forwarded the call. */
	hops: number;
};

export type OperatorMethod = (params: unknown, caller: OperatorCaller) => Promise<OperatorReply> | OperatorReply;

/** Handles a call of a method that this process does not have. */
export type OperatorFallback = (method: string, params: unknown, caller: OperatorCaller) => Promise<OperatorReply>;

export type ProcessContext = {
	settings: DaemonSettings;
	clock: Clock;
	random: Random;
	events: EventLog;
	metrics: Metrics;
	peers: PeerNode;
	/** The connection to the controllers, shared by the entry and the agent of this process. */
	control: ControlClient;
	steps: StepPoints;
	member: PeerMember;
	findEngineAdapter(name: string): EngineAdapterFactory | undefined;
	/** Adds a method to the operator API of this process. */
	addOperatorMethod(name: string, method: OperatorMethod): void;
};

export type Plugin = {
	start(): Promise<Result<void, HickorytrackError>>;
	/** Rejects new work from now on; resolves when the work in progress is finished or handed over. */
	drain(signal: AbortSignal): Promise<void>;
	stop(): Promise<void>;
	dump(): unknown;
	/** Returns one line for each unit of work that is still open. */
	listOpenWork(): string[];
};

export type RolePlugin = {
	role: string;
	/** Plug-ins start in ascending order and stop in descending order. */
	startOrder: number;
	create(context: ProcessContext): Plugin;
};

export class PluginRegistry {
	readonly #roles = new Map<string, RolePlugin>();
	readonly #adapters = new Map<string, EngineAdapterFactory>();

	registerRole(plugin: RolePlugin): void {
		this.#roles.set(plugin.role, plugin);
	}

	registerEngineAdapter(factory: EngineAdapterFactory): void {
		this.#adapters.set(factory.name, factory);
	}

	findRole(role: string): RolePlugin | undefined {
		return this.#roles.get(role);
	}

	findEngineAdapter(name: string): EngineAdapterFactory | undefined {
		return this.#adapters.get(name);
	}
}
