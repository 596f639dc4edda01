/**
 * Reads and validates the daemon's settings. Flags take precedence over environment variables, and all issues are
 * reported at once.
 */
import {parseArgs} from 'node:util';
import {err, ok, type Result} from 'neverthrow';
import {HickorytrackError} from '@hickorytrack/errors';
import {formatEnvVariable, settingsCatalogue, type SettingDefinition} from './settings-catalogue.js';

export type ControllerAddress = {
	id: string;
	address: string;
};

export type DaemonSettings = {
	instance: string;
	availabilityZone: string;
	roles: string[];
	peerListen: string;
	peerAdvertise?: string;
	callerListen: string;
	operatorListen: string;
	controllers: ControllerAddress[];
	join: boolean;
	data?: string;
	peerKeys: string[];
	operatorKeys: string[];
	engine?: string;
	engineAdapter: string;
	endpoint: string;
	service?: string;
	leaseMs: number;
	heartbeatMs: number;
	silenceMs: number;
	electionMs: number;
	snapshotRecords: number;
	requestTimeoutMs: number;
	stallMs: number;
	stopSeconds: number;
	logLevel: string;
	statsd?: string;
	seed?: number;
};

export type SettingIssue = {
	flag: string;
	value?: string;
	reason: string;
	hint: string;
};

export class SettingsError extends HickorytrackError {
	readonly issues: SettingIssue[];

	constructor(issues: SettingIssue[]) {
		super('ERR_HICKORYTRACK_SETTINGS', `${issues.length} invalid setting(s)`, {hint: 'Run hickorytrackd --help to list all settings.'});
		this.issues = issues;
	}
}

type RawSettings = ReadonlyMap<string, string>;

/** Reads the settings from flags and environment variables. Does not throw; the error contains all issues. */
export function readSettings(args: readonly string[], env: Readonly<Record<string, string | undefined>>): Result<DaemonSettings, SettingsError> {
	const issues: SettingIssue[] = [];
	const rawSettings = readRawSettings(args, {env, issues});
	for (const definition of settingsCatalogue) {
		const text = rawSettings.get(definition.flag);
		const reason = text === undefined ? undefined : definition.check?.(text);
		if (reason) {
			issues.push({
				flag: definition.flag, value: definition.isSecret ? undefined : text, reason, hint: `${definition.description} Set --${definition.flag} or ${formatEnvVariable(definition.flag)}.`,
			});
		}
	}

	const settings = buildSettings(rawSettings);
	issues.push(...checkCombinations(settings, rawSettings));
	return issues.length > 0 ? err(new SettingsError(issues)) : ok(settings);
}

/** Returns the text of `--help`. */
export function formatHelp(): string {
	const width = Math.max(...settingsCatalogue.map(definition => formatFlag(definition).length)) + 2;
	const lines = settingsCatalogue.map(definition => {
		const suffix = definition.defaultValue === undefined || definition.isSecret ? '' : ` Default: ${definition.defaultValue}.`;
		return `  ${formatFlag(definition).padEnd(width)}${definition.description}${suffix}\n  ${' '.repeat(width)}${formatEnvVariable(definition.flag)}`;
	});
	return ['Usage: hickorytrackd [--FLAG VALUE ...]', '', 'Runs one instance of hickorytrack. Each setting can be passed as a flag or as an environment variable.', '', ...lines, ''].join('\n');
}

const formatFlag = (definition: SettingDefinition): string => `--${definition.flag} ${definition.placeholder}`;

function readRawSettings(args: readonly string[], opts: {env: Readonly<Record<string, string | undefined>>; issues: SettingIssue[]}): RawSettings {
	const rawSettings = new Map<string, string>();
	for (const {flag, defaultValue} of settingsCatalogue) {
		const text = opts.env[formatEnvVariable(flag)] ?? defaultValue;
		if (text !== undefined) {
			rawSettings.set(flag, text);
		}
	}

	const options = Object.fromEntries(settingsCatalogue.map(({flag}) => [flag, {type: 'string' as const}]));
	const parsed = parseArgs({
		args: [...args], options, strict: false, allowPositionals: true, tokens: true,
	});
	for (const token of parsed.tokens) {
		if (token.kind === 'option' && token.name in options && typeof token.value === 'string') {
			rawSettings.set(token.name, token.value);
		} else if (token.kind !== 'option-terminator') {
			const name = token.kind === 'option' ? token.name : token.value;
			const isKnown = name in options;
			opts.issues.push({flag: name, reason: isKnown ? 'the value is missing' : 'unknown setting', hint: 'Run hickorytrackd --help to list all settings.'});
		}
	}

	return rawSettings;
}

