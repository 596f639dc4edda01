#!/usr/bin/env node
/** Entry point of the command `hickorytrackd`: reads the settings, starts the daemon and handles signals. */
import process from 'node:process';
import {SystemClock} from '@hickorytrack/clock/system-clock';
import {formatHelp, readSettings, type SettingsError} from '@hickorytrack/settings';
import {createDaemon} from './daemon.js';

const settingsExitCode = 2;
const startExitCode = 1;

function writeIssues(error: SettingsError): void {
	process.stderr.write(`hickorytrackd can't start: ${error.message}:\n`);
	for (const {flag, value, reason, hint} of error.issues) {
		process.stderr.write(`  --${flag}${value === undefined ? '' : ` ${value}`}: ${reason}\n      ${hint}\n`);
	}
}

async function main(): Promise<void> {
	const args = process.argv.slice(2);
	if (args.includes('--help')) {
		process.stdout.write(formatHelp());
		return;
	}

	const settings = readSettings(args, process.env);
	if (settings.isErr()) {
		writeIssues(settings.error);
		process.exitCode = settingsExitCode;
		return;
	}

	const kernel = createDaemon(settings.value, {clock: new SystemClock()});
	const {events} = kernel.context;
	let isStopping = false;
	const stop = async () => {
		if (isStopping) {
			events.emit('openWork', {open: kernel.listOpenWork()});
			return;
		}

		isStopping = true;
		await kernel.stop();
		process.exit(0);
	};

	process.on('SIGTERM', stop);
	process.on('SIGINT', stop);
	process.on('SIGUSR2', () => {
		process.stdout.write(`${JSON.stringify(kernel.dump())}\n`);
	});
	const started = await kernel.start();
	if (started.isErr()) {
		const {code, message, hint} = started.error;
		events.emit('startFailed', {code, message, hint});
		process.stderr.write(`hickorytrackd can't start: ${message}\n${hint ?? ''}\n`);
		process.exit(startExitCode);
	}
}

await main();
