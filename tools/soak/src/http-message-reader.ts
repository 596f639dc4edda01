/**
 * Reads HTTP/1.1 messages from the bytes of one connection. Callers and servers of the soak read their sockets
 * themselves, because an HTTP library hides what the checks look for: bytes that no request waits for, and the part of a
 * message that arrived before its connection broke.
 */
import {Buffer} from 'node:buffer';

export type HttpMessage = {
	startLine: string;
	/** Names are in lower case; the last of several values counts. */
	headers: Record<string, string>;
	body: Buffer;
};

const headEnd = '\r\n\r\n';
const lineEnd = '\r\n';
const maxHeadBytes = 65_536;
const hexadecimal = 16;

export class HttpMessageReader {
	#bytes = Buffer.alloc(0);
	#open: HttpMessage | undefined;

	/** The message whose head has arrived and whose body has not. */
	get openMessage(): HttpMessage | undefined {
		return this.#open;
	}

	/** Returns the messages that are now complete. Throws if the bytes are not an HTTP message. */
	push(chunk: Buffer): HttpMessage[] {
		this.#bytes = Buffer.concat([this.#bytes, chunk]);
		const messages: HttpMessage[] = [];
		for (let message = this.#read(); message; message = this.#read()) {
			if (!message.startLine.startsWith('HTTP/1.1 1')) {
				messages.push(message);
			}
		}

		return messages;
	}

	/** Returns the open message if only the end of the connection ends it. */
	finish(): HttpMessage | undefined {
		return this.#open && isCloseDelimited(this.#open) ? this.#open : undefined;
	}

	#read(): HttpMessage | undefined {
		this.#open ??= this.#readHead();
		const message = this.#open;
		if (!message || !this.#readBody(message)) {
			return undefined;
		}

		this.#open = undefined;
		return message;
	}

	#readHead(): HttpMessage | undefined {
		const end = this.#bytes.indexOf(headEnd);
		if (end === -1) {
			if (this.#bytes.length > maxHeadBytes) {
				throw new TypeError('The head is too long');
			}

			return undefined;
		}

		const [startLine, ...lines] = this.#bytes.subarray(0, end).toString('latin1').split(lineEnd);
		if (!/^(?:HTTP\/1\.1 \d{3}\b|[A-Z]+ \S+ HTTP\/1\.1$)/.test(startLine!)) {
			throw new TypeError(`Not the start of a message: ${JSON.stringify(startLine!.slice(0, 80))}`);
		}

		this.#bytes = this.#bytes.subarray(end + headEnd.length);
		const headers = Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
		return {startLine: startLine!, headers, body: Buffer.alloc(0)};
	}

	/** Moves bytes to the body. Returns true once it is complete. */
	#readBody(message: HttpMessage): boolean {
		if (message.headers['transfer-encoding']?.toLowerCase() === 'chunked') {
			return this.#readChunks(message);
		}

		const length = isCloseDelimited(message) ? Number.POSITIVE_INFINITY : Number(message.headers['content-length'] ?? 0);
		const taken = this.#bytes.subarray(0, length - message.body.length);
		message.body = Buffer.concat([message.body, taken]);
		this.#bytes = this.#bytes.subarray(taken.length);
		return message.body.length === length;
	}

	#readChunks(message: HttpMessage): boolean {
		for (;;) {
			const end = this.#bytes.indexOf(lineEnd);
			const size = end === -1 ? 0 : Number.parseInt(this.#bytes.subarray(0, end).toString('latin1'), hexadecimal);
			const next = end + lineEnd.length + size + lineEnd.length;
			if (end === -1 || this.#bytes.length < next) {
				return false;
			}

			if (!(size >= 0)) {
				throw new TypeError('Not the size of a chunk');
			}

			message.body = Buffer.concat([message.body, this.#bytes.subarray(end + lineEnd.length, next - lineEnd.length)]);
			this.#bytes = this.#bytes.subarray(next);
			if (size === 0) {
				return true;
			}
		}
	}
}

function isCloseDelimited({startLine, headers}: HttpMessage): boolean {
	return /^HTTP\/1\.1 (?!1|204|304)/.test(startLine) && headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}

/** Formats a message; the body gets a content length unless the headers say how it ends, or only its connection does. */
export function formatMessage(startLine: string, headers: Readonly<Record<string, string>>, body = '', opts: {isUnframed?: boolean} = {}): Buffer {
	const isFramed = opts.isUnframed === true || headers['transfer-encoding'] !== undefined || headers['content-length'] !== undefined;
	const all = isFramed ? headers : {...headers, 'content-length': String(Buffer.byteLength(body))};
	const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}${lineEnd}`).join('');
	return Buffer.from(`${startLine}${lineEnd}${lines}${lineEnd}${body}`);
}

export function formatChunk(text: string): string {
	return `${Buffer.byteLength(text).toString(hexadecimal)}${lineEnd}${text}${lineEnd}`;
}
