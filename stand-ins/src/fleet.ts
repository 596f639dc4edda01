/**
 * Starts a small fleet of real processes on loopback for the demo and the benchmarks: instances with entry and
 * controller, engines and services as stand-ins, and an agent beside each. It ends only processes that it started.
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
const toolPath = fileURLToPath(import.meta.resolve('@hickorytrack/hickorytrack/main'));
const enginePath = fileURLToPath(new URL('engine-main.js', import.meta.url));
const servicePath = fileURLToPath(new URL('service-main.js', import.meta.url));
const readyPollMs = 50;
const readyTimeoutMs = 30_000;

export type FleetOptions = {
	clock: Clock;
	/** First port that the fleet uses. */
	basePort: number;
	zones: readonly string[];
	engines: number;
	/** Names of the plain services, one server each. */
	services: readonly string[];
	/** Options of the engine stand-in. */
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
	/** URL of the stand-in, for agents. */
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

	/** Folder with the data and the logs of the fleet. */
	get folder(): string {
		return this.#folder;
	}

	async start(): Promise<void> {
		this.#folder = await mkdtemp(path.join(tmpdir(), 'hickorytrack-fleet-'));
		const {zones, engines, services} = this.#opts;
		const peerPorts = zones.map(() => this.#takePort());
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
			await waitUntilAnswered(`${instance.callerUrl}/readyz`, this.#opts.clock);
		}
	}

	/** Runs the tool and returns its exit code and output. */
	async runCli(...args: string[]): Promise<{code: number; output: string}> {
		const child = spawn(process.execPath, [toolPath, ...args, '--server', this.instances[0]!.operatorUrl], {stdio: ['ignore', 'pipe', 'pipe']});
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
		const enginePort = this.#takePort();
		const engineArgs = opts.service === undefined ? [enginePath, String(enginePort), JSON.stringify(this.#opts.engineOptions ?? {})] : [servicePath, String(enginePort)];
		await this.#spawn(engineArgs, `${name}-stand-in`);
		const engineUrl = `http://127.0.0.1:${enginePort}`;
		const flags = ['--roles', 'agent', '--engine', engineUrl, '--controllers', opts.controllers, ...(opts.service === undefined ? [] : ['--engine-adapter', 'service', '--service', opts.service])];
		const agent = await this.#startDaemon(name, {zone: opts.zone, peerPort: this.#takePort(), flags});
		this.agents.push({...agent, engineUrl});
	}

	async #startDaemon(name: string, opts: {zone: string; peerPort: number; flags: string[]}): Promise<FleetMember> {
		const callerPort = this.#takePort();
		const operatorPort = this.#takePort();
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

	#takePort(): number {
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

async function waitUntilAnswered(url: string, clock: Clock): Promise<void> {
	const until = clock.monotonic() + readyTimeoutMs;
	while (clock.monotonic() < until) {
		try {
			const response = await request(url);
			await response.body.dump();
			if (response.statusCode === 200) {
				return;
			}
		} catch {
			// It is not there yet.
		}

		await clock.sleep(readyPollMs);
	}

	throw new Error(`${url} was not ready in time`);
}
