/**
 * Connections that fill the address of an edge for control calls, and that for other edges: bodies and frames that are
 * announced, sent for the most part and not ended. An edge may hold no more for them than its machine has, and the others that
 * use these addresses go on.
 */
import {Buffer} from 'node:buffer';
import {readFile} from 'node:fs/promises';
import {connect, type Socket} from 'node:net';
import type {Clock} from '@hickorytrack/clock';
import {edgePorts, memoryMb, type EdgeProcess} from './edge-process.js';
import type {RuleCase} from './records.js';

const bodyBytes = 7_900_000;
const bodyConnections = 60;
const frameBytes = 66_000_000;
const frameConnections = 8;
const kibPerMib = 1024;

/** Fills both addresses of the edge for this long, and returns a case if the edge has used more memory than its machine has. */
export async function floodEdge(edge: EdgeProcess, durationMs: number, clock: Clock): Promise<RuleCase[]> {
	const floods = [{port: edgePorts.control, count: bodyConnections, bytes: createBody()}, {port: edgePorts.peer, count: frameConnections, bytes: createFrame()}];
	const sockets = floods.flatMap(({port, count, bytes}) => Array.from({length: count}, () => sendBytes(connect(port, edge.ip), bytes)));
	await clock.sleep(durationMs);
	const peakMb = await readPeakMb(edge.pid);
	for (const socket of sockets) {
		socket.destroy();
	}

	return peakMb > memoryMb ? [{rule: 'ENDED', detail: `${edge.name} used ${Math.round(peakMb)} MB beside control calls and frames that don't end, more than the ${memoryMb} MB of its machine`}] : [];
}

function sendBytes(socket: Socket, bytes: Buffer): Socket {
	socket.on('error', () => {/* The edge may close it. */});
	socket.resume();
	socket.write(bytes);
	return socket;
}

function createBody(): Buffer {
	return Buffer.from(`POST /api/Config.Put HTTP/1.1\r\nhost: a\r\ncontent-length: ${bodyBytes}\r\n\r\n${' '.repeat(bodyBytes - 1)}`);
}

function createFrame(): Buffer {
	const frame = Buffer.alloc(frameBytes, 'x');
	frame.writeUInt32BE(frameBytes, 0);
	return frame;
}

/** The most memory that the process has used, in MiB; 0 if it has ended. */
async function readPeakMb(pid: number | undefined): Promise<number> {
	try {
		const status = await readFile(`/proc/${pid}/status`, 'utf8');
		return Number(/^VmHWM:\s+(\d+) kB/m.exec(status)?.[1] ?? 0) / kibPerMib;
	} catch {
		return 0;
	}
}
