/** Base class of all commands: the shared flags, calls to the server with error messages and hints, and table output. */
import {Command, Flags, type Interfaces} from '@oclif/core';
import {OperatorClient, type OperatorError} from './operator-client.js';

export const serverFlags = {
	server: Flags.string({description: 'URL of the operator interface of any instance', env: 'HICKORYTRACK_SERVER', default: 'http://127.0.0.1:7490'}),
	key: Flags.string({description: 'operator key', env: 'HICKORYTRACK_OPERATOR_KEY'}),
};

export type ServerFlags = Interfaces.InferredFlags<typeof serverFlags>;

export abstract class OperatorCommand extends Command {
	static override enableJsonFlag = true;
	static override baseFlags = serverFlags;

	/** Calls a method of the server; if the call fails, prints the error with its hint and exits with the error's exit code. */
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
		const formattedRows = [columns, ...rows].map(row => row.map(cell => String(cell ?? '-')));
		const widths = columns.map((_, index) => Math.max(...formattedRows.map(row => row[index]!.length)));
		for (const row of formattedRows) {
			this.log(row.map((cell, index) => cell.padEnd(widths[index]!)).join('  ').trimEnd());
		}
	}
}
