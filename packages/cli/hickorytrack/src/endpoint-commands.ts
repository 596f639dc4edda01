/** Commands on endpoints, their roles and planned changes. */
import {randomUUID} from 'node:crypto';
import {Args, Flags} from '@oclif/core';
import {SystemClock} from '@hickorytrack/clock/system-clock';
import type {EndpointDirective, EndpointRecord, PlannedChange} from '@hickorytrack/types/control';
import {exitCodes} from './operator-client.js';
import {OperatorCommand, type ServerFlags} from './operator-command.js';

type EndpointState = {
	directive: EndpointDirective;
	isAlive: boolean;
	change?: PlannedChange;
} & EndpointRecord;

type ChangeResult = {
	revision: number;
	value: PlannedChange;
};

const changePollMs = 200;
const msPerSecond = 1000;
const endpointArgs = {endpoint: Args.string({required: true, description: 'name of the endpoint'})};
const changeFlags = {
	'change-id': Flags.string({description: 'idempotency key: a retry with the same id returns the result of the first attempt; default: a new UUID'}),
	'wait-seconds': Flags.integer({description: 'seconds to wait for the change to finish; 0: do not wait', default: 0}),
};

abstract class ChangeCommand extends OperatorCommand {
	protected async startChange(flags: ServerFlags & {'change-id'?: string; 'wait-seconds': number}, method: string, params: Record<string, unknown>): Promise<PlannedChange> {
		const changeId = flags['change-id'] ?? randomUUID();
		const {value} = await this.callServer<ChangeResult>(flags, method, {changeId, ...params});
		this.log(`Change ${changeId} was accepted.`);
		return flags['wait-seconds'] > 0 ? this.waitForChange(flags, changeId) : value;
	}

	private async waitForChange(flags: ServerFlags & {'wait-seconds': number}, changeId: string): Promise<PlannedChange> {
		const clock = new SystemClock();
		const deadline = clock.monotonic() + (flags['wait-seconds'] * msPerSecond);
		for (;;) {
			const change = await this.callServer<PlannedChange>(flags, 'change.get', {changeId});
			if (change.step === 'finished') {
				this.log(`Change ${changeId} is finished.`);
				return change;
			}

			if (change.step === 'failed' || change.step === 'cancelled') {
				this.error(`Change ${changeId} ended as ${change.step}: ${change.message}`, {exit: exitCodes.failed});
			}

			if (clock.monotonic() > deadline) {
				this.error(`Change ${changeId} did not finish within --wait-seconds; its current step is ${change.step}`, {exit: exitCodes.timedOut, suggestions: [`Run hickorytrack change show ${changeId} to follow it.`]});
			}

			await clock.sleep(changePollMs);
		}
	}
}

export class EndpointList extends OperatorCommand {
	static override description = 'List the registered endpoints.';

	async run(): Promise<unknown> {
		const {flags} = await this.parse(EndpointList);
		const result = await this.callServer<{revision: number; endpoints: EndpointState[]}>(flags, 'endpoint.list');
		this.printTable(['endpoint', 'kind', 'serves', 'role', 'phase', 'zone', 'epoch', 'alive', 'change'], result.endpoints.map(endpoint => [
			endpoint.announcement.endpoint,
			endpoint.announcement.kind,
			endpoint.announcement.names.join(','),
			endpoint.announcement.role,
			endpoint.directive.phase,
			endpoint.announcement.availabilityZone,
			endpoint.epoch,
			endpoint.isAlive,
			endpoint.change?.step,
		]));
		return result;
	}
}

export class EndpointShow extends OperatorCommand {
	static override description = 'Show one endpoint.';
	static override args = endpointArgs;

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(EndpointShow);
		const result = await this.callServer<EndpointState>(flags, 'endpoint.get', {endpoint: args.endpoint});
		this.log(JSON.stringify(result, undefined, 2));
		return result;
	}
}

