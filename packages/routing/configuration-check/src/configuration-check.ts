/**
 * Checks a document with a route configuration before an operator puts it in force: mistakes for which it would be refused,
 * entries without effect, limits that contradict each other, and what differs from the version in force. The format of the
 * document belongs to the deployment, so its decoder is passed in, as is the access to files.
 */
import {isDeepStrictEqual} from 'node:util';
import {describeError} from '@hickorytrack/errors';
import {findRouteMistakes} from '@hickorytrack/route-table/check-routes';
import type {RouteConfiguration} from '@hickorytrack/route-table/route-types';
import {
	checkExitCodes, severities, type CheckReport, type Difference, type Finding,
} from './check-report.js';
import {findContradictions} from './find-contradictions.js';
import {findDifferences} from './find-differences.js';
import {findUnusedEntries} from './find-unused-entries.js';

/** Throws an error that names the field if the document can't be decoded; the message must not contain a key. */
export type ConfigurationDecoder = (document: unknown, opts: {onOutOfRange?: (error: Error) => void}) => RouteConfiguration;

export type ConfigurationCheckOptions = {
	decode: ConfigurationDecoder;
	readText: (path: string) => Promise<string>;
};

export type CheckedFiles = {
	file: string;
	/** The version in force. */
	against?: string;
};

type Document = {
	value: unknown;
	configuration: RouteConfiguration;
};

export class ConfigurationCheck {
	readonly #opts: ConfigurationCheckOptions;

	constructor(opts: ConfigurationCheckOptions) {
		this.#opts = opts;
	}

	async run({file, against}: CheckedFiles): Promise<CheckReport> {
		const text = await this.#readFile(file);
		const otherText = against === undefined ? undefined : await this.#readFile(against);
		const unreadable = [text, otherText].filter(result => typeof result === 'object');
		if (typeof text === 'object' || typeof otherText === 'object') {
			return {exitCode: checkExitCodes.unreadable, findings: unreadable};
		}

		const other = otherText === undefined ? undefined : this.#decode(otherText, () => {/* A stored document stays in force with the nearest number. */});
		// Without the version in force there is no comparison, and the document itself may be right.
		if (other && 'code' in other) {
			return {exitCode: checkExitCodes.unreadable, findings: [createError('unreadable-against', `${against} can't be compared with: ${other.message}`)]};
		}

		return this.#checkText(text, other);
	}

	async #readFile(path: string): Promise<string | Finding> {
		try {
			return await this.#opts.readText(path);
		} catch (error) {
			return createError('unreadable-file', `${path} can't be read: ${describeError(error)}`);
		}
	}

	#checkText(text: string, other: Document | undefined): CheckReport {
		let findings: Finding[] = [];
		let differences: Difference[] | undefined;
		const document = this.#decode(text, ({message}) => {
			findings.push(createError('out-of-range', message));
		});
		if ('code' in document) {
			findings.push(document);
		} else {
			const {configuration} = document;
			// Not `push` with spread arguments, whose number is limited by the stack.
			findings = [
				...findings,
				...findRouteMistakes(configuration).map(({code, message}) => createError(code, message)),
				...(other ? checkVersion(document, other) : []),
				...findUnusedEntries(configuration),
				...findContradictions(configuration),
			];
			differences = other && findDifferences(other.configuration, configuration);
		}

		const hasErrors = findings.some(finding => finding.severity === severities.error);
		return {exitCode: hasErrors ? checkExitCodes.errors : checkExitCodes.noErrors, findings, ...(differences && {differences})};
	}

	#decode(text: string, onOutOfRange: (error: Error) => void): Document | Finding {
		let value: unknown;
		try {
			value = JSON.parse(text) as unknown;
		} catch (error) {
			return createError('not-json', `the document is not valid JSON${describePosition(text, error)}`);
		}

		try {
			return {value, configuration: this.#opts.decode(value, {onOutOfRange})};
		} catch (error) {
			return createError('invalid-document', describeError(error));
		}
	}
}

function createError(code: string, message: string): Finding {
	return {code, severity: severities.error, message};
}

/** The message of the parser quotes the text around the mistake, which may be a key. */
function describePosition(text: string, error: unknown): string {
	const position = /at position (\d+)/.exec(describeError(error))?.[1];
	return position === undefined ? '' : ` (line ${text.slice(0, Number(position)).split('\n').length})`;
}

/** A document with a lower version is acknowledged and has no effect; another one with the same version is refused. */
function checkVersion({value, configuration: {version}}: Document, {value: otherValue, configuration: {version: otherVersion}}: Document): Finding[] {
	return version > otherVersion || (version === otherVersion && isDeepStrictEqual(value, otherValue))
		? []
		: [createError('version-not-higher', `the version is ${version}, and version ${otherVersion} is in force`)];
}
