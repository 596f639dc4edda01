/**
 * `npm run faults -- --seed N [--only STEP/FAULT] [--pairs N] [--slots N] [--every N]`: runs the fault matrix, with `--slots`
 * cells in parallel. `--only` selects cells by the start of their name, `--every N` selects every Nth cell. A run of all
 * cells writes docs/FAULT-MATRIX.md.
 */
import {readFile, writeFile} from 'node:fs/promises';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {SystemClock} from '@hickorytrack/clock/system-clock';
import {formatCell, listCells, type Cell} from './cells.js';
import {runCell, type CellResult} from './cell-runner.js';

const root = new URL('../../../../', import.meta.url);
const {values} = parseArgs({
	options: {
		seed: {type: 'string', default: '1'}, only: {type: 'string'}, pairs: {type: 'string', default: '24'}, slots: {type: 'string', default: '5'}, every: {type: 'string', default: '1'},
	},
});
const seed = Number(values.seed);
const clock = new SystemClock();

/** Reads the known failures from KNOWN-RED.txt, where each has a line `faults: STEP/FAULT`. */
async function readKnownRed(): Promise<Set<string>> {
	const text = await readFile(new URL('KNOWN-RED.txt', root), 'utf8').catch(() => '');
	return new Set([...text.matchAll(/^faults: (?<cell>\S+)/gm)].map(match => match.groups!.cell!));
}

async function runAll(cells: readonly Cell[]): Promise<CellResult[]> {
	const results: CellResult[] = [];
	const queue = [...cells.entries()];
	const runQueue = async () => {
		for (let next = queue.shift(); next; next = queue.shift()) {
			const [index, cell] = next;
			const result = await runCell(cell, {clock, seed: seed + index});
			results.push(result);
			console.log(`${result.outcome.padEnd(11)} ${formatCell(cell)} ${result.seconds.toFixed(1)} s${result.failures.map(failure => `\n            ${failure}`).join('')}`);
		}
	};

	await Promise.all(Array.from({length: Number(values.slots)}, async () => runQueue()));
	return results;
}

function formatTable(results: readonly CellResult[], knownRed: ReadonlySet<string>): string {
	const rows = [...results].sort((a, b) => formatCell(a.cell).localeCompare(formatCell(b.cell))).map(result => {
		const name = formatCell(result.cell);
		return `| ${result.cell.step} | ${result.cell.faults.join(' + ')} | ${result.outcome}${knownRed.has(name) ? ' (known red)' : ''} | ${result.failures[0]?.slice(0, 160).replaceAll('|', '/') ?? ''} |`;
	});
	return ['# Fault matrix', '', `Written by \`npm run faults -- --seed ${seed}\`. A cell that was not reached shows nothing and counts as failed.`, '', '| step | fault | outcome | first finding |', '| --- | --- | --- | --- |', ...rows, ''].join('\n');
}

const allCells = listCells({seed, pairs: Number(values.pairs)});
const selectedCells = values.only === undefined ? allCells.filter((_, index) => index % Number(values.every) === 0) : allCells.filter(cell => formatCell(cell).startsWith(values.only!));
const knownRed = await readKnownRed();
const results = await runAll(selectedCells);
const failed = results.filter(result => result.outcome !== 'passed');
const unexpectedFailures = failed.filter(result => !knownRed.has(formatCell(result.cell)));
if (selectedCells.length === allCells.length) {
	await writeFile(new URL('docs/FAULT-MATRIX.md', root), formatTable(results, knownRed));
}

console.log(`${results.length - failed.length} passed, ${unexpectedFailures.length} failed`);
console.log(JSON.stringify({
	cells: results.length, passed: results.length - failed.length, failed: unexpectedFailures.length, knownRed: failed.length - unexpectedFailures.length, seed,
}));
process.exit(unexpectedFailures.length > 0 ? 1 : 0); // eslint-disable-line unicorn/no-process-exit
