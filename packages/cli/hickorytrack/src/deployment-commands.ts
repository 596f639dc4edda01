/** Commands on the deployment as a whole: status, settings, quarantine, controllers, state and events. */
import {randomUUID} from 'node:crypto';
import {Args, Flags} from '@oclif/core';
import {SystemClock} from '@hickorytrack/clock/system-clock';
import type {QuarantineEntry} from '@hickorytrack/types/control';
import {OperatorCommand} from './operator-command.js';

type SettingState = {
	name: string;
	value: string | number | boolean;
	version: number;
	description: string;
};

type LoggedEvent = {
	sequence: number;
	at: number;
	number: number;
	name: string;
	text: string;
	fields: Record<string, unknown>;
};

type StatusResult = {
	revision: number;
	leader: string;
	endpoints: number;
	contracts: number;
	claims: number;
	quarantine: number;
	openChanges: unknown[];
	log: {term: number; commitIndex: number};
	subscribers: Array<{instance: string; roles: string[]; availabilityZone: string; revision: number}>;
};

const tailPollMs = 500;

export class Status extends OperatorCommand {
	static override description = 'Show the leader, the current revision and the revision of each subscriber.';

	async run(): Promise<unknown> {
		const {flags} = await this.parse(Status);
		const status = await this.callServer<StatusResult>(flags, 'status.get');
		this.log(`leader ${status.leader}, term ${status.log.term}, revision ${status.revision}`);
		this.log(`${status.contracts} contracts, ${status.endpoints} endpoints, ${status.openChanges.length} open changes, ${status.claims} claims, ${status.quarantine} suspect or quarantined`);
		this.printTable(['instance', 'roles', 'zone', 'revision'], status.subscribers.map(subscriber => [subscriber.instance, subscriber.roles.join(','), subscriber.availabilityZone, subscriber.revision]));
		return status;
	}
}

export class ConfigGet extends OperatorCommand {
	static override description = 'Show the settings of the deployment, or one of them.';
	static override args = {name: Args.string()};

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(ConfigGet);
		const {settings} = await this.callServer<{settings: SettingState[]}>(flags, 'config.list');
		const shown = args.name === undefined ? settings : settings.filter(setting => setting.name === args.name);
		if (shown.length === 0) {
			this.error(`Unknown setting: ${args.name}`, {exit: 3, suggestions: ['Run hickorytrack config get to list the settings.']});
		}

		this.printTable(['setting', 'value', 'version', 'meaning'], shown.map(setting => [setting.name, setting.value, setting.version, setting.description]));
		return shown;
	}
}

export class ConfigSet extends OperatorCommand {
	static override description = 'Change a setting of the deployment.';
	static override args = {name: Args.string({required: true}), value: Args.string({required: true})};
	static override flags = {'change-id': Flags.string({description: 'idempotency key: a retry with the same id returns the result of the first attempt; default: a new UUID'}), 'expect-version': Flags.integer({description: 'version that the setting must have, otherwise the change is refused; default: the current version'})};

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(ConfigSet);
		const {settings} = await this.callServer<{settings: SettingState[]}>(flags, 'config.list');
		const current = settings.find(setting => setting.name === args.name);
		const result = await this.callServer<{revision: number}>(flags, 'config.set', {
			changeId: flags['change-id'] ?? randomUUID(), expectedVersion: flags['expect-version'] ?? current?.version ?? 0, name: args.name, value: convertValue(args.value, current?.value),
		});
		this.log(`Setting ${args.name} was accepted at revision ${result.revision}.`);
		return result;
	}
}

export class QuarantineList extends OperatorCommand {
	static override description = 'List the requests that are suspected of crashing endpoints, or quarantined for it.';

	async run(): Promise<unknown> {
		const {flags} = await this.parse(QuarantineList);
		const result = await this.callServer<{entries: QuarantineEntry[]}>(flags, 'quarantine.list');
		this.printTable(['fingerprint', 'workspace', 'state', 'crashes', 'until'], result.entries.map(entry =>
			[entry.fingerprint, entry.workspace, entry.state, entry.crashes, new Date(entry.until).toISOString()]));
		return result;
	}
}

export class QuarantineLift extends OperatorCommand {
	static override description = 'Lift the suspicion or quarantine of a request so that it can run again.';
	static override args = {fingerprint: Args.string({required: true})};

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(QuarantineLift);
		const result = await this.callServer(flags, 'quarantine.lift', {changeId: randomUUID(), fingerprint: args.fingerprint});
		this.log(`Request ${args.fingerprint} may run again.`);
		return result;
	}
}

export class ControllerList extends OperatorCommand {
	static override description = 'List the controllers and the last log index that each has synced.';

	async run(): Promise<unknown> {
		const {flags} = await this.parse(ControllerList);
		const result = await this.callServer<{leader: string; members: Array<{id: string; address: string; voter: boolean; matchIndex: number}>}>(flags, 'controller.list');
		this.printTable(['controller', 'address', 'votes', 'leads', 'synced'], result.members.map(member => [member.id, member.address, member.voter, member.id === result.leader, member.matchIndex]));
		return result;
	}
}

export class ControllerAdd extends OperatorCommand {
	static override description = 'Add a controller that was started with --join true.';
	static override args = {id: Args.string({required: true}), address: Args.string({required: true, description: 'value of its --peer-listen flag'})};

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(ControllerAdd);
		const result = await this.callServer(flags, 'controller.add', args);
		this.log(`Controller ${args.id} has replicated the whole log and is a voting member.`);
		return result;
	}
}

export class ControllerRemove extends OperatorCommand {
	static override description = 'Remove a controller.';
	static override args = {id: Args.string({required: true})};

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(ControllerRemove);
		const result = await this.callServer(flags, 'controller.remove', args);
		this.log(`Controller ${args.id} was removed.`);
		return result;
	}
}

export class ControllerReplace extends OperatorCommand {
	static override description = 'Restore the vote of a controller that lost its disk, once it has replicated the whole log again.';
	static override args = {id: Args.string({required: true})};

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(ControllerReplace);
		const result = await this.callServer(flags, 'controller.replace', args);
		this.log(`Controller ${args.id} has replicated the whole log and is a voting member again.`);
		return result;
	}
}

export class StateDump extends OperatorCommand {
	static override description = 'Dump the state of the process at --server, without its secrets.';

	async run(): Promise<unknown> {
		const {flags} = await this.parse(StateDump);
		const state = await this.callServer(flags, 'state.dump');
		this.log(JSON.stringify(state, undefined, 2));
		return state;
	}
}

export class Tail extends OperatorCommand {
	static override description = 'Show the newest events of the process at --server.';
	static override flags = {follow: Flags.boolean({char: 'f', description: 'keep printing new events until interrupted'})};

	async run(): Promise<unknown> {
		const {flags} = await this.parse(Tail);
		const clock = new SystemClock();
		let since = 0;
		for (;;) {
			const {events} = await this.callServer<{events: LoggedEvent[]}>(flags, 'events.list', {since});
			for (const event of events) {
				since = event.sequence;
				this.log(`${new Date(event.at).toISOString()} ${event.number} ${event.text} ${JSON.stringify(event.fields)}`);
			}

			if (!flags.follow) {
				return events;
			}

			await clock.sleep(tailPollMs);
		}
	}
}

/** Converts a command-line argument to the type of the setting's current value. */
function convertValue(argument: string, currentValue: string | number | boolean | undefined): string | number | boolean {
	if (typeof currentValue === 'number') {
		return Number(argument);
	}

	return typeof currentValue === 'boolean' ? argument === 'true' : argument;
}
