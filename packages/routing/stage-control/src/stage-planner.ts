/**
 * How many servers of a model service read prompts and how many generate. A server that reads apart reads twice as fast as
 * one that generates beside it, but generates nothing; a change takes it away for some seconds.
 */
import {serverStages, type ServerStage} from '@hickorytrack/endpoint-registry';

export type StageServer = {
	id: string;
	stage: ServerStage;
	slots: number;
	/** Long answers that run at the server. */
	streams: number;
	/** Prompt tokens that wait at the server. */
	promptTokens: number;
	/** An order to the server is being carried out; `stage` is the one that it will have. */
	isChanging: boolean;
};

/** What is known of one service's servers and of its recent work. */
export type StagePlannerInput = {
	servers: readonly StageServer[];
	/** False until the first request was seen. */
	hasTraffic: boolean;
	/** True once enough traffic was seen to judge it. */
	isWarm: boolean;
	/** Most long answers that ran at once lately, at all servers together. */
	peakStreams: number;
	/** Share of the time in which a reading server had a prompt to read, 0 to 1. */
	readingShare: number;
};

export type StageChange = {
	server: string;
	stage: ServerStage;
	reason: string;
};

export type StagePlanner = {
	/** Returns the change that is worth its price now, if there is one. */
	plan(view: StagePlannerInput): StageChange | undefined;
};

/** The baseline: every server keeps the stage in which it started. */
export class StaticStagePlanner implements StagePlanner {
	plan(): StageChange | undefined {
		return undefined;
	}
}

/** Share of the servers that generate while nothing is known of the work; long prompts with short answers are the rule. */
const priorGeneratorShare = 0.4;
/** Slots for a burst beyond the peak of streams that was seen, and for the loss of a server in the peak. */
const burstFactor = 1.25;
/** Reading servers that are busy for less of the time need no help. */
const busyReadingShare = 0.35;
/** With fewer servers a change takes too much away at once. */
const minServers = 4;
/** This share of the servers generates whatever the streams, so that two may be lost at once; a reader can't stand in for seconds. */
const minGeneratorShare = 0.3;

/** Gives to reading what the streams leave: generators for the peak of streams and a burst beyond, the others read. */
export class TrafficMixStagePlanner implements StagePlanner {
	plan(view: StagePlannerInput): StageChange | undefined {
		const {servers, hasTraffic, isWarm} = view;
		// Between the first request and a judgement of the work, neither the prior nor what was seen counts.
		if (servers.length < minServers || hasTraffic !== isWarm) {
			return undefined;
		}

		const generators = servers.filter(server => server.stage === serverStages.decode);
		const wanted = isWarm ? countNeededGenerators(view) : Math.ceil(servers.length * priorGeneratorShare);
		if (generators.length > wanted && (!isWarm || view.readingShare > busyReadingShare)) {
			return this.#planReader(generators, `${wanted} generating servers are enough for ${view.peakStreams} streams`);
		}

		// One too few is borne: a lost server may come back by itself.
		if (isWarm && generators.length < wanted - 1) {
			return this.#planGenerator(servers, `${wanted} generating servers are wanted for ${view.peakStreams} streams`);
		}

		return undefined;
	}

	/** Picks a generating server that does nothing just now; a stream on it would keep the change waiting. */
	#planReader(generators: readonly StageServer[], reason: string): StageChange | undefined {
		const idle = generators.filter(server => !server.isChanging && server.streams === 0 && server.promptTokens === 0);
		const [last] = idle.sort((a, b) => (a.id < b.id ? 1 : -1));
		return last && {server: last.id, stage: serverStages.prefill, reason};
	}

	#planGenerator(servers: readonly StageServer[], reason: string): StageChange | undefined {
		const readers = servers.filter(server => server.stage === serverStages.prefill && !server.isChanging);
		const [least] = readers.sort((a, b) => a.promptTokens - b.promptTokens);
		return least && readers.length > 1 ? {server: least.id, stage: serverStages.decode, reason} : undefined;
	}
}

function countNeededGenerators({servers, peakStreams}: StagePlannerInput): number {
	const slots = servers.reduce((sum, server) => sum + server.slots, 0) / servers.length;
	const least = Math.ceil(servers.length * minGeneratorShare);
	return Math.max(least, Math.ceil(peakStreams * burstFactor / slots));
}
