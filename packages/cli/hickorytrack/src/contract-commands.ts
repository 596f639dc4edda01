/** Commands on contracts. */
import {randomUUID} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {Args, Flags} from '@oclif/core';
import {SystemClock} from '@hickorytrack/clock/system-clock';
import {parseContract} from '@hickorytrack/contract-schema';
import type {Contract} from '@hickorytrack/types/contract';
import {formatDifferences} from './output.js';
import {exitCodes} from './operator-client.js';
import {OperatorCommand, type ServerFlags} from './operator-command.js';

type VersionedContract = {
	version: number;
	contract: Contract;
};

type WriteResult = {
	revision: number;
	value: {workspace: string; version: number};
};

type ForceResult = {
	isInForce: boolean;
	missing: string[];
	subscribers: number;
};

const forcePollMs = 200;
const msPerSecond = 1000;

abstract class ContractCommand extends OperatorCommand {
	/** Reads and checks a file; every fault is printed with its line and nothing is written. */
	protected async readFile(path: string): Promise<Contract> {
		const text = path === '-' ? await readStandardInput() : await readFile(path, 'utf8').catch((error: unknown) => this.error(`Can't read ${path}: ${String(error)}`, {exit: exitCodes.usage}));
		const parsed = parseContract(text);
		if (parsed.isErr()) {
			const faults = parsed.error.faults.map(fault => `  ${path}:${fault.line ?? '?'}: ${fault.path || '(file)'}: ${fault.message}`);
			this.error(`${parsed.error.message}; nothing was written\n${faults.join('\n')}`, {code: parsed.error.code, exit: exitCodes.refused, suggestions: [parsed.error.hint ?? '']});
		}

		return parsed._unsafeUnwrap();
	}

	protected async findContract(flags: ServerFlags, workspace: string): Promise<VersionedContract | undefined> {
		const {contracts} = await this.callServer<{contracts: VersionedContract[]}>(flags, 'contract.list');
		return contracts.find(held => held.contract.workspace === workspace);
	}

	/** Waits until every entry and agent has confirmed the revision. */
	protected async waitUntilInForce(flags: ServerFlags, revision: number, seconds: number): Promise<void> {
		const clock = new SystemClock();
		const until = clock.monotonic() + (seconds * msPerSecond);
		for (;;) {
			const force = await this.callServer<ForceResult>(flags, 'force.get', {revision});
			if (force.isInForce) {
				this.log(`In force at all ${force.subscribers} entries and agents.`);
				return;
			}

			if (clock.monotonic() > until) {
				this.error(`Accepted, but not confirmed by ${force.missing.join(', ')}`, {exit: exitCodes.timedOut, suggestions: ['An instance that is down takes it over when it returns.']});
			}

			await clock.sleep(forcePollMs);
		}
	}
}

const changeFlags = {
	'change-id': Flags.string({description: 'id under which a resend gets the first answer again; default: a new one'}),
	'expect-version': Flags.integer({description: 'version the change expects; default: the one in force'}),
	'wait-seconds': Flags.integer({description: 'wait until the change is in force everywhere', default: 0}),
};

export class ContractApply extends ContractCommand {
	static override description = 'Check a contract file, show the difference and put it in force.';
	static override flags = {
		file: Flags.string({char: 'f', description: 'YAML or JSON file, - for standard input', required: true}),
		'dry-run': Flags.boolean({description: 'only show the difference'}),
		...changeFlags,
	};

	async run(): Promise<unknown> {
		const {flags} = await this.parse(ContractApply);
		const contract = await this.readFile(flags.file);
		const held = await this.findContract(flags, contract.workspace);
		const difference = formatDifferences(held?.contract ?? {}, contract);
		this.log(difference.length > 0 ? difference.join('\n') : 'No difference.');
		if (flags['dry-run'] || difference.length === 0) {
			return {difference, written: false};
		}

		const written = await this.callServer<WriteResult>(flags, 'contract.put', {
			changeId: flags['change-id'] ?? randomUUID(), expectedVersion: flags['expect-version'] ?? held?.version ?? await this.findLastVersion(flags, contract.workspace), workspace: contract.workspace, contract,
		});
		this.log(`Contract of ${contract.workspace} is accepted as version ${written.value.version}, revision ${written.revision}.`);
		if (flags['wait-seconds'] > 0) {
			await this.waitUntilInForce(flags, written.revision, flags['wait-seconds']);
		}

		return {difference, written: true, ...written};
	}

	private async findLastVersion(flags: ServerFlags, workspace: string): Promise<number> {
		const {versions} = await this.callServer<{versions: Array<{version: number}>}>(flags, 'contract.history', {workspace});
		return versions.at(-1)?.version ?? 0;
	}
}

export class ContractRemove extends ContractCommand {
	static override description = 'Remove the contract of a workspace; its requests are refused from then on.';
	static override args = {workspace: Args.string({required: true})};
	static override flags = changeFlags;

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(ContractRemove);
		const held = await this.callServer<VersionedContract>(flags, 'contract.get', {workspace: args.workspace});
		const written = await this.callServer<WriteResult>(flags, 'contract.put', {
			changeId: flags['change-id'] ?? randomUUID(), expectedVersion: flags['expect-version'] ?? held.version, workspace: args.workspace,
		});
		this.log(`Contract of ${args.workspace} is removed, revision ${written.revision}.`);
		return written;
	}
}

export class ContractGet extends ContractCommand {
	static override description = 'Show the contract of a workspace.';
	static override args = {workspace: Args.string({required: true})};

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(ContractGet);
		const held = await this.callServer<VersionedContract>(flags, 'contract.get', {workspace: args.workspace});
		this.log(JSON.stringify(held, undefined, 2));
		return held;
	}
}

export class ContractList extends ContractCommand {
	static override description = 'List the contracts in force.';

	async run(): Promise<unknown> {
		const {flags} = await this.parse(ContractList);
		const result = await this.callServer<{revision: number; contracts: VersionedContract[]}>(flags, 'contract.list');
		this.printTable(['workspace', 'version', 'priority', 'share', 'requests/s', 'models'], result.contracts.map(({version, contract}) =>
			[contract.workspace, version, contract.priority, contract.share, contract.limits.requestsPerSecond, contract.models.join(',')]));
		return result;
	}
}

export class ContractHistory extends ContractCommand {
	static override description = 'List the versions of a contract.';
	static override args = {workspace: Args.string({required: true})};

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(ContractHistory);
		const result = await this.callServer<{versions: Array<{version: number; revision: number; changeId: string; contract?: Contract}>}>(flags, 'contract.history', {workspace: args.workspace});
		this.printTable(['version', 'revision', 'change', 'state'], result.versions.map(entry => [entry.version, entry.revision, entry.changeId, entry.contract ? 'written' : 'removed']));
		return result;
	}
}

export class ContractDiff extends ContractCommand {
	static override description = 'Show how a contract file differs from what is in force.';
	static override flags = {file: Flags.string({char: 'f', description: 'YAML or JSON file, - for standard input', required: true})};

	async run(): Promise<unknown> {
		const {flags} = await this.parse(ContractDiff);
		const contract = await this.readFile(flags.file);
		const held = await this.findContract(flags, contract.workspace);
		const difference = formatDifferences(held?.contract ?? {}, contract);
		this.log(difference.length > 0 ? difference.join('\n') : 'No difference.');
		return {difference};
	}
}

async function readStandardInput(): Promise<string> {
	let text = '';
	for await (const chunk of process.stdin) {
		text += String(chunk);
	}

	return text;
}
