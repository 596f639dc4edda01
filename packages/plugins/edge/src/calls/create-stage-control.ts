/** Puts together the control of the stages of servers, which runs on the leader of the core. */
import type {EndpointRegistry} from '@hickorytrack/endpoint-registry';
import type {Mesh} from '@hickorytrack/mesh';
import type {LoadTracker} from '@hickorytrack/prompt-placement/load-tracker';
import type {CoreMember} from '@hickorytrack/route-store/core-member';
import {StageControl} from '@hickorytrack/stage-control';
import {stagePlanners, type EdgeOptions} from '../edge-settings.js';
import type {ForwardContext} from './forward-context.js';
import {EdgeStageClient} from './stage-client.js';

export type StageControlOptions = Pick<EdgeOptions, 'clock' | 'events' | 'codec' | 'settings'> & Pick<ForwardContext, 'client' | 'limits'> & {
	core: CoreMember;
	mesh: Mesh;
	registry: EndpointRegistry;
	loadTracker: LoadTracker;
	/** Lists the services whose servers have stages. */
	listServices: () => string[];
};

export function createStageControl({clock, events, codec, settings, client, limits, core, mesh, registry, loadTracker, listServices}: StageControlOptions): StageControl {
	return new StageControl({
		clock,
		events,
		registry,
		planner: stagePlanners[settings.stagePlanner],
		client: new EdgeStageClient({
			clock, codec, client, limits,
		}),
		leadership: {
			get leadershipAgeMs() {
				return core.leadershipAgeMs;
			},
			confirm: async () => core.confirmLeadership(),
		},
		holder: settings.instance,
		leaseMs: settings.leaseMs,
		listServices,
		readLoad: server => loadTracker.getLoad(server),
		broadcastPendingStage(server, stage) {
			mesh.broadcast('stage.note', {server: server.id, startedAt: server.startedAt, stage});
		},
	});
}
