/**
 * Plans how many servers of a model service run prefill and how many run decode. A dedicated prefill server prefills
 * twice as fast as a server that also decodes, but generates nothing. A stage change takes a server out of service for
 * some seconds.
 */
import {serverStages, type ServerStage} from '@hickorytrack/endpoint-registry';

export type StageServer = {
	id: string;
	stage: ServerStage;
	slots: number;
	/** Long responses that the server is generating. */
	streams: number;
	/** Prompt tokens that wait for prefill at the server. */
	promptTokens: number;
	/** A stage change of the server is pending; `stage` is the stage that it will have. */
	isChanging: boolean;
};

/** The servers of one service and their recent load. */
export type StagePlannerInput = {
	servers: readonly StageServer[];
	/** False until the first request has been observed. */
	hasTraffic: boolean;
	/** True once the traffic has been observed for long enough to plan with it. */
	isWarm: boolean;
	/** Recent peak of concurrent long responses, at all servers together. */
	peakStreams: number;
	/** Prefill utilisation: fraction of the time in which a prefill server had a prompt to read, 0 to 1. */
	readingShare: number;
};

export type StageChange = {
	server: string;
	stage: ServerStage;
	reason: string;
};

export type StagePlanner = {
	/** Returns the change whose benefit exceeds its cost now, if there is one. */
	plan(input: StagePlannerInput): StageChange | undefined;
};

/** Baseline planner: every server keeps the stage in which it started. */
export class StaticStagePlanner implements StagePlanner {
	plan(): StageChange | undefined {
		return undefined;
	}
}

/** Fraction of the servers that decode before any traffic; long prompts with short responses are the usual case. */
const initialDecodeFraction = 0.4;
/** Decode slots relative to the observed peak of streams: headroom for a burst, and for the loss of a server at the peak. */
const burstFactor = 1.25;
/** With a lower prefill utilisation, no further prefill server is needed. */
const prefillBusyThreshold = 0.35;
/** With fewer servers, a change removes too large a part of the capacity. */
const minServers = 4;
/** Fraction of the servers that always decode, so that two may fail at once; a prefill server takes seconds to replace one. */
const minDecodeFraction = 0.3;

/** Keeps enough decode servers for the peak of streams and a burst beyond it, and uses all others for prefill. */
export class TrafficMixStagePlanner implements StagePlanner {
	plan(input: StagePlannerInput): StageChange | undefined {
		const {servers, hasTraffic, isWarm} = input;
		// From the first request until there is enough traffic, neither the initial fraction nor the observed load is used.
		if (servers.length < minServers || hasTraffic !== isWarm) {
			return undefined;
		}

		const decodeServers = servers.filter(server => server.stage === serverStages.decode);
		const needed = isWarm ? countNeededDecodeServers(input) : Math.ceil(servers.length * initialDecodeFraction);
		if (decodeServers.length > needed && (!isWarm || input.readingShare > prefillBusyThreshold)) {
			return this.#planPrefillChange(decodeServers, `${needed} decode servers are enough for ${input.peakStreams} streams`);
		}

		// One missing decode server is tolerated, because a lost server may come back by itself.
		if (isWarm && decodeServers.length < needed - 1) {
			return this.#planDecodeChange(servers, `${needed} decode servers are needed for ${input.peakStreams} streams`);
		}

		return undefined;
	}

	/** Selects an idle decode server, because a running stream would delay the change. */
	#planPrefillChange(decodeServers: readonly StageServer[], reason: string): StageChange | undefined {
		const idle = decodeServers.filter(server => !server.isChanging && server.streams === 0 && server.promptTokens === 0);
		const [last] = idle.sort((a, b) => (a.id < b.id ? 1 : -1));
		return last && {server: last.id, stage: serverStages.prefill, reason};
	}

	#planDecodeChange(servers: readonly StageServer[], reason: string): StageChange | undefined {
		const prefillServers = servers.filter(server => server.stage === serverStages.prefill && !server.isChanging);
		const [leastLoaded] = prefillServers.sort((a, b) => a.promptTokens - b.promptTokens);
		return leastLoaded && prefillServers.length > 1 ? {server: leastLoaded.id, stage: serverStages.decode, reason} : undefined;
	}
}

function countNeededDecodeServers({servers, peakStreams}: StagePlannerInput): number {
	const slots = servers.reduce((sum, server) => sum + server.slots, 0) / servers.length;
	const minimum = Math.ceil(servers.length * minDecodeFraction);
	return Math.max(minimum, Math.ceil(peakStreams * burstFactor / slots));
}
