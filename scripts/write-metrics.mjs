// Writes docs/metrics.md from the catalogue in the code. Run it after `npm run build`.
import fs from 'node:fs';
import {metricsCatalogue} from '@hickorytrack/metrics-registry';

const lines = [
	'# Metrics of the edge',
	'',
	'Written by `node scripts/write-metrics.mjs`; a test holds it against the code. Served as text at `/metrics` on the port of `--metrics-port`.',
	'',
	'| metric | kind | labels | meaning |',
	'| --- | --- | --- | --- |',
	...Object.entries(metricsCatalogue).map(([name, {kind, labels, help}]) => `| \`hickorytrack_${name}\` | ${kind} | ${labels.join(', ')} | ${help} |`),
	'',
];
fs.writeFileSync('docs/metrics.md', lines.join('\n'));
