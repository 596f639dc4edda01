/**
 * Checks whether a server whose connection broke still listens. If not, marks the server as unresponsive and reports the
 * request that it was running to all instances.
 */
import {connect} from 'node:net';
import type {Clock} from '@hickorytrack/clock';
import type {KnownServer} from '@hickorytrack/endpoint-registry';
import type {Mesh} from '@hickorytrack/mesh';
import {parseAddress} from '@hickorytrack/peer-link/peer-node';
import type {CallerRequest} from './caller-request.js';
import type {RateLimitedEventLog} from './rate-limited-event-log.js';
import type {PoisonRequestTracker} from './poison-request-tracker.js';
import type {ServerHealth} from './server-health.js';

const crashProbeDelayMs = 30; // By then the listener of a crashed process is closed.
const crashProbeTimeoutMs = 300;

export type CrashDetectorOptions = {
	clock: Clock;
	mesh: Mesh;
	poisonRequests: PoisonRequestTracker;
	eventLog: RateLimitedEventLog;
	health: ServerHealth;
};

export class CrashDetector {
	readonly #opts: CrashDetectorOptions;

	constructor(opts: CrashDetectorOptions) {
		this.#opts = opts;
	}

	async checkForCrash(request: CallerRequest, server: KnownServer): Promise<void> {
		const {clock, mesh, poisonRequests, eventLog, health} = this.#opts;
		await clock.sleep(crashProbeDelayMs);
		if (await isListening(server.address)) {
			return;
		}

		health.recordUnresponsive(server);
		const crashId = `${server.id}/${server.startedAt}`;
		poisonRequests.recordCrash(request.fingerprint, crashId);
		mesh.broadcast('poison.note', {fingerprint: request.fingerprint, crash: crashId});
		eventLog.emit('crashSuspected', {request: request.metadata.requestId, server: server.id});
	}
}

async function isListening(address: string): Promise<boolean> {
	return new Promise(resolve => {
		const socket = connect({...parseAddress(address), timeout: crashProbeTimeoutMs});
		const finish = (isOpen: boolean) => {
			socket.destroy();
			resolve(isOpen);
		};

		socket.on('connect', () => {
			finish(true);
		});
		socket.on('timeout', () => {
			finish(false);
		});
		socket.on('error', () => {
			finish(false);
		});
	});
}
