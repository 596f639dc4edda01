/** Creates the kernel with all plug-ins that ship with hickorytrack. Embedders and tests use this module too. */
import {randomUUID} from 'node:crypto';
import {pino} from 'pino';
import type {Clock} from '@hickorytrack/clock';
import {registerAgent} from '@hickorytrack/agent';
import {registerController} from '@hickorytrack/controller';
import {registerHttpEngines} from '@hickorytrack/engine-http';
import {registerEntry} from '@hickorytrack/entry';
import {EventLog} from '@hickorytrack/events';
import {Metrics} from '@hickorytrack/events/metrics';
import {Kernel} from '@hickorytrack/kernel';
import {PluginRegistry} from '@hickorytrack/kernel/plugin';
import {Random} from '@hickorytrack/random';
import type {DaemonSettings} from '@hickorytrack/settings';
import {noStepPoints, type StepPoints} from '@hickorytrack/step-points';

export type DaemonOptions = {
	clock: Clock;
	steps?: StepPoints;
};

const seedRange = 2 ** 32;

export function createDaemon(settings: DaemonSettings, opts: DaemonOptions): Kernel {
	const registry = new PluginRegistry();
	registerController(registry);
	registerAgent(registry);
	registerEntry(registry);
	registerHttpEngines(registry);
	const logger = pino({level: settings.logLevel, base: {instance: settings.instance}});
	const incarnation = randomUUID();
	// Without a configured seed, each start uses a different one, so that the processes' random delays are not synchronised.
	const seed = settings.seed ?? Number.parseInt(incarnation.slice(0, 8), 16) % seedRange;
	return new Kernel({
		settings,
		registry,
		clock: opts.clock,
		random: new Random(seed),
		events: new EventLog({clock: opts.clock, logger}),
		metrics: new Metrics({address: settings.statsd, instance: settings.instance}),
		steps: opts.steps ?? noStepPoints,
		incarnation,
	});
}
