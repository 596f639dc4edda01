/** Reads the body of a request, as far as the limit allows. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';

export async function readBody(incoming: IncomingMessage, maxBytes: number): Promise<Buffer | 'too-large' | 'broken'> {
	const chunks: Buffer[] = [];
	let size = 0;
	try {
		for await (const chunk of incoming as AsyncIterable<Buffer>) {
			size += chunk.length;
			if (size <= maxBytes) {
				chunks.push(chunk);
			}
		}
	} catch {
		return 'broken';
	}

	return size > maxBytes ? 'too-large' : Buffer.concat(chunks);
}
