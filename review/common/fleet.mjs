/* eslint-disable no-await-in-loop -- Scripts that run step by step, outside the product. */
/**
 * Starts the project's program as separate processes on loopback addresses, with settings files as the platform writes them,
 * and plays the platform, the operator and clients. Uses built-in modules of Node.js only.
 */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {
	appendFileSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

export const root = fileURLToPath(new URL('../../', import.meta.url));
/** Ports are the same on all machines; the metrics port is that of the deploy file. */
const ports = {
	front: 8144, ready: 8140, control: 8146, peerFirst: 7660, peerLast: 7675,
};
const startedAt = performance.now();

export const sleep = ms => new Promise(resolve => {
	setTimeout(resolve, ms);
});
export const elapsedS = () => ((performance.now() - startedAt) / 1000).toFixed(3).padStart(8);

/** Lines of what was sent, answered and run, with the time since the start of the script. */
export class Record {
	#file;

	constructor(file) {
		this.#file = file;
		writeFileSync(file, '');
	}

	add(text) {
		appendFileSync(this.#file, `${elapsedS()}  ${text}\n`);
	}

	/** A line that is printed as well. */
	say(text) {
		this.add(text);
		process.stdout.write(`${elapsedS()}  ${text}\n`);
	}
}

/** The command of the deploy file, without the shell. */
function readDeployCommand() {
	const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	const [, command] = /^run = "(.*)"$/m.exec(text);
	return command.split(' ');
}

/** Machines have addresses of their own in a block that no other process uses. */
async function findBlock() {
	for (let tries = 0; tries < 50; tries++) {
		const block = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
		const isFree = await new Promise(resolve => {
			const probe = net.createServer();
			probe.once('error', () => resolve(false));
			probe.listen({host: `${block}.11`, port: ports.front}, () => probe.close(() => resolve(true)));
		});
		if (isFree) {
			return block;
		}
	}

	throw new Error('no free block of loopback addresses');
}

export class Fleet {
	record;
	folder;
	block;
	/** All child processes, to end them. */
	#children = new Set();
	#machines = new Map();
	#seeds = [];

	static async open(record) {
		const fleet = new Fleet();
		fleet.record = record;
		fleet.folder = mkdtempSync(path.join(tmpdir(), 'hickorytrack-review-'));
		fleet.block = await findBlock();
		// Whatever ends this process, nothing that it started stays.
		process.once('exit', () => fleet.#killAll());
		for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) {
			process.once(signal, () => process.exit(2));
		}

		return fleet;
	}

	setSeeds(names) {
		this.#seeds = names.map(name => `${this.machine(name).ip}:${ports.control}`);
	}

	/** Defines a machine without starting it. Machines that bear losses have a disk. */
	define(name, {number, zone, bearsLoss}) {
		this.#machines.set(name, {
			name, ip: `${this.block}.${10 + number}`, zone, bearsLoss, child: undefined, starts: 0,
		});
	}

	machine(name) {
		return this.#machines.get(name);
	}

	get machines() {
		return [...this.#machines.values()];
	}

	frontOf(name) {
		return {host: this.machine(name).ip, port: ports.front};
	}

	controlOf(name) {
		return `http://${this.machine(name).ip}:${ports.control}`;
	}

	#writeSettings(machine, isFirstStart) {
		const {name, ip, zone, bearsLoss} = machine;
		const dataFolder = path.join(this.folder, name, 'data');
		if (bearsLoss) {
			mkdirSync(dataFolder, {recursive: true});
		}

		const file = path.join(this.folder, `${name}.json`);
		writeFileSync(file, JSON.stringify({
			'node-name': name,
			role: 'edge',
			'machine-class': 'edge',
			serves: ['edge', 'control'],
			ip,
			zone,
			region: 'tt-north',
			zones: {'chaguanas-a': 'tt-north', 'tunapuna-b': 'tt-north', 'arima-c': 'tt-north'},
			listen: {front: `${ip}:${ports.front}`, 'ready-addr': `${ip}:${ports.ready}`, control: `${ip}:${ports.control}`},
			'port-range': [ports.peerFirst, ports.peerLast],
			seeds: this.#seeds,
			bootstrap: isFirstStart,
			'bears-loss': bearsLoss,
			limits: {
				'cpu-share': 0.608, cores: 2, 'memory-mb': 350, 'max-fds': 4100, 'link-mbps': 1000, 'disk-mb': bearsLoss ? 64 : undefined,
			},
			'data-dir': bearsLoss ? dataFolder : undefined,
			discovery: 'registry',
			entry: 'vip',
			'heartbeat-ms': 1200,
			contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'split', 'stream', 'engine'],
			'fault-tolerance': {machines: 1, zones: 0, regions: 0},
			bounds: {
				'seed-lag-s': 3, 'addr-reuse-s': 2, 'contact-ms': 3000, 'ack-ms': 4000, 'catch-up-s': 4, 'drain-ms': 2000, 'grace-s': 8, 'loss-slack-ms': 200, 'config-apply-ms': 2000, 'downgrade-slack-ms': 250, 'skew-max-ms': 5000, 'retry-budget-ratio': 0.2, 'budget-window-s': 10, 'retry-budget-slack': 60, 'recovery-s': 12, 'transit-ms': 120, 'retry-after-s': 3, 'require-fence': true, 'lease-ms': 3000, 'thaw-ms': 300,
			},
			'config-mode': 'highest',
		}));
		return file;
	}

	/** Starts the program of a machine. */
	start(name, {isFirstStart = false} = {}) {
		const machine = this.machine(name);
		const settings = this.#writeSettings(machine, isFirstStart);
		const [program, ...args] = readDeployCommand();
		const child = this.#spawn(program, args, {HICKORYTRACK_BOOT: settings}, `${name}.log`);
		machine.child = child;
		machine.starts++;
		child.once('exit', (code, signal) => {
			this.record.add(`${name} (process ${child.pid}) ended: ${signal ?? `exit code ${code}`}`);
		});
		this.record.add(`${name} started at ${machine.ip}, process ${child.pid}, bootstrap ${isFirstStart}`);
	}

	/** Starts a stand-in of this folder as a process of its own. */
	startStandIn(file, args, log) {
		return this.#spawn(process.execPath, [file, ...args], {}, log);
	}

	#spawn(program, args, env, log) {
		const child = spawn(program, args, {cwd: root, env: {PATH: process.env.PATH, HOME: process.env.HOME, ...env}, stdio: ['ignore', 'pipe', 'pipe']});
		const file = path.join(this.folder, log);
		for (const stream of [child.stdout, child.stderr]) {
			stream.on('data', chunk => {
				appendFileSync(file, chunk);
			});
		}

		this.#children.add(child);
		// The last output has been read by then.
		child.once('close', () => this.#children.delete(child));
		return child;
	}

	signal(name, signal) {
		const {child} = this.machine(name);
		child.kill(signal);
		this.record.add(`${signal} to ${name}`);
	}

	/** Kills the program of a machine and resolves when it has ended. */
	async kill(name) {
		await this.#end(name, 'SIGKILL');
	}

	/** Stops the program of a machine as the platform does: SIGTERM, and SIGKILL after the grace period. */
	async stop(name) {
		await this.#end(name, 'SIGTERM');
	}

	async #end(name, signal) {
		const {child} = this.machine(name);
		const ended = new Promise(resolve => {
			child.once('exit', resolve);
		});
		this.signal(name, signal);
		const timer = setTimeout(() => child.kill('SIGKILL'), 8000);
		await ended;
		clearTimeout(timer);
	}

	/** Empties the disk of a machine whose program has ended. */
	wipe(name) {
		const dataFolder = path.join(this.folder, name, 'data');
		rmSync(dataFolder, {recursive: true});
		mkdirSync(dataFolder);
		this.record.add(`the disk of ${name} is empty`);
	}

	readLog(name) {
		return readFileSync(path.join(this.folder, `${name}.log`), 'utf8');
	}

	#killAll() {
		for (const child of this.#children) {
			child.kill('SIGKILL');
		}
	}

	async close() {
		this.#killAll();
		while (this.#children.size > 0) {
			await sleep(20);
		}

		rmSync(this.folder, {recursive: true, force: true});
	}
}

