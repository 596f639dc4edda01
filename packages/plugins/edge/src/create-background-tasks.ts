/** Creates the owner of an edge's background tasks, which logs and counts their errors. */
import {BackgroundTasks} from '@hickorytrack/background-tasks';
import {describeError} from '@hickorytrack/errors';
import type {EdgeOptions} from './edge-settings.js';
import {RateLimitedEventLog} from './front/rate-limited-event-log.js';

export function createBackgroundTasks({clock, events, metrics}: Pick<EdgeOptions, 'clock' | 'events' | 'metrics'>): BackgroundTasks {
	const eventLog = new RateLimitedEventLog(clock, events);
	return new BackgroundTasks({
		onFailed({task, error}) {
			eventLog.emit('taskFailed', {task, message: describeError(error), stack: error instanceof Error ? error.stack : undefined});
			metrics.count('task_failures_total', {task});
		},
	});
}
