/** Starts an edge: the platform's program with a settings file of its own. */
import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {redirectVariable, type RedirectOptions} from './connection-redirect.js';
import type {RetryBounds} from './records.js';
import {ManagedProcess} from './managed-process.js';
import {readPathVariable} from './read-witness.js';
import type {WorkspaceBounds} from './workspaces.js';

export type EdgeOptions = {
	name: string;
	ip: string;
	folder: string;
	/** Core members keep the configuration on disk. */
	isCore: boolean;
	/** Control addresses of the seeds. */
	seeds: readonly string[];
	bounds: RetryBounds;
	reportIntervalMs: number;
	/** The edge is told how much memory its machine has. */
	hasMemoryLimit?: boolean;
	/** The configuration has workspaces; the infrastructure at this address takes the reports of their usage. */
	workspaces?: WorkspaceBounds & {infrastructureAddress: string};
	redirect: RedirectOptions;
	onStarted: () => void;
	/** Called at each end; `isExpected` is true after a signal that ends the process. */
	onEnded: (isExpected: boolean) => void;
};

export const edgePorts = {
	front: 7440, ready: 7441, control: 7442, peer: 7443,
} as const;
export const graceMs = 6000;
/** Memory of the machine of an edge, in MiB. */
export const memoryMb = 350;
const leaseMs = 2000;
const dutyCallsPerSecond = 5;
const msPerSecond = 1000;
const redirectUrl = new URL('connection-redirect.js', import.meta.url).href;
const witnessUrl = new URL('read-witness.js', import.meta.url).href;
const mainPath = fileURLToPath(import.meta.resolve('@hickorytrack/platform'));

export class EdgeProcess extends ManagedProcess {
	readonly ip: string;
	readonly isCore: boolean;

	constructor(opts: EdgeOptions) {
		const settingsPath = path.join(opts.folder, `${opts.name}.json`);
		let starts = 0;
		super({
			name: opts.name,
			logPath: path.join(opts.folder, `${opts.name}.log`),
			env: {HICKORYTRACK_BOOT: settingsPath, [redirectVariable]: JSON.stringify(opts.redirect), [readPathVariable]: path.join(opts.folder, `${opts.name}.read`)},
			onStarted: opts.onStarted,
			onEnded: opts.onEnded,
			createArgs() {
				writeSettings(settingsPath, opts, starts === 0);
				starts++;
				return ['--import', redirectUrl, '--import', witnessUrl, mainPath];
			},
		});
		this.ip = opts.ip;
		this.isCore = opts.isCore;
	}

	get controlAddress(): string {
		return `${this.ip}:${edgePorts.control}`;
	}
}

function writeSettings(file: string, {name, ip, folder, isCore, seeds, bounds, reportIntervalMs, hasMemoryLimit, workspaces}: EdgeOptions, isFirstStart: boolean): void {
	const dataFolder = path.join(folder, `${name}-data`);
	if (isCore) {
		mkdirSync(dataFolder, {recursive: true});
	}

	writeFileSync(file, JSON.stringify({
		'node-name': name,
		zone: 'z',
		ip,
		listen: {front: `${ip}:${edgePorts.front}`, 'ready-addr': `${ip}:${edgePorts.ready}`, control: `${ip}:${edgePorts.control}`},
		'port-range': [edgePorts.peer, edgePorts.peer + 10],
		seeds,
		bootstrap: isFirstStart,
		'bears-loss': isCore,
		'data-dir': isCore ? dataFolder : undefined,
		'heartbeat-ms': reportIntervalMs,
		'fault-tolerance': {machines: 1},
		limits: hasMemoryLimit ? {'memory-mb': memoryMb} : undefined,
		bounds: {
			'retry-budget-ratio': bounds.ratio, 'retry-budget-slack': bounds.slack, 'budget-window-s': bounds.windowMs / msPerSecond, 'grace-s': graceMs / msPerSecond, 'lease-ms': workspaces?.leaseMs ?? leaseMs, ...(workspaces && {'strict-revoke': true, 'revoke-ms': workspaces.revocationMs, 'report-window-s': workspaces.windowMs / msPerSecond}),
		},
		cloud: workspaces && {address: workspaces.infrastructureAddress, duties: ['metering'], 'duty-per-s': dutyCallsPerSecond},
	}));
}
