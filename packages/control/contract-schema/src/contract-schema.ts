/**
 * Parses and validates contract files in YAML or JSON. All issues of a file are reported together, each with its line
 * and path. API keys may be given in plain text as `key`; they are replaced by their SHA-256 digest.
 */
import {createHash} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import {
	isMap, isScalar, isSeq, LineCounter, parseDocument, type Document,
} from 'yaml';
import {z} from 'zod';
import {HickorytrackError} from '@hickorytrack/errors';
import type {Contract} from '@hickorytrack/types/contract';

export type ContractIssue = {
	path: string;
	/** Line in the file, starting at 1; missing when the contract was not read from a file. */
	line?: number;
	message: string;
};

export class ContractError extends HickorytrackError {
	readonly issues: ContractIssue[];

	constructor(issues: ContractIssue[]) {
		super('ERR_HICKORYTRACK_BAD_CONTRACT', `The contract is not valid: ${issues.length} issue(s)`, {hint: 'See docs/operators/contracts.md for each field.'});
		this.issues = issues;
	}
}

const name = z.string().regex(/^[\w.-]{1,64}$/, 'must consist of letters, digits, dots, dashes and underscores, at most 64 characters');
const digest = z.string().regex(/^[\da-f]{64}$/, 'must be a SHA-256 digest in lower-case hexadecimal');

const schema = z.strictObject({
	workspace: name,
	apiKeys: z.array(z.strictObject({id: name, sha256: digest})).min(1).max(8),
	models: z.array(z.string().min(1)).default([]),
	services: z.array(z.strictObject({
		name,
		calls: z.array(z.strictObject({
			method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
			path: z.string().startsWith('/'),
			repeatable: z.boolean(),
		})).min(1),
	})).default([]),
	priority: z.number().int().min(0).max(9).default(5),
	share: z.number().positive().max(1000).default(1),
	limits: z.strictObject({
		requestsPerSecond: z.number().positive().default(50),
		burst: z.number().int().min(1).default(100),
		concurrency: z.number().int().min(1).default(200),
		bodyBytes: z.number().int().min(1024).max(16 * 1024 * 1024).default(1024 * 1024),
		queueMs: z.number().int().min(10).max(600_000).default(5000),
	}).prefault({}),
	targets: z.strictObject({
		firstTokenMs: z.number().positive().default(460),
		betweenTokensMs: z.number().positive().default(79),
	}).prefault({}),
	answerRetentionSeconds: z.number().int().min(60).max(30 * 24 * 3600).default(24 * 3600),
});

/** Validates a contract that was not read from a file. */
export function checkContract(value: unknown): Result<Contract, ContractError> {
	const parsed = schema.safeParse(value);
	return parsed.success ? ok(parsed.data) : err(new ContractError(parsed.error.issues.map(issue => convertIssue(issue))));
}

/** Parses one contract from the text of a YAML or JSON file. */
export function parseContract(text: string): Result<Contract, ContractError> {
	const lines = new LineCounter();
	const document = parseDocument(text, {lineCounter: lines});
	if (document.errors.length > 0) {
		return err(new ContractError(document.errors.map(error => ({path: '', line: error.linePos?.[0].line, message: error.message.split('\n', 1)[0]!}))));
	}

	const parsed = schema.safeParse(hashApiKeys(document.toJS() as unknown));
	if (parsed.success) {
		return ok(parsed.data);
	}

	const issues = parsed.error.issues.map(issue => ({...convertIssue(issue), line: findLine(document, {path: issue.path, lines})}));
	return err(new ContractError(issues));
}

export function computeKeyDigest(key: string): string {
	return createHash('sha256').update(key).digest('hex');
}

function hashApiKeys(value: unknown): unknown {
	const contract = value as {apiKeys?: unknown};
	if (typeof value !== 'object' || value === null || !Array.isArray(contract.apiKeys)) {
		return value;
	}

	const apiKeys = contract.apiKeys.map((entry: unknown) => {
		if (typeof entry === 'object' && entry !== null && 'key' in entry && typeof entry.key === 'string') {
			const {key, ...rest} = entry;
			return {...rest, sha256: computeKeyDigest(key)};
		}

		return entry;
	});
	return {...contract, apiKeys};
}

function convertIssue(issue: z.core.$ZodIssue): ContractIssue {
	return {path: issue.path.map(String).join('.'), message: issue.message};
}

function findLine(document: Document, opts: {path: readonly PropertyKey[]; lines: LineCounter}): number | undefined {
	for (let {length} = opts.path; length >= 0; length--) {
		const node = document.getIn(opts.path.slice(0, length), true);
		const range = isMap(node) || isSeq(node) || isScalar(node) ? node.range : undefined;
		if (range) {
			return opts.lines.linePos(range[0]).line;
		}
	}

	return undefined;
}
