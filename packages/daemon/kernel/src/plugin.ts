/** Plug-ins: what the kernel expects of one, what it gives to one, and the registry at which they register themselves. */
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
	/** Name of the operator's key, for the record. */
	operator: string;
	/** Processes that the call went through. */
	hops: number;
};

export type OperatorMethod = (params: unknown, caller: OperatorCaller) => Promise<OperatorReply> | OperatorReply;

/** Answers a call whose method this process does not have. */
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
	/** Finds an engine adapter by name. */
	findEngineAdapter(name: string): EngineAdapterFactory | undefined;
	/** Adds a method to the operators' interface of this process. */
	addOperatorMethod(name: string, method: OperatorMethod): void;
};

export type Plugin = {
	start(): Promise<Result<void, HickorytrackError>>;
	/** Takes no new work from now on and resolves when the work in hand is done or handed over. */
	drain(signal: AbortSignal): Promise<void>;
	stop(): Promise<void>;
	dump(): unknown;
	/** One line for each piece of work that is still open. */
	listOpenWork(): string[];
};

export type RolePlugin = {
	role: string;
	/** Plug-ins start in rising order and stop in falling order. */
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
