/** The base of every command: the flags that all share, calls with errors that name the next step, and plain tables. */
import {Command, Flags, type Interfaces} from '@oclif/core';
import {OperatorClient, type OperatorError} from './operator-client.js';

export const serverFlags = {
	server: Flags.string({description: 'operators\' interface of any instance', env: 'HICKORYTRACK_SERVER', default: 'http://127.0.0.1:7490'}),
	key: Flags.string({description: 'operator key', env: 'HICKORYTRACK_OPERATOR_KEY'}),
};

export type ServerFlags = Interfaces.InferredFlags<typeof serverFlags>;

export abstract class OperatorCommand extends Command {
	static override enableJsonFlag = true;
	static override baseFlags = serverFlags;

	/** Calls a method and ends the command with a clear error when it fails. */
	protected async callServer<T>(flags: ServerFlags, method: string, params: Record<string, unknown> = {}): Promise<T> {
		const result = await new OperatorClient(flags).call<T>(method, params);
		if (result.isErr()) {
			this.exitWithError(result.error);
		}

		return result._unsafeUnwrap();
	}

	protected exitWithError(error: OperatorError): never {
		const suggestions = error.hint === undefined ? [] : [error.hint];
		this.error(error.message, {code: error.code, exit: error.exitCode, suggestions});
	}

	protected printTable(columns: readonly string[], rows: ReadonlyArray<ReadonlyArray<string | number | boolean | undefined>>): void {
		const texts = [columns, ...rows].map(row => row.map(cell => String(cell ?? '-')));
		const widths = columns.map((_, index) => Math.max(...texts.map(row => row[index]!.length)));
		for (const row of texts) {
			this.log(row.map((cell, index) => cell.padEnd(widths[index]!)).join('  ').trimEnd());
		}
	}
}
