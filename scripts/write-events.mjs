// Writes docs/events.md from the catalogues in the code. Run it after `npm run build`.
import fs from 'node:fs';
import {eventCatalogue} from '@hickorytrack/events/event-catalogue';
import {metricCatalogue} from '@hickorytrack/events/metrics';

const lines = [
	'# Events and metrics',
	'',
	'Written by `node scripts/write-events.mjs`; a test holds it against the code. Events are JSON lines on standard output with the number in `event`.',
	'',
	'| number | name | level | text | what to do |',
	'| --- | --- | --- | --- | --- |',
	...Object.entries(eventCatalogue).map(([name, event]) => `| ${event.number} | ${name} | ${event.level} | ${event.text} | ${event.action} |`),
	'',
	'## Metrics',
	'',
	'Sent by StatsD to the address in `--statsd`, each with the tag `instance`.',
	'',
	'| metric | meaning |',
	'| --- | --- |',
	...Object.entries(metricCatalogue).map(([name, text]) => `| \`hickorytrack.${name}\` | ${text} |`),
	'',
];
fs.writeFileSync('docs/events.md', lines.join('\n'));