/** Calls the system as a server or the operator does. Resolves with status 0 if there is no answer in time. */
export async function call(url, {method = 'GET', body, timeoutMs = 1000} = {}) {
	return new Promise(resolve => {
		const text = body === undefined ? undefined : JSON.stringify(body);
		const request = http.request(url, {
			method, agent: false, headers: text === undefined ? {} : {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)},
		}, response => {
			const chunks = [];
			response.on('data', chunk => chunks.push(chunk));
			response.on('end', () => resolve({status: response.statusCode, body: Buffer.concat(chunks).toString()}));
			response.on('error', error => resolve({status: 0, body: error.message}));
		});
		request.setTimeout(timeoutMs, () => request.destroy(new Error(`no answer within ${timeoutMs} ms`)));
		request.on('error', error => resolve({status: 0, body: error.message}));
		request.end(text);
	});
}

/** Sends a configuration as the operator does: to the next machine after a failure, until it is acknowledged. */
export async function putConfiguration(fleet, names, configuration, {forMs, timeoutMs = 1000}) {
	const until = performance.now() + forMs;
	let last;
	for (let tries = 0; performance.now() < until; tries++) {
		const name = names[tries % names.length];
		last = await call(`${fleet.controlOf(name)}/api/Config.Put`, {method: 'POST', body: configuration, timeoutMs});
		fleet.record.add(`operator: Config.Put version ${configuration.version} to ${name}: ${last.status} ${last.body.slice(0, 120)}`);
		if (last.status === 200) {
			return true;
		}

		await sleep(Math.min(1000, 100 * (tries + 1)));
	}

	return false;
}

/** Waits until all machines say that they are ready. */
export async function waitForReady(fleet, names, forMs) {
	const until = performance.now() + forMs;
	while (performance.now() < until) {
		const answers = await Promise.all(names.map(name => call(`http://${fleet.machine(name).ip}:${ports.ready}/api/readyz`)));
		if (answers.every(({status}) => status === 200)) {
			return true;
		}

		await sleep(100);
	}

	return false;
}

export async function readState(fleet, name) {
	const {status, body} = await call(`${fleet.controlOf(name)}/state`);
	return status === 200 ? JSON.parse(body) : undefined;
}
