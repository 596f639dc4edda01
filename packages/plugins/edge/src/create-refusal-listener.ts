/** Logs and counts connections to other instances that were closed because of what the other side did, and messages that can't be used. */
import type {LinkRefusal, PeerNodeOptions} from '@hickorytrack/peer-link/peer-node';
import type {EdgeOptions} from './edge-settings.js';
import {RateLimitedEventLog} from './front/rate-limited-event-log.js';

export function createRefusalListener({clock, events, metrics}: Pick<EdgeOptions, 'clock' | 'events' | 'metrics'>): (refusal: LinkRefusal) => void {
	const eventLog = new RateLimitedEventLog(clock, events);
	return refusal => {
		eventLog.emit('linkRefused', refusal);
		metrics.count('links_refused_total', {proven: String(refusal.instance !== undefined)});
	};
}

export function createUnusableListener({clock, events, metrics}: Pick<EdgeOptions, 'clock' | 'events' | 'metrics'>): NonNullable<PeerNodeOptions['onUnusable']> {
	const eventLog = new RateLimitedEventLog(clock, events);
	return unusable => {
		eventLog.emit('peerMessageUnusable', unusable);
		metrics.count('peer_messages_unusable_total', {method: unusable.method});
	};
}
