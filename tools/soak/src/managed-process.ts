/** A process of the soak that can be started again. Its output goes to a log; only processes started here are signalled. */
import {spawn, type ChildProcess} from 'node:child_process';
import {open} from 'node:fs/promises';
import process from 'node:process';

export type ManagedProcessOptions = {
	name: string;
	logPath: string;
	/** Arguments of Node.js, read at each start. */
	createArgs: () => string[];
	env?: Record<string, string>;
	onStarted?: () => void;
	/** Called at each end; `isExpected` is true after a signal that ends the process. */
	onEnded?: (isExpected: boolean) => void;
};

/** No process of a run outlives it, also when it is interrupted. */
const children = new Set<ChildProcess>();
process.once('exit', () => {
	for (const child of children) {
		child.kill('SIGKILL');
	}
});

export class ManagedProcess {
	readonly #opts: ManagedProcessOptions;
	#child: ChildProcess | undefined;
	#isStarted = false;
	#isEndExpected = false;

	constructor(opts: ManagedProcessOptions) {
		this.#opts = opts;
	}

	get name(): string {
		return this.#opts.name;
	}

	/** Undefined while it does not run. */
	get pid(): number | undefined {
		return this.#child?.pid;
	}

	/** Starts the process unless it runs. */
	async start(): Promise<void> {
		if (this.#isStarted) {
			return;
		}

		this.#isStarted = true;
		const log = await open(this.#opts.logPath, 'a');
		const child = spawn(process.execPath, this.#opts.createArgs(), {stdio: ['ignore', log.fd, log.fd], env: {...process.env, ...this.#opts.env}});
		await log.close();
		this.#child = child;
		this.#isEndExpected = false;
		children.add(child);
		child.once('exit', () => {
			children.delete(child);
			this.#child = undefined;
			this.#isStarted = false;
			this.#opts.onEnded?.(this.#isEndExpected);
		});
		this.#opts.onStarted?.();
	}

	signal(name: 'SIGTERM' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT'): void {
		this.#isEndExpected ||= name === 'SIGTERM' || name === 'SIGKILL';
		this.#child?.kill(name);
	}

	async waitForEnd(): Promise<void> {
		const child = this.#child;
		if (child) {
			await new Promise(resolve => {
				child.once('exit', resolve);
			});
		}
	}

	async kill(): Promise<void> {
		const ended = this.waitForEnd();
		this.signal('SIGKILL');
		await ended;
	}
}
