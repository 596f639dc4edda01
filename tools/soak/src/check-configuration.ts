/** LOST: what was acknowledged to the operator is read back at the end, from every edge. */
import {isDeepStrictEqual} from 'node:util';
import type {RuleCase, SoakRecords} from './records.js';

export function checkConfiguration({operator, readBacks}: SoakRecords): RuleCase[] {
	const acknowledged = Math.max(0, ...operator.filter(({acknowledgedAt}) => acknowledgedAt !== undefined).map(record => record.version));
	return readBacks.flatMap(({edge, document}): RuleCase[] => {
		if (!document) {
			return [{rule: 'LOST', detail: `${edge} returned no configuration`}];
		}

		if (document.version < acknowledged) {
			return [{rule: 'LOST', detail: `${edge} returned version ${document.version}, ${acknowledged} was acknowledged`}];
		}

		const sent = operator.find(record => record.version === document.version);
		return isDeepStrictEqual(sent?.document, document) ? [] : [{rule: 'LOST', detail: `${edge} returned other content as version ${document.version}`}];
	});
}
