/* eslint-disable no-await-in-loop, unicorn/no-process-exit -- Scripts that run step by step, outside the product. */
/**
 * Machines of the system as separate processes on loopback, started with the command of the deploy file, and an operator
 * that follows the users' pages. Each machine has a loopback address of its own, since all machines use the same ports.
 */
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {spawn} from 'node:child_process';
import {randomInt} from 'node:crypto';
import {
	appendFileSync, createWriteStream, existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {request as sendRequest} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

export const repository = fileURLToPath(new URL('../..', import.meta.url));
const peerPortCount = 4;

/** The bounds of `sites/mds-viewhost.toml`. */
export const bounds = {
	'seed-lag-s': 3, 'addr-reuse-s': 2, 'contact-ms': 3000, 'ack-ms': 4000, 'catch-up-s': 4, 'drain-ms': 2000, 'grace-s': 8, 'loss-slack-ms': 200, 'config-apply-ms': 2000, 'downgrade-slack-ms': 250, 'skew-max-ms': 5000, 'retry-budget-ratio': 0.2, 'budget-window-s': 10, 'retry-budget-slack': 60, 'recovery-s': 12, 'transit-ms': 120, 'retry-after-s': 3, 'require-fence': true, 'lease-ms': 3000, 'thaw-ms': 300,
};

/** Writes one line a fact to the record of a case. */
export class Record {
	#file;
	#startedAt = Date.now();

	constructor(file) {
		this.#file = file;
		writeFileSync(file, '');
	}

	write(text) {
		const line = `${((Date.now() - this.#startedAt) / 1000).toFixed(3).padStart(8)} ${text}\n`;
		appendFileSync(this.#file, line);
		process.stdout.write(line);
	}
}

function readCommand() {
	const {0: line} = /^run = "(.*)"$/m.exec(readFileSync(path.join(repository, 'deploy/system.toml'), 'utf8'));
	return line.slice('run = "'.length, -1).split(' ');
}

async function isFree(host, port) {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => resolve(false));
		server.listen({host, port, exclusive: true}, () => server.close(() => resolve(true)));
	});
}

async function findPorts(hosts, metricsPort) {
	for (;;) {
		const first = randomInt(20_000, 30_000);
		const ports = [metricsPort, ...Array.from({length: peerPortCount + 3}, (_, index) => first + index)];
		const free = await Promise.all(hosts.flatMap(host => ports.map(async port => isFree(host, port))));
		if (free.every(Boolean)) {
			return {
				front: first, ready: first + 1, control: first + 2, peer: first + 3,
			};
		}
	}
}

export async function call({host, port}, {method = 'GET', target, headers = {}, body, timeoutMs = 1000}) {
	return new Promise(resolve => {
		const outgoing = sendRequest({
			host, port, method, path: target, agent: false, headers: body === undefined ? headers : {'content-type': 'application/json', 'content-length': Buffer.byteLength(body), ...headers},
		}, response => {
			const chunks = [];
			response.on('data', chunk => chunks.push(chunk));
			response.on('end', () => resolve({status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks).toString()}));
			response.on('error', error => resolve({status: 0, body: '', reason: error.message}));
		});
		outgoing.setTimeout(timeoutMs, () => outgoing.destroy(new Error(`no answer within ${timeoutMs} ms`)));
		outgoing.on('error', error => resolve({status: 0, body: '', reason: error.message}));
		outgoing.end(body);
	});
}

export class Fleet {
	record;
	machines = new Map();
	#folder = mkdtempSync(path.join(tmpdir(), 'review-'));
	#hosts;
	#ports;
	#settings;
	#seeds = [];

	/** `names`: machines that may be started, each with whether it has a disk. */
	constructor(record, settings = {}) {
		this.record = record;
		this.#settings = settings;
	}

	async prepare(names, seeds) {
		const network = `127.${randomInt(10, 250)}.${randomInt(1, 250)}`;
		this.#hosts = new Map(names.map((name, index) => [name, `${network}.${index + 1}`]));
		this.#ports = await findPorts([...this.#hosts.values()], 9464);
		this.#seeds = seeds;
	}

