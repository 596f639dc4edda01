/** Commands on configuration documents; they call no server. */
import {readFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {pathToFileURL} from 'node:url';
import {Args, Command, Flags} from '@oclif/core';
import {ConfigurationCheck, type ConfigurationDecoder} from '@hickorytrack/configuration-check';
import {formatReport, type CheckReport} from '@hickorytrack/configuration-check/check-report';
import {describeError} from '@hickorytrack/errors';
import {exitCodes} from './operator-client.js';

export class ConfigCheck extends Command {
	static override description = 'Check a configuration document before it is put in force. Exit status: 0 without errors, 1 with errors, 2 if a file can\'t be read.';
	static override enableJsonFlag = true;
	static override args = {file: Args.string({required: true, description: 'JSON file with the configuration'})};
	static override flags = {
		against: Flags.string({description: 'JSON file with the version in force, to list the differences from it'}),
		format: Flags.string({description: 'module that exports decodeConfiguration for the deployment\'s documents: a package or a path', env: 'HICKORYTRACK_CONFIGURATION_FORMAT', required: true}),
	};

	async run(): Promise<CheckReport> {
		const {args, flags} = await this.parse(ConfigCheck);
		const check = new ConfigurationCheck({decode: await this.#findDecoder(flags.format), readText: async file => readFile(file, 'utf8')});
		const report = await check.run({file: args.file, against: flags.against});
		this.log(formatReport(report).join('\n'));
		process.exitCode = report.exitCode;
		return report;
	}

	async #findDecoder(format: string): Promise<ConfigurationDecoder> {
		const isPath = path.isAbsolute(format) || format.startsWith('.');
		try {
			const {decodeConfiguration} = await import(isPath ? pathToFileURL(path.resolve(format)).href : format) as {decodeConfiguration?: ConfigurationDecoder};
			if (typeof decodeConfiguration === 'function') {
				return decodeConfiguration;
			}
		} catch (error) {
			this.error(`Can't load the format ${format}: ${describeError(error)}`, {exit: exitCodes.usage});
		}

		return this.error(`The module ${format} has no function decodeConfiguration`, {exit: exitCodes.usage});
	}
}
