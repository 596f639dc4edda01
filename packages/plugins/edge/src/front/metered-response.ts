/** Responses to callers that report what is written to them, for the meter of the instance's link. */
import {Buffer} from 'node:buffer';
import {ServerResponse, type IncomingMessage} from 'node:http';

/** Size of the head of an answer, counted with its first part. */
const headBytes = 300;

export function createMeteredResponse(onSent: (bytes: number) => void): typeof ServerResponse {
	return class MeteredResponse<Request extends IncomingMessage = IncomingMessage> extends ServerResponse<Request> {
		#isHeadCounted = false;

		override write(chunk: unknown, ...rest: unknown[]): boolean {
			this.#recordPart(chunk);
			return Reflect.apply(super.write, this, [chunk, ...rest] as Parameters<ServerResponse['write']>);
		}

		override end(...rest: unknown[]): this {
			this.#recordPart(rest[0]);
			Reflect.apply(super.end, this, rest as Parameters<ServerResponse['end']>);
			return this;
		}

		#recordPart(chunk: unknown): void {
			const bytes = typeof chunk === 'string' || chunk instanceof Uint8Array ? Buffer.byteLength(chunk) : 0;
			onSent(bytes + (this.#isHeadCounted ? 0 : headBytes));
			this.#isHeadCounted = true;
		}
	};
}
