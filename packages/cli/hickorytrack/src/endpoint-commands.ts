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

type StartResult = {
	revision: number;
	value: PlannedChange;
};

const pollMs = 200;
const msPerSecond = 1000;
const endpointArgs = {endpoint: Args.string({required: true, description: 'name of the endpoint'})};
const changeFlags = {
	'change-id': Flags.string({description: 'id under which a resend gets the first answer again; default: a new one'}),
	'wait-seconds': Flags.integer({description: 'wait for the end of the change', default: 0}),
};

abstract class ChangeCommand extends OperatorCommand {
	protected async startChange(flags: ServerFlags & {'change-id'?: string; 'wait-seconds': number}, method: string, params: Record<string, unknown>): Promise<PlannedChange> {
		const changeId = flags['change-id'] ?? randomUUID();
		const {value} = await this.callServer<StartResult>(flags, method, {changeId, ...params});
		this.log(`Change ${changeId} is accepted.`);
		return flags['wait-seconds'] > 0 ? this.waitForEnd(flags, changeId) : value;
	}

	private async waitForEnd(flags: ServerFlags & {'wait-seconds': number}, changeId: string): Promise<PlannedChange> {
		const clock = new SystemClock();
		const until = clock.monotonic() + (flags['wait-seconds'] * msPerSecond);
		for (;;) {
			const change = await this.callServer<PlannedChange>(flags, 'change.get', {changeId});
			if (change.step === 'finished') {
				this.log(`Change ${changeId} is finished.`);
				return change;
			}

			if (change.step === 'failed' || change.step === 'cancelled') {
				this.error(`Change ${changeId} is ${change.step}: ${change.message}`, {exit: exitCodes.failed});
			}

			if (clock.monotonic() > until) {
				this.error(`Change ${changeId} is still at ${change.step}`, {exit: exitCodes.timedOut, suggestions: [`See hickorytrack change show ${changeId}.`]});
			}

			await clock.sleep(pollMs);
		}
	}
}

export class EndpointList extends OperatorCommand {
	static override description = 'List the endpoints that have announced themselves.';

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
	static override description = 'Take an endpoint out of service without cutting a request.';
	static override args = endpointArgs;
	static override flags = changeFlags;

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(EndpointDrain);
		return this.startChange(flags, 'change.start', {endpoint: args.endpoint, kind: 'drain'});
	}
}

export class EndpointWithdraw extends ChangeCommand {
	static override description = 'Drain an endpoint and forget it.';
	static override args = endpointArgs;
	static override flags = changeFlags;

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(EndpointWithdraw);
		return this.startChange(flags, 'change.start', {endpoint: args.endpoint, kind: 'withdraw'});
	}
}

export class EndpointReplace extends ChangeCommand {
	static override description = 'Drain an endpoint, wait for a new engine process behind it, and serve again.';
	static override args = endpointArgs;
	static override flags = changeFlags;

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(EndpointReplace);
		return this.startChange(flags, 'change.start', {endpoint: args.endpoint, kind: 'replace'});
	}
}

export class EndpointRestore extends ChangeCommand {
	static override description = 'Put a drained endpoint into service again.';
	static override args = endpointArgs;
	static override flags = changeFlags;

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(EndpointRestore);
		return this.startChange(flags, 'change.start', {endpoint: args.endpoint, kind: 'restore'});
	}
}

export class EndpointLoad extends ChangeCommand {
	static override description = 'Load a model version or an adapter, within the fleet\'s budget for the weight store.';
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
	static override description = 'Change the role of an endpoint. An order of an operator goes before the planner.';
	static override args = {...endpointArgs, role: Args.string({required: true, options: ['mixed', 'prefill', 'decode']})};
	static override flags = {...changeFlags, pin: Flags.boolean({description: 'keep the planner from changing it again'})};

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(RoleSet);
		if (flags.pin) {
			await this.callServer(flags, 'role.pin', {changeId: randomUUID(), endpoint: args.endpoint, pinned: true});
		}

		return this.startChange(flags, 'role.set', {endpoint: args.endpoint, role: args.role});
	}
}

export class ChangeList extends OperatorCommand {
	static override description = 'List planned changes, the open and the newest ended ones.';

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
	static override description = 'Cancel a planned change that has not passed its point of no return.';
	static override args = {change: Args.string({required: true})};

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(ChangeCancel);
		const result = await this.callServer<StartResult>(flags, 'change.cancel', {changeId: args.change});
		this.log(`Change ${args.change} is cancelled.`);
		return result;
	}
}
