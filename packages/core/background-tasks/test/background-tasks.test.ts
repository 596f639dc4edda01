import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {BackgroundTasks, type TaskFailure} from '../src/background-tasks.js';

describe('background tasks', () => {
	let failures: TaskFailure[];
	let tasks: BackgroundTasks;
	const clock = new ManualClock();
	const fail = () => {
		throw new Error('broken');
	};

	beforeEach(() => {
		failures = [];
		tasks = new BackgroundTasks({
			onFailed(failure) {
				failures.push(failure);
			},
		});
	});

	// Guards against an error of a task that nobody waits for, which ended the process.
	it('report what a task throws, at once or later', async () => {
		await tasks.run('a', fail);
		await tasks.run('b', async () => fail());
		tasks.start('c', fail);
		expect(failures.map(({task}) => task)).to.deep.equal(['a', 'b', 'c']);
	});

	it('report what a listener throws, at once or later', async () => {
		tasks.createListener('a', fail)();
		tasks.createListener('b', async () => fail())();
		await clock.advance(0);
		expect(failures.map(({task}) => task)).to.deep.equal(['a', 'b']);
	});

	it('pass the arguments of an event to its listener', () => {
		const received: unknown[] = [];
		tasks.createListener('a', (...args: [number, string]) => {
			received.push(...args);
		})(1, 'x');
		expect(received).to.deep.equal([1, 'x']);
	});

	it('start a task again that has failed, later each time, until the signal aborts', async () => {
		const starts: number[] = [];
		const controller = new AbortController();
		const begunAt = clock.monotonic();
		tasks.startUntil(controller.signal, {task: 'loop', clock}, async () => {
			starts.push(clock.monotonic() - begunAt);
			fail();
		});
		await clock.advance(400);
		expect(starts).to.deep.equal([0, 50, 150, 350]);
		controller.abort();
		await clock.advance(10_000);
		expect(starts).to.have.length(4);
	});

	it('start a task at once again in its first delay if it had gone on for long', async () => {
		const starts: number[] = [];
		const controller = new AbortController();
		const begunAt = clock.monotonic();
		tasks.startUntil(controller.signal, {task: 'loop', clock}, async () => {
			starts.push(clock.monotonic() - begunAt);
			await clock.sleep(20_000);
			fail();
		});
		await clock.advance(60_200);
		expect(starts).to.deep.equal([0, 20_050, 40_100, 60_150]);
		controller.abort();
	});

	it('do not start a task again that has ended', async () => {
		let starts = 0;
		tasks.startUntil(new AbortController().signal, {task: 'loop', clock}, async () => {
			starts++;
		});
		await clock.advance(10_000);
		expect(starts).to.equal(1);
	});
});
