// Writes the table of docs/design/15-runs-of-a-stream.md from the code. Run it after `npm run build`.
import fs from 'node:fs';
import {rows} from '../packages/plugins/edge/lib/src/streams/run-table.js';

const path = 'docs/design/15-runs-of-a-stream.md';
const heading = '## Table\n\n';
const states = Object.keys(rows.sent);
const lines = [
	'Written by `node scripts/write-run-table.mjs`; a test holds it against the code.',
	'',
	`| event | ${states.join(' | ')} |`,
	`| --- |${' --- |'.repeat(states.length)}`,
	...Object.entries(rows).map(([event, row]) => `| ${event} | ${states.map(state => row[state].text).join(' | ')} |`),
	'',
];
const [text] = fs.readFileSync(path, 'utf8').split(heading);
fs.writeFileSync(path, text + heading + lines.join('\n'));
