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

type RevisionStatus = {
	isInForce: boolean;
	missing: string[];
	subscribers: number;
};

const confirmationPollMs = 200;
const msPerSecond = 1000;

abstract class ContractCommand extends OperatorCommand {
	/** Reads and validates a contract file. If it is invalid, prints every error with its line and exits without a call to the server. */
	protected async readContractFile(path: string): Promise<Contract> {
		const text = path === '-' ? await readStandardInput() : await readFile(path, 'utf8').catch((error: unknown) => this.error(`Can't read ${path}: ${String(error)}`, {exit: exitCodes.usage}));
		const parsed = parseContract(text);
		if (parsed.isErr()) {
			const faults = parsed.error.issues.map(fault => `  ${path}:${fault.line ?? '?'}: ${fault.path || '(file)'}: ${fault.message}`);
			this.error(`${parsed.error.message}; nothing was written\n${faults.join('\n')}`, {code: parsed.error.code, exit: exitCodes.refused, suggestions: [parsed.error.hint ?? '']});
		}

		return parsed._unsafeUnwrap();
	}

	protected async findContract(flags: ServerFlags, workspace: string): Promise<VersionedContract | undefined> {
		const {contracts} = await this.callServer<{contracts: VersionedContract[]}>(flags, 'contract.list');
		return contracts.find(candidate => candidate.contract.workspace === workspace);
	}

	/** Polls the server until every entry and agent has confirmed the revision, or exits with `timedOut`. */
	protected async waitForConfirmation(flags: ServerFlags, revision: number, seconds: number): Promise<void> {
		const clock = new SystemClock();
		const deadline = clock.monotonic() + (seconds * msPerSecond);
		for (;;) {
			const status = await this.callServer<RevisionStatus>(flags, 'force.get', {revision});
			if (status.isInForce) {
				this.log(`Confirmed by all ${status.subscribers} entries and agents.`);
				return;
			}

			if (clock.monotonic() > deadline) {
				this.error(`The contract was accepted, but these instances did not confirm it within --wait-seconds: ${status.missing.join(', ')}`, {exit: exitCodes.timedOut, suggestions: ['An instance that is down applies the contract when it reconnects.']});
			}

			await clock.sleep(confirmationPollMs);
		}
	}
}

const changeFlags = {
	'change-id': Flags.string({description: 'idempotency key: a retry with the same id returns the result of the first attempt; default: a new UUID'}),
	'expect-version': Flags.integer({description: 'version that the contract must have, otherwise the change is refused; default: the current version'}),
	'wait-seconds': Flags.integer({description: 'seconds to wait until every entry and agent has confirmed the change; 0: do not wait', default: 0}),
};

export class ContractApply extends ContractCommand {
	static override description = 'Validate a contract file, show the difference from the contract in force, and apply it.';
	static override flags = {
		file: Flags.string({char: 'f', description: 'YAML or JSON file, - for standard input', required: true}),
		'dry-run': Flags.boolean({description: 'show the difference without applying it'}),
		...changeFlags,
	};

	async run(): Promise<unknown> {
		const {flags} = await this.parse(ContractApply);
		const contract = await this.readContractFile(flags.file);
		const current = await this.findContract(flags, contract.workspace);
		const difference = formatDifferences(current?.contract ?? {}, contract);
		this.log(difference.length > 0 ? difference.join('\n') : 'No difference.');
		if (flags['dry-run'] || difference.length === 0) {
			return {difference, written: false};
		}

		const result = await this.callServer<WriteResult>(flags, 'contract.put', {
			changeId: flags['change-id'] ?? randomUUID(), expectedVersion: flags['expect-version'] ?? current?.version ?? await this.findLastVersion(flags, contract.workspace), workspace: contract.workspace, contract,
		});
		this.log(`The contract of ${contract.workspace} was accepted as version ${result.value.version}, revision ${result.revision}.`);
		if (flags['wait-seconds'] > 0) {
			await this.waitForConfirmation(flags, result.revision, flags['wait-seconds']);
		}

		return {difference, written: true, ...result};
	}

	private async findLastVersion(flags: ServerFlags, workspace: string): Promise<number> {
		const {versions} = await this.callServer<{versions: Array<{version: number}>}>(flags, 'contract.history', {workspace});
		return versions.at(-1)?.version ?? 0;
	}
}

export class ContractRemove extends ContractCommand {
	static override description = 'Remove the contract of a workspace. Requests of the workspace are refused from then on.';
	static override args = {workspace: Args.string({required: true})};
	static override flags = changeFlags;

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(ContractRemove);
		const current = await this.callServer<VersionedContract>(flags, 'contract.get', {workspace: args.workspace});
		const result = await this.callServer<WriteResult>(flags, 'contract.put', {
			changeId: flags['change-id'] ?? randomUUID(), expectedVersion: flags['expect-version'] ?? current.version, workspace: args.workspace,
		});
		this.log(`The contract of ${args.workspace} was removed at revision ${result.revision}.`);
		return result;
	}
}

export class ContractGet extends ContractCommand {
	static override description = 'Show the contract of a workspace.';
	static override args = {workspace: Args.string({required: true})};

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(ContractGet);
		const current = await this.callServer<VersionedContract>(flags, 'contract.get', {workspace: args.workspace});
		this.log(JSON.stringify(current, undefined, 2));
		return current;
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
	static override description = 'Show how a contract file differs from the contract in force.';
	static override flags = {file: Flags.string({char: 'f', description: 'YAML or JSON file, - for standard input', required: true})};

	async run(): Promise<unknown> {
		const {flags} = await this.parse(ContractDiff);
		const contract = await this.readContractFile(flags.file);
		const current = await this.findContract(flags, contract.workspace);
		const difference = formatDifferences(current?.contract ?? {}, contract);
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
