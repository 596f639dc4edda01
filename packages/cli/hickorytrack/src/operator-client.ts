/** JSON-RPC client for the operator interface of one process. */
import {randomUUID} from 'node:crypto';
import {createJSONRPCRequest, type JSONRPCResponse} from 'json-rpc-2.0';
import {err, ok, type Result} from 'neverthrow';
import {describeError, HickorytrackError} from '@hickorytrack/errors';
import {sendCall} from '@hickorytrack/http-answer/http-call';

export type OperatorClientOptions = {
	/** Base URL of the operator interface. */
	server: string;
	key?: string;
	timeoutMs?: number;
};

const defaultTimeoutMs = 40_000;
/** For the state of a process with thousands of endpoints. */
const maxReplyBytes = 16 * 1024 * 1024;

/** Exit codes of the command-line tool. Scripts depend on them. */
export const exitCodes = {
	failed: 1, usage: 2, refused: 3, unreachable: 4, timedOut: 5,
} as const;

const refusedErrorCodes = new Set(['ERR_HICKORYTRACK_CONFLICT', 'ERR_HICKORYTRACK_REFUSED', 'ERR_HICKORYTRACK_REUSED_CHANGE_ID', 'ERR_HICKORYTRACK_INVALID', 'ERR_HICKORYTRACK_NOT_FOUND', 'ERR_HICKORYTRACK_BAD_CONTRACT']);

export class OperatorError extends HickorytrackError {
	readonly exitCode: number;

	constructor(code: HickorytrackError['code'], message: string, opts: {hint?: string; exitCode: number; cause?: unknown}) {
		super(code, message, opts);
		this.exitCode = opts.exitCode;
	}
}

export class OperatorClient {
	readonly #opts: OperatorClientOptions;

	constructor(opts: OperatorClientOptions) {
		this.#opts = opts;
	}

	async call<T>(method: string, params: Record<string, unknown> = {}): Promise<Result<T, OperatorError>> {
		const timeoutMs = this.#opts.timeoutMs ?? defaultTimeoutMs;
		try {
			const {body} = await sendCall(`${this.#opts.server}/rpc`, {
				method: 'POST',
				timeoutMs,
				maxBodyBytes: maxReplyBytes,
				headers: {'content-type': 'application/json', ...(this.#opts.key !== undefined && {authorization: `Bearer ${this.#opts.key}`})},
				body: JSON.stringify(createJSONRPCRequest(randomUUID(), method, params)),
			});
			return this.#convertReply<T>(JSON.parse(body.toString()) as JSONRPCResponse);
		} catch (error) {
			return err(new OperatorError('ERR_HICKORYTRACK_UNREACHABLE', `The operator interface at ${this.#opts.server} does not answer: ${describeError(error)}`, {
				hint: 'Check --server, or use the operator interface of another instance: every instance accepts operator calls.', exitCode: exitCodes.unreachable, cause: error,
			}));
		}
	}

	#convertReply<T>(reply: JSONRPCResponse): Result<T, OperatorError> {
		if (!reply.error) {
			return ok(reply.result as T);
		}

		const data = reply.error.data as {code?: HickorytrackError['code']; hint?: string} | undefined;
		const code = data?.code ?? 'ERR_HICKORYTRACK_FAILED';
		return err(new OperatorError(code, reply.error.message, {hint: data?.hint, exitCode: refusedErrorCodes.has(code) ? exitCodes.refused : exitCodes.failed}));
	}
}
