/** Command `npm run bench -- NAME --seed N`: runs one benchmark and prints its result as one JSON object in the last line. */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {SystemClock} from '@hickorytrack/clock/system-clock';
import {benchControl} from './control-bench.js';
import {benchEdgeCost} from './edge-cost-bench.js';
import {benchFairness} from './fairness-bench.js';
import {benchHeld} from './held-bench.js';
import {benchMix} from './mix-bench.js';
import {benchOverload} from './overload-bench.js';
import {benchPath} from './path-bench.js';
import {benchPlacement} from './placement-bench.js';
import {benchPoison} from './poison-bench.js';
import {benchSlopes} from './slopes-bench.js';

const {values, positionals} = parseArgs({
	allowPositionals: true, options: {
		seed: {type: 'string', default: '1'}, deployment: {type: 'string', default: 'cuenca'}, plot: {type: 'string'}, connections: {type: 'string', default: '8,64,200'}, 'memory-mb': {type: 'string', default: '350'}, seconds: {type: 'string', default: '20'}, 'cpu-prof': {type: 'string'}, against: {type: 'string'}, 'node-flags': {type: 'string', default: ''}, 'against-flags': {type: 'string', default: ''},
	},
});
const seed = Number(values.seed);
const splitFlags = (text: string) => text.split(',').filter(flag => flag !== '');
const clock = new SystemClock();

const benches: Record<string, () => Promise<unknown> | unknown> = {
	placement: () => benchPlacement(seed),
	fairness: () => benchFairness(seed),
	path: async () => benchPath({clock}),
	slopes: async () => benchSlopes(new URL('../../../../docs/measurements/', import.meta.url)),
	poison: async () => benchPoison(seed, {clock}),
	control: async () => benchControl(seed, {clock}),
	held: async () => benchHeld({clock, connections: values.connections.split(',').map(Number), memoryMb: Number(values['memory-mb'])}),
	'edge-cost': async () => benchEdgeCost({
		clock, seed, seconds: Number(values.seconds), profiled: values['cpu-prof'], against: values.against, nodeFlags: splitFlags(values['node-flags']), againstFlags: splitFlags(values['against-flags']),
	}),
	overload: () => benchOverload(seed),
	mix: async () => benchMix({seed, deployment: values.deployment, plotFolder: values.plot === undefined ? undefined : new URL(`${values.plot}/`, `file://${process.cwd()}/`)}),
};

const bench = benches[positionals[0] ?? ''];
if (bench) {
	console.log(JSON.stringify(await bench()));
	process.exit(0); // eslint-disable-line unicorn/no-process-exit
}

console.error(`Unknown or missing benchmark name; expected one of ${Object.keys(benches).join(', ')}`);
process.exitCode = 2;