function buildSettings(rawSettings: RawSettings): DaemonSettings {
	const getList = (flag: string): string[] => (rawSettings.get(flag) ?? '').split(',').filter(Boolean);
	const getNumber = (flag: string): number => Number(rawSettings.get(flag));
	const roles = getList('roles');
	const instance = rawSettings.get('instance')!;
	const ownController = [{id: instance, address: rawSettings.get('peer-listen')!}];
	const configured = getList('controllers').map(text => ({id: text.split('=')[0]!, address: text.split('=')[1] ?? ''}));
	return {
		instance,
		availabilityZone: rawSettings.get('availability-zone')!,
		roles,
		peerListen: rawSettings.get('peer-listen')!,
		peerAdvertise: rawSettings.get('peer-advertise'),
		callerListen: rawSettings.get('caller-listen')!,
		operatorListen: rawSettings.get('operator-listen')!,
		controllers: configured.length > 0 ? configured : ownController,
		join: rawSettings.get('join') === 'true',
		data: rawSettings.get('data'),
		peerKeys: getList('peer-keys'),
		operatorKeys: getList('operator-keys'),
		engine: rawSettings.get('engine'),
		engineAdapter: rawSettings.get('engine-adapter')!,
		endpoint: rawSettings.get('endpoint') ?? instance,
		service: rawSettings.get('service'),
		leaseMs: getNumber('lease-ms'),
		heartbeatMs: getNumber('heartbeat-ms'),
		silenceMs: getNumber('silence-ms'),
		electionMs: getNumber('election-ms'),
		snapshotRecords: getNumber('snapshot-records'),
		requestTimeoutMs: getNumber('request-timeout-ms'),
		stallMs: getNumber('stall-ms'),
		stopSeconds: getNumber('stop-seconds'),
		logLevel: rawSettings.get('log-level')!,
		statsd: rawSettings.get('statsd'),
		seed: rawSettings.has('seed') ? getNumber('seed') : undefined,
	};
}

function checkCombinations(settings: DaemonSettings, rawSettings: RawSettings): SettingIssue[] {
	const issues: SettingIssue[] = [];
	const isController = settings.roles.includes('controller');
	if (isController && settings.data === undefined) {
		issues.push({flag: 'data', reason: 'a controller needs a data folder for its log', hint: 'Set --data to a folder on a local disk.'});
	}

	if (settings.roles.includes('agent') && settings.engine === undefined) {
		issues.push({flag: 'engine', reason: 'an agent needs an engine', hint: 'Set --engine to the URL of the engine.'});
	}

	if (settings.engineAdapter === 'service' && settings.service === undefined) {
		issues.push({flag: 'service', reason: 'the engine adapter "service" needs the name of the service', hint: 'Set --service to the service name used in the contracts.'});
	}

	if (!isController && !rawSettings.has('controllers')) {
		issues.push({flag: 'controllers', reason: 'a process without the role controller needs the addresses of the controllers', hint: 'Set --controllers to a comma-separated list of NAME=IP:PORT.'});
	}

	if (isController && !settings.join && !settings.controllers.some(controller => controller.id === settings.instance)) {
		issues.push({
			flag: 'controllers', value: rawSettings.get('controllers'), reason: `this controller (${settings.instance}) is not in the list`, hint: 'Add it to the list, or start with --join true.',
		});
	}

	if (settings.silenceMs <= settings.heartbeatMs) {
		issues.push({
			flag: 'silence-ms', value: rawSettings.get('silence-ms'), reason: 'the value must be greater than --heartbeat-ms', hint: 'Set --silence-ms to about four times --heartbeat-ms.',
		});
	}

	return issues;
}
