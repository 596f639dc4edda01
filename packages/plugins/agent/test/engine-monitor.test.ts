import {expect} from 'chai';
import {err, ok, type Result} from 'neverthrow';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {HickorytrackError, type ErrorCode} from '@hickorytrack/errors';
import type {EngineDescription} from '@hickorytrack/types/engine-adapter';
import {EngineMonitor, type EngineMonitorOptions} from '../src/engine-monitor.js';

const createError = (code: ErrorCode): Result<EngineDescription, HickorytrackError> => err(new HickorytrackError(code, 'no answer'));
const silent = createError('ERR_HICKORYTRACK_ENGINE_SILENT');
const unreachable = createError('ERR_HICKORYTRACK_ENGINE_UNREACHABLE');
const answering = (incarnation: string) => ok({incarnation}) as unknown as Result<EngineDescription, HickorytrackError>;

/** Checks for a crash of the engine process `1`, whose queries have these results; the last one repeats. */
async function checkCrash(results: ReadonlyArray<Result<EngineDescription, HickorytrackError>>): Promise<boolean> {
	const clock = new ManualClock();
	let queries = 0;
	const monitor = new EngineMonitor({
		context: {clock}, adapter: {describe: async () => results[Math.min(queries++, results.length - 1)]!},
	} as unknown as EngineMonitorOptions);
	const check = monitor.checkCrash('1');
	await clock.advance(10_000);
	return check;
}

describe('crash check of an engine', () => {
	// All requests of a silent engine were aborted and became suspects when the connection of one of them broke.
	it('does not take silence for a crash', async () => {
		expect(await checkCrash([silent])).to.equal(false);
		expect(await checkCrash([unreachable, silent])).to.equal(false);
		expect(await checkCrash([silent, answering('1')])).to.equal(false);
	});

	it('finds a crash when another process answers or nobody can be reached', async () => {
		expect(await checkCrash([answering('2')])).to.equal(true);
		expect(await checkCrash([silent, answering('2')])).to.equal(true);
		expect(await checkCrash([unreachable])).to.equal(true);
		expect(await checkCrash([silent, unreachable])).to.equal(true);
		expect(await checkCrash([unreachable, answering('1')])).to.equal(false);
	});
});