export class EndpointDrain extends ChangeCommand {
	static override description = 'Drain an endpoint: take it out of service without dropping requests.';
	static override args = endpointArgs;
	static override flags = changeFlags;

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(EndpointDrain);
		return this.startChange(flags, 'change.start', {endpoint: args.endpoint, kind: 'drain'});
	}
}

export class EndpointWithdraw extends ChangeCommand {
	static override description = 'Drain an endpoint and remove its record.';
	static override args = endpointArgs;
	static override flags = changeFlags;

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(EndpointWithdraw);
		return this.startChange(flags, 'change.start', {endpoint: args.endpoint, kind: 'withdraw'});
	}
}

export class EndpointReplace extends ChangeCommand {
	static override description = 'Drain an endpoint, wait until its engine process is replaced, and put the endpoint back into service.';
	static override args = endpointArgs;
	static override flags = changeFlags;

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(EndpointReplace);
		return this.startChange(flags, 'change.start', {endpoint: args.endpoint, kind: 'replace'});
	}
}

export class EndpointRestore extends ChangeCommand {
	static override description = 'Put a drained endpoint back into service.';
	static override args = endpointArgs;
	static override flags = changeFlags;

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(EndpointRestore);
		return this.startChange(flags, 'change.start', {endpoint: args.endpoint, kind: 'restore'});
	}
}

export class EndpointLoad extends ChangeCommand {
	static override description = 'Load a model version or an adapter. The setting weights.loadsAtOnce limits concurrent loads from the weight store.';
	static override args = endpointArgs;
	static override flags = {
		...changeFlags,
		model: Flags.string({description: 'model to load', exactlyOne: ['model', 'adapter']}),
		version: Flags.string({description: 'version of the model', dependsOn: ['model']}),
		adapter: Flags.string({description: 'adapter to load'}),
	};

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(EndpointLoad);
		return this.startChange(flags, 'endpoint.load', {
			endpoint: args.endpoint, model: flags.model, version: flags.version, adapter: flags.adapter,
		});
	}
}

export class RoleSet extends ChangeCommand {
	static override description = 'Change the role of an endpoint. A role set by an operator takes precedence over the role planner.';
	static override args = {...endpointArgs, role: Args.string({required: true, options: ['mixed', 'prefill', 'decode']})};
	static override flags = {...changeFlags, pin: Flags.boolean({description: 'prevent the role planner from changing the role'})};

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(RoleSet);
		if (flags.pin) {
			await this.callServer(flags, 'role.pin', {changeId: randomUUID(), endpoint: args.endpoint, pinned: true});
		}

		return this.startChange(flags, 'role.set', {endpoint: args.endpoint, role: args.role});
	}
}

export class ChangeList extends OperatorCommand {
	static override description = 'List the open planned changes and the most recently ended ones.';

	async run(): Promise<unknown> {
		const {flags} = await this.parse(ChangeList);
		const result = await this.callServer<{changes: PlannedChange[]}>(flags, 'change.list');
		this.printTable(['change', 'kind', 'endpoint', 'step', 'by', 'message'], result.changes.map(change =>
			[change.id, change.kind, change.endpoint, change.step, change.requestedBy, change.message]));
		return result;
	}
}

export class ChangeShow extends OperatorCommand {
	static override description = 'Show one planned change.';
	static override args = {change: Args.string({required: true})};

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(ChangeShow);
		const change = await this.callServer<PlannedChange>(flags, 'change.get', {changeId: args.change});
		this.log(JSON.stringify(change, undefined, 2));
		return change;
	}
}

export class ChangeCancel extends OperatorCommand {
	static override description = 'Cancel a planned change that is still planned or draining.';
	static override args = {change: Args.string({required: true})};

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(ChangeCancel);
		const result = await this.callServer<ChangeResult>(flags, 'change.cancel', {changeId: args.change});
		this.log(`Change ${args.change} was cancelled.`);
		return result;
	}
}