	address(name, kind) {
		return {host: this.#hosts.get(name), port: this.#ports[kind]};
	}

	/** Starts the machine; `isFirst` when the whole system starts for the first time. */
	start(name, {isFirst = false, hasDisk = true} = {}) {
		const host = this.#hosts.get(name);
		const at = kind => `${host}:${this.#ports[kind]}`;
		const zones = {'zone-a': 'region', 'zone-b': 'region', 'zone-c': 'region'};
		const settings = {
			'node-name': name, role: 'edge', 'machine-class': 'edge', serves: ['edge', 'control'], ip: host, zone: Object.keys(zones)[[...this.#hosts.keys()].indexOf(name) % 3], region: 'region', zones, listen: {front: at('front'), 'ready-addr': at('ready'), control: at('control')}, 'port-range': [this.#ports.peer, this.#ports.peer + peerPortCount - 1], seeds: this.#seeds.map(seed => `${this.#hosts.get(seed)}:${this.#ports.control}`), bootstrap: isFirst, 'bears-loss': hasDisk, limits: {
				'cpu-share': 0.608, cores: 2, 'memory-mb': 350, 'max-fds': 4100, 'link-mbps': 1000, 'disk-mb': hasDisk ? 64 : 0,
			}, 'data-dir': hasDisk ? path.join(this.#folder, `${name}-data`) : null, discovery: 'registry', entry: 'vip', 'heartbeat-ms': 1200, contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'split', 'stream', 'engine'], 'fault-tolerance': {machines: 1, zones: 0, regions: 0}, bounds, 'config-mode': 'highest', ...this.#settings,
		};
		const file = path.join(this.#folder, `${name}.json`);
		writeFileSync(file, JSON.stringify(settings));
		const [program, ...args] = readCommand();
		const child = spawn(program, args, {
			cwd: repository, env: {
				PATH: process.env.PATH, HOME: this.#folder, LANG: 'C', HICKORYTRACK_BOOT: file,
			}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		const log = createWriteStream(path.join(this.#folder, `${name}.log`), {flags: 'a'});
		child.stdout.pipe(log);
		child.stderr.pipe(log);
		const machine = {
			name, child, pid: child.pid, isExpectedToEnd: false, hasEnded: false,
		};
		machine.ended = new Promise(resolve => {
			child.once('exit', (code, signal) => {
				machine.hasEnded = true;
				this.record.write(`machine ${name} (${child.pid}) ended: ${signal ?? code}${machine.isExpectedToEnd ? '' : ' BY ITSELF'}`);
				resolve();
			});
		});
		this.machines.set(name, machine);
		this.record.write(`machine ${name} (${child.pid}) started at ${host}${isFirst ? ', first start' : ''}${hasDisk && !existsSync(settings['data-dir']) ? ', empty disk' : ''}`);
	}

	async signal(name, signal) {
		const machine = this.machines.get(name);
		machine.isExpectedToEnd ||= signal === 'SIGKILL' || signal === 'SIGTERM';
		this.record.write(`${signal} to ${name}`);
		machine.child.kill(signal);
		if (machine.isExpectedToEnd) {
			await machine.ended;
		}
	}

	wipeDisk(name) {
		rmSync(path.join(this.#folder, `${name}-data`), {recursive: true, force: true});
		this.record.write(`the disk of ${name} is lost`);
	}

	logOf(name) {
		return path.join(this.#folder, `${name}.log`);
	}

	get running() {
		return [...this.machines.values()].filter(({hasEnded}) => !hasEnded).map(({name}) => name);
	}

	async state(name) {
		const {status, body} = await call(this.address(name, 'control'), {target: '/state', timeoutMs: 3000});
		return status === 200 ? JSON.parse(body) : undefined;
	}

	/** Sends a configuration as the operator does: unchanged, to one machine after another, until a clear answer. */
	async put(configuration, {maxMs = 20_000} = {}) {
		const body = JSON.stringify(configuration);
		const until = Date.now() + maxMs;
		for (let attempt = 0; Date.now() < until; attempt++) {
			const names = this.running;
			const name = names[(attempt + configuration.version) % names.length];
			const answer = await call(this.address(name, 'control'), {
				method: 'POST', target: '/api/Config.Put', body, timeoutMs: 1000 + (body.length / 500),
			});
			if (answer.status === 200 || (answer.status >= 400 && answer.status < 500 && answer.status !== 408 && answer.status !== 429)) {
				this.record.write(`configuration ${configuration.version} (${body.length} bytes, ${configuration.routes.length} routes): ${answer.status} from ${name}, attempt ${attempt + 1}`);
				return answer.status;
			}

			await sleep(Math.min(500, 50 * (attempt + 1)));
		}

		this.record.write(`configuration ${configuration.version}: no clear answer within ${maxMs} ms`);
		return undefined;
	}

	/** Reads the configuration as the operator does at the end of a day, at one machine after another. Returns its version. */
	async readBack(maxMs) {
		const until = Date.now() + maxMs;
		const statuses = {};
		for (let attempt = 0; Date.now() < until; attempt++) {
			const names = this.running;
			const name = names[attempt % names.length];
			const {status, body} = await call(this.address(name, 'control'), {target: '/api/Config.Get', timeoutMs: 3000});
			statuses[status] = (statuses[status] ?? 0) + 1;
			if (status === 200) {
				const {version} = JSON.parse(body);
				this.record.write(`read back: version ${version} from ${name}, attempt ${attempt + 1}`);
				return version;
			}

			await sleep(200);
		}

		this.record.write(`read back: no configuration within ${maxMs} ms; answers by status ${JSON.stringify(statuses)}`);
		return undefined;
	}

	/** Ends all processes that were started. */
	async end() {
		for (const machine of this.machines.values()) {
			if (!machine.hasEnded) {
				machine.isExpectedToEnd = true;
				machine.child.kill('SIGKILL');
				await machine.ended;
			}
		}

		if (process.env.KEEP === '1') {
			this.record.write(`settings and logs are kept in ${path.basename(this.#folder)} of the temporary folder`);
		} else {
			rmSync(this.#folder, {recursive: true, force: true});
		}
	}
}

/** A configuration with a model service, a plain one and so many routes, as in the examples of the pages. */
export function createConfiguration(version, routes) {
	return {
		version, routes: Array.from({length: routes}, (_, index) => ({
			name: `r-i9n${index}`, host: 'ficu95.example', 'path-prefix': `/pufi${index}/`, ...(index % 2 === 0
				? {
					kind: 'streaming', 'timeout-ms': 15_000, 'slo-ms': 150, priority: 1, service: 'huvo11a', 'max-attempts': 2, sticky: true, resumable: true, 'gap-slo-ms': 200,
				}
				: {
					kind: 'streaming', 'timeout-ms': 2000, 'slo-ms': 200, priority: 0, split: [{service: 'huvo11a', weight: 90}, {service: 'wuno96b', weight: 10}], 'max-attempts': 1, sticky: true, resumable: false, 'gap-slo-ms': 200,
				}),
		})), services: [{
			name: 'huvo11a', 'health-path': '/healthz', 'max-conns': 380, protocol: 'h1', tls: false, engine: {
				slots: 64, 'kv-tokens': 370_000, 'kv-token-bytes': 163_840, 'link-mbps': 12_000_000, moves: true, backups: true, stride: 52, most: 12, 'handle-ttl-s': 5, 'switch-s': 3, 'pin-ms': 4000, 'hold-ms': 2000, models: [{name: 'm'}],
			},
		}, {
			name: 'wuno96b', 'health-path': '/healthz', 'max-conns': 120, protocol: 'h1', tls: false,
		}], limits: {
			'max-header-bytes': 16_384, 'max-body-bytes': 4_194_304, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000,
		},
	};
}

/** Runs a case: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
export async function runCase(folder, settings, run) {
	const record = new Record(path.join(folder, 'record.txt'));
	const fleet = new Fleet(record, settings);
	const timer = setTimeout(async () => {
		record.write('the case did not end in time');
		await fleet.end();
		process.exit(2);
	}, 115_000);
	let code = 2;
	try {
		const broken = await run(fleet, process.env.TROUBLE !== '0');
		code = broken === undefined ? 0 : 1;
		record.write(broken === undefined ? 'HELD' : `BROKEN: ${broken}`);
	} catch (error) {
		record.write(`could not run: ${error.stack}`);
	}

	clearTimeout(timer);
	await fleet.end();
	process.exit(code);
}

export {setTimeout as sleep} from 'node:timers/promises';
