/**
 * Starts a small fleet of real processes on loopback for the demo and the benchmarks: instances with the roles entry and
 * controller, stand-ins for engines and services, and an agent for each stand-in. It stops only processes that it started.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {mkdtemp, open, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import type {Clock} from '@hickorytrack/clock';
import {request} from 'undici';

const daemonPath = fileURLToPath(import.meta.resolve('@hickorytrack/hickorytrackd/main'));
const cliPath = fileURLToPath(import.meta.resolve('@hickorytrack/hickorytrack/main'));
const enginePath = fileURLToPath(new URL('engine-main.js', import.meta.url));
const servicePath = fileURLToPath(new URL('service-main.js', import.meta.url));
const readinessPollIntervalMs = 50;
const readinessTimeoutMs = 30_000;

export type FleetOptions = {
	clock: Clock;
	/** The fleet uses consecutive ports, starting with the one after this. */
	basePort: number;
	zones: readonly string[];
	engines: number;
	/** Service names of the plain-service servers, one for each server; a name may be repeated. */
	services: readonly string[];
	/** Options of the engine stand-ins. */
	engineOptions?: Record<string, unknown>;
	daemonFlags?: readonly string[];
	/** Flags of Node.js for the daemons, for example to profile them. */
	nodeFlags?: readonly string[];
};

export type FleetMember = {
	name: string;
	child: ChildProcess;
	callerUrl: string;
	operatorUrl: string;
	/** URL of the stand-in that an agent serves; empty for instances. */
	engineUrl: string;
};

export class Fleet {
	readonly instances: FleetMember[] = [];
	readonly agents: FleetMember[] = [];
	readonly #opts: FleetOptions;
	readonly #children: ChildProcess[] = [];
	#folder = '';
	#nextPort: number;

	constructor(opts: FleetOptions) {
		this.#opts = opts;
		this.#nextPort = opts.basePort;
	}

	/** Folder that contains the data and logs of the fleet. */
	get folder(): string {
		return this.#folder;
	}

	async start(): Promise<void> {
		this.#folder = await mkdtemp(path.join(tmpdir(), 'hickorytrack-fleet-'));
		const {zones, engines, services} = this.#opts;
		const peerPorts = zones.map(() => this.#acquirePort());
		const controllers = zones.map((_, index) => `instance-${index + 1}=127.0.0.1:${peerPorts[index]}`).join(',');
		for (const [index, zone] of zones.entries()) {
			const name = `instance-${index + 1}`;
			const flags = ['--roles', 'entry,controller', '--data', path.join(this.#folder, name), '--controllers', controllers];
			this.instances.push(await this.#startDaemon(name, {zone, peerPort: peerPorts[index]!, flags}));
		}

		for (let index = 0; index < engines; index++) {
			await this.#startAgent(`engine-${index + 1}`, {zone: zones[index % zones.length]!, controllers});
		}

		for (const [index, service] of services.entries()) {
			await this.#startAgent(`${service}-${index + 1}`, {zone: zones[index % zones.length]!, controllers, service});
		}

		for (const instance of this.instances) {
			await waitUntilReady(`${instance.callerUrl}/readyz`, this.#opts.clock);
		}
	}

	/** Runs the command-line client against the first instance and returns its exit code and output. */
	async runCli(...args: string[]): Promise<{code: number; output: string}> {
		const child = spawn(process.execPath, [cliPath, ...args, '--server', this.instances[0]!.operatorUrl], {stdio: ['ignore', 'pipe', 'pipe']});
		let output = '';
		child.stdout.on('data', chunk => {
			output += String(chunk);
		});
		child.stderr.on('data', chunk => {
			output += String(chunk);
		});
		const code = await new Promise<number>(resolve => {
			child.on('close', exitCode => {
				resolve(exitCode ?? 1);
			});
		});
		return {code, output};
	}

	/** Stops every process and removes the folder. */
	async stop(): Promise<void> {
		for (const child of this.#children) {
			child.kill('SIGKILL');
		}

		await Promise.all(this.#children.map(async child => waitForExit(child)));
		await rm(this.#folder, {recursive: true, force: true});
	}

	async #startAgent(name: string, opts: {zone: string; controllers: string; service?: string}): Promise<void> {
		const enginePort = this.#acquirePort();
		const engineArgs = opts.service === undefined ? [enginePath, String(enginePort), JSON.stringify(this.#opts.engineOptions ?? {})] : [servicePath, String(enginePort)];
		await this.#spawn(engineArgs, `${name}-stand-in`);
		const engineUrl = `http://127.0.0.1:${enginePort}`;
		const flags = ['--roles', 'agent', '--engine', engineUrl, '--controllers', opts.controllers, ...(opts.service === undefined ? [] : ['--engine-adapter', 'service', '--service', opts.service])];
		const agent = await this.#startDaemon(name, {zone: opts.zone, peerPort: this.#acquirePort(), flags});
		this.agents.push({...agent, engineUrl});
	}

	async #startDaemon(name: string, opts: {zone: string; peerPort: number; flags: string[]}): Promise<FleetMember> {
		const callerPort = this.#acquirePort();
		const operatorPort = this.#acquirePort();
		const child = await this.#spawn([
			daemonPath,
			'--instance',
			name,
			'--availability-zone',
			opts.zone,
			'--peer-listen',
			`127.0.0.1:${opts.peerPort}`,
			'--caller-listen',
			`127.0.0.1:${callerPort}`,
			'--operator-listen',
			`127.0.0.1:${operatorPort}`,
			'--log-level',
			'info',
			...opts.flags,
			...this.#opts.daemonFlags ?? [],
		], name);
		return {
			name, child, callerUrl: `http://127.0.0.1:${callerPort}`, operatorUrl: `http://127.0.0.1:${operatorPort}`, engineUrl: '',
		};
	}

	async #spawn(args: string[], name: string): Promise<ChildProcess> {
		const log = await open(path.join(this.#folder, `${name}.log`), 'a');
		const child = spawn(process.execPath, args, {stdio: ['ignore', log.fd, log.fd]});
		await log.close();
		this.#children.push(child);
		return child;
	}

	#acquirePort(): number {
		this.#nextPort++;
		return this.#nextPort;
	}
}

async function waitForExit(child: ChildProcess): Promise<void> {
	if (child.exitCode !== null || child.signalCode !== null) {
		return;
	}

	await new Promise<void>(resolve => {
		child.once('exit', () => {
			resolve();
		});
	});
}

async function waitUntilReady(url: string, clock: Clock): Promise<void> {
	const deadline = clock.monotonic() + readinessTimeoutMs;
	while (clock.monotonic() < deadline) {
		try {
			const response = await request(url);
			await response.body.dump();
			if (response.statusCode === 200) {
				return;
			}
		} catch {
			// The process does not accept connections yet.
		}

		await clock.sleep(readinessPollIntervalMs);
	}

	throw new Error(`${url} did not answer with status 200 before the readiness timeout`);
}
