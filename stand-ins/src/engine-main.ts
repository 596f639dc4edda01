/** Runs a model engine stand-in as a process: `engine-main PORT JSON-OPTIONS`. A crash restarts the engine in the same process. */
import process from 'node:process';
import {SystemClock} from '@hickorytrack/clock/system-clock';
import {ModelEngine, type ModelEngineOptions} from './model-engine.js';

const opts = JSON.parse(process.argv[3] ?? '{}') as Partial<ModelEngineOptions>;
const engine = new ModelEngine({
	clock: new SystemClock(),
	models: ['ordinance', 'drafting'],
	speed: {
		prefillTokensPerSecond: 20_000, decodeTokensPerSecond: 1600, sequenceTokensPerSecond: 60, capacity: 32,
	},
	...opts,
});
await engine.start(Number(process.argv[2]));
process.on('SIGTERM', () => {
	process.exit(0);
});
