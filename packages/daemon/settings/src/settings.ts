/**
 * Reading and checking of the daemon's settings. Flags go before environment variables, and all mistakes are reported
 * at once.
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

	constructor(mistakes: SettingIssue[]) {
		super('ERR_HICKORYTRACK_SETTINGS', `${mistakes.length} setting(s) are wrong`, {hint: 'Run hickorytrackd --help for all settings.'});
		this.issues = mistakes;
	}
}

type Texts = ReadonlyMap<string, string>;

/** Reads the settings from arguments and environment variables. Throws nothing; all mistakes are in the error. */
export function readSettings(args: readonly string[], env: Readonly<Record<string, string | undefined>>): Result<DaemonSettings, SettingsError> {
	const mistakes: SettingIssue[] = [];
	const texts = readTexts(args, {env, mistakes});
	for (const definition of settingsCatalogue) {
		const text = texts.get(definition.flag);
		const reason = text === undefined ? undefined : definition.check?.(text);
		if (reason) {
			mistakes.push({
				flag: definition.flag, value: definition.isSecret ? undefined : text, reason, hint: `${definition.description} Set --${definition.flag} or ${formatEnvVariable(definition.flag)}.`,
			});
		}
	}

	const settings = buildSettings(texts);
	mistakes.push(...checkTogether(settings, texts));
	return mistakes.length > 0 ? err(new SettingsError(mistakes)) : ok(settings);
}

/** Returns the text of `--help`. */
export function formatHelp(): string {
	const width = Math.max(...settingsCatalogue.map(definition => formatFlag(definition).length)) + 2;
	const lines = settingsCatalogue.map(definition => {
		const suffix = definition.defaultValue === undefined || definition.isSecret ? '' : ` Default: ${definition.defaultValue}.`;
		return `  ${formatFlag(definition).padEnd(width)}${definition.description}${suffix}\n  ${' '.repeat(width)}${formatEnvVariable(definition.flag)}`;
	});
	return ['Usage: hickorytrackd [--FLAG VALUE ...]', '', 'Serves one instance of hickorytrack. Each setting is a flag or an environment variable.', '', ...lines, ''].join('\n');
}

const formatFlag = (definition: SettingDefinition): string => `--${definition.flag} ${definition.placeholder}`;

function readTexts(args: readonly string[], opts: {env: Readonly<Record<string, string | undefined>>; mistakes: SettingIssue[]}): Texts {
	const texts = new Map<string, string>();
	for (const {flag, defaultValue} of settingsCatalogue) {
		const text = opts.env[formatEnvVariable(flag)] ?? defaultValue;
		if (text !== undefined) {
			texts.set(flag, text);
		}
	}

	const options = Object.fromEntries(settingsCatalogue.map(({flag}) => [flag, {type: 'string' as const}]));
	const parsed = parseArgs({
		args: [...args], options, strict: false, allowPositionals: true, tokens: true,
	});
	for (const token of parsed.tokens) {
		if (token.kind === 'option' && token.name in options && typeof token.value === 'string') {
			texts.set(token.name, token.value);
		} else if (token.kind !== 'option-terminator') {
			const name = token.kind === 'option' ? token.name : token.value;
			const isKnown = name in options;
			opts.mistakes.push({flag: name, reason: isKnown ? 'the value is missing' : 'there is no such setting', hint: 'Run hickorytrackd --help for all settings.'});
		}
	}

	return texts;
}

function buildSettings(texts: Texts): DaemonSettings {
	const list = (flag: string): string[] => (texts.get(flag) ?? '').split(',').filter(Boolean);
	const number = (flag: string): number => Number(texts.get(flag));
	const roles = list('roles');
	const instance = texts.get('instance')!;
	const self = [{id: instance, address: texts.get('peer-listen')!}];
	const named = list('controllers').map(text => ({id: text.split('=')[0]!, address: text.split('=')[1] ?? ''}));
	return {
		instance,
		availabilityZone: texts.get('availability-zone')!,
		roles,
		peerListen: texts.get('peer-listen')!,
		peerAdvertise: texts.get('peer-advertise'),
		callerListen: texts.get('caller-listen')!,
		operatorListen: texts.get('operator-listen')!,
		controllers: named.length > 0 ? named : self,
		join: texts.get('join') === 'true',
		data: texts.get('data'),
		peerKeys: list('peer-keys'),
		operatorKeys: list('operator-keys'),
		engine: texts.get('engine'),
		engineAdapter: texts.get('engine-adapter')!,
		endpoint: texts.get('endpoint') ?? instance,
		service: texts.get('service'),
		leaseMs: number('lease-ms'),
		heartbeatMs: number('heartbeat-ms'),
		silenceMs: number('silence-ms'),
		electionMs: number('election-ms'),
		snapshotRecords: number('snapshot-records'),
		requestTimeoutMs: number('request-timeout-ms'),
		stallMs: number('stall-ms'),
		stopSeconds: number('stop-seconds'),
		logLevel: texts.get('log-level')!,
		statsd: texts.get('statsd'),
		seed: texts.has('seed') ? number('seed') : undefined,
	};
}

function checkTogether(settings: DaemonSettings, texts: Texts): SettingIssue[] {
	const mistakes: SettingIssue[] = [];
	const isController = settings.roles.includes('controller');
	if (isController && settings.data === undefined) {
		mistakes.push({flag: 'data', reason: 'a controller keeps its log in a data folder', hint: 'Set --data to a folder on a disk of this instance.'});
	}

	if (settings.roles.includes('agent') && settings.engine === undefined) {
		mistakes.push({flag: 'engine', reason: 'an agent needs the engine it stands beside', hint: 'Set --engine to its URL.'});
	}

	if (settings.engineAdapter === 'service' && settings.service === undefined) {
		mistakes.push({flag: 'service', reason: 'the adapter service needs the name of the service', hint: 'Set --service to the name that contracts use.'});
	}

	if (!isController && !texts.has('controllers')) {
		mistakes.push({flag: 'controllers', reason: 'a process that is no controller needs to know some', hint: 'Set --controllers to NAME=IP:PORT of each.'});
	}

	if (isController && !settings.join && !settings.controllers.some(controller => controller.id === settings.instance)) {
		mistakes.push({
			flag: 'controllers', value: texts.get('controllers'), reason: `this controller (${settings.instance}) is not in the list`, hint: 'Add it, or start with --join true.',
		});
	}

	if (settings.silenceMs <= settings.heartbeatMs) {
		mistakes.push({
			flag: 'silence-ms', value: texts.get('silence-ms'), reason: 'the silence limit must be longer than the heartbeat', hint: 'Four heartbeats are usual.',
		});
	}

	return mistakes;
}
