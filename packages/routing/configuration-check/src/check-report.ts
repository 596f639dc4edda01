/**
 * The result of a configuration check, as text and as JSON. Every line has a code that stays the same from version to
 * version, so that scripts can select findings by it. No part of a report contains a key.
 */

export const severities = {
	/** The configuration is refused, or would not take effect. */
	error: 'error',
	/** The configuration is accepted, but a part of it has no effect or contradicts another part. */
	warning: 'warning',
	/** Correct in most deployments, but often misunderstood. */
	note: 'note',
} as const;
export type Severity = typeof severities[keyof typeof severities];

export type Finding = {
	code: string;
	severity: Severity;
	message: string;
};

export type Difference = {
	/** For example `route-added`, `service-removed`, `workspace-changed` or `workspace-keys-changed`. */
	code: string;
	/** Name of the route, service or workspace; undefined for what belongs to the whole configuration. */
	name?: string;
	/** The field that changed. */
	field?: string;
	/** Values of the field; undefined if it was or is not set. */
	before?: unknown;
	after?: unknown;
	/** Numbers of keys that the workspace has gained and lost. */
	keysAdded?: number;
	keysRemoved?: number;
};

/** Exit statuses of the commands that check a configuration. Scripts depend on them. */
export const checkExitCodes = {noErrors: 0, errors: 1, unreadable: 2} as const;

export type CheckReport = {
	exitCode: typeof checkExitCodes[keyof typeof checkExitCodes];
	findings: readonly Finding[];
	/** Differences from the version in force; undefined if there was nothing to compare with. */
	differences?: readonly Difference[];
};

/** Formats each finding and each difference as one line. */
export function formatReport({findings, differences}: CheckReport): string[] {
	const lines = [
		...findings.map(({code, severity, message}) => `${severity} ${code}: ${message}`),
		...(differences ?? []).map(difference => `difference ${difference.code}: ${describeDifference(difference)}`),
	];
	return lines.length > 0 ? lines.map(line => replaceControlCharacters(line)) : ['ok: no findings'];
}

function describeDifference({name, field, before, after, keysAdded, keysRemoved}: Difference): string {
	const change = field === undefined ? undefined : `${field}: ${describeValue(before)} -> ${describeValue(after)}`;
	const keys = keysAdded === undefined && keysRemoved === undefined ? undefined : `${keysAdded ?? 0} keys added, ${keysRemoved ?? 0} removed`;
	return [name === undefined ? undefined : JSON.stringify(name), change, keys].filter(part => part !== undefined).join(' ');
}

function describeValue(value: unknown): string {
	return value === undefined ? 'not set' : JSON.stringify(value);
}

/** Names come from the document: without this, one could split a line or change the terminal. */
function replaceControlCharacters(line: string): string {
	return line.replaceAll(/[\p{Cc}\u2028\u2029]/gu, character => `\\u${character.codePointAt(0)!.toString(16).padStart(4, '0')}`);
}
