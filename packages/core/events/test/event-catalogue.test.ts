import {readFile} from 'node:fs/promises';
import {expect} from 'chai';
import {eventCatalogue} from '../src/event-catalogue.js';
import {metricCatalogue} from '../src/metrics.js';

const readDocument = async (): Promise<string> => readFile(new URL('../../../../../docs/events.md', import.meta.url), 'utf8');

describe('event catalogue', () => {
	it('uses each number once', () => {
		const numbers = Object.values(eventCatalogue).map(event => event.number);
		expect(new Set(numbers).size).to.equal(numbers.length);
	});

	it('matches docs/events.md', async () => {
		const document = await readDocument();
		const rows = document.split('\n').filter(line => /^\| \d/.test(line) || line.startsWith('| `'));
		const expected = [
			...Object.entries(eventCatalogue).map(([name, event]) => `| ${event.number} | ${name} | ${event.level} | ${event.text} | ${event.action} |`),
			...Object.entries(metricCatalogue).map(([name, text]) => `| \`hickorytrack.${name}\` | ${text} |`),
		];
		expect(rows).to.deep.equal(expected);
	});
});
