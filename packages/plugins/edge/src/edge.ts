/**
 * The edge: the instance that handles callers' requests. It joins the mesh (the connections among all instances),
 * follows the route configuration, shares the registry of servers with the other instances, and forwards each request.
 * On a machine of the core (the group that replicates the route configuration) it also runs a member of that group.
 */
import {err, ok, type Result} from 'neverthrow';
import {waitWithTimeout} from '@hickorytrack/clock';
import {CrashAttribution} from '@hickorytrack/crash-attribution';
import type {Ban} from '@hickorytrack/crash-attribution/run-traits';
import {EndpointClient} from '@hickorytrack/endpoint-client';
import {
	EndpointRegistry, type Incarnation, type KnownServer, type ServerReport,
} from '@hickorytrack/endpoint-registry';
import {EngineProfile} from '@hickorytrack/engine-profile';
import {HickorytrackError, describeError} from '@hickorytrack/errors';
import {ByteBudget} from '@hickorytrack/http-answer/byte-budget';
import {Mesh} from '@hickorytrack/mesh';
import {parseAddress, PeerNode} from '@hickorytrack/peer-link/peer-node';
import type {PeerTiming} from '@hickorytrack/peer-link/peer-connection';
import {PrefixCacheIndex} from '@hickorytrack/prompt-placement/prefix-cache-index';
import {LoadTracker} from '@hickorytrack/prompt-placement/load-tracker';
import {PartUsage} from '@hickorytrack/prompt-placement/part-usage';
import {LeastLoadPlacement} from '@hickorytrack/prompt-placement/least-load-placement';
import {PromptPlacement} from '@hickorytrack/prompt-placement';
import {ConfigurationFollower} from '@hickorytrack/route-store/configuration-follower';
import {CoreMember, coreRole, type CoreMemberError} from '@hickorytrack/route-store/core-member';
import type {StoredConfiguration, StoreOutcome} from '@hickorytrack/route-store';
import {SharedRate} from '@hickorytrack/shared-rate';
import {StreamOrigins, originGrounds, type FoundOrigin} from '@hickorytrack/stream-origins';
import {VersionRetirement} from '@hickorytrack/stream-origins/version-retirement';
import {LimitNews} from '@hickorytrack/shared-rate/limit-news';
import {RouteTable} from '@hickorytrack/route-table';
import {requestKinds} from '@hickorytrack/route-table/route-types';
import {StageControl} from '@hickorytrack/stage-control';
import {peerFeatures} from '@hickorytrack/types/peer-methods';
import {AnswerMeasurements} from './calls/answer-measurements.js';
import {requestOutcomes, type CallerRequest} from './front/caller-request.js';
import {sendProblem} from './front/responses.js';
import {CrashReports} from './crashes/crash-reports.js';
import {DeadlineGuard} from './front/deadline-guard.js';
import {RateLimitedEventLog} from './front/rate-limited-event-log.js';
import {stagePlanners, type EdgeOptions} from './edge-settings.js';
import {HttpFrontend} from './front/http-frontend.js';
import {BufferedForwarder} from './buffered/buffered-forwarder.js';
import {StreamingForwarder} from './streams/streaming-forwarder.js';
import {RequestLog} from './front/request-log.js';
import {RetryBudget} from './limits/retry-budget.js';
import {defaultRetryAfterMs, type ForwardContext} from './calls/forward-context.js';
import {LimitSharing} from './sharing/limit-sharing.js';
import {ServerHealth} from './calls/server-health.js';
import {OriginLink} from './sharing/origin-link.js';
import {computeLongestLifetimeMs} from './streams/request-origin.js';
import {StartProof} from './streams/start-proof.js';
import {newsSources, ServerLimits, type NewsSource} from './limits/server-limits.js';
import {ServerPauses} from './limits/server-pauses.js';
import {EdgeStageClient} from './calls/stage-client.js';
import {StateSharing} from './sharing/state-sharing.js';

/** Role that edges announce to other instances. */
export const edgeRole = 'edge';

const peerTiming: PeerTiming = {heartbeatMs: 300, silenceMs: 1000, requestTimeoutMs: 1500};
const connectTimeoutMs = 500; // Connecting takes a few milliseconds; the rest allows for one lost packet.
/** Number of reports that a server may miss before it is no longer used. */
const maxMissedReports = 5;
/** Fraction of a server's connection limit that all instances together use. */
const usedConnectionFraction = 0.8;
/** Part of the grace period that is reserved for the shutdown after the drain. */
const stopMarginMs = 700;
/** Requests that arrive within this time of the drain are forwarded, but not in its second half: the longest ones need that. */
const maxDrainAcceptMs = 2500;
const minimumDrainMs = 3200; // The load balancer stops sending requests after two failed health checks, one second apart.
const drainPollMs = 50;
/** Part of a caller's time that is left for a refusal when the version of its stream is not found, in milliseconds. */
const refusalMarginMs = 20;
/** Number of the largest answers that fit into the memory for answers. */
const answersInMemory = 4;

export class EdgeError extends HickorytrackError {}

export class Edge {
	readonly registry: EndpointRegistry;
	readonly configuration: ConfigurationFollower;
	readonly mesh: Mesh;
	readonly #opts: EdgeOptions;
	readonly #peers: PeerNode;
	readonly #core: CoreMember | undefined;
	readonly #frontend: HttpFrontend;
	readonly #context: ForwardContext;
	readonly #loadTracker: LoadTracker;
	readonly #cacheIndex: PrefixCacheIndex;
	readonly #partUsage: PartUsage;
	readonly #profile = new EngineProfile();
	readonly #stateSharing: StateSharing;
	readonly #origins: StreamOrigins;
	readonly #versionRetirement: VersionRetirement | undefined;
	readonly #crashAttribution: CrashAttribution;
	readonly #crashReports: CrashReports;
	readonly #requestLog: RequestLog;
	readonly #deadlineGuard: DeadlineGuard;
	readonly #limits: ServerLimits;
	readonly #limitNews: LimitNews;
	readonly #limitSharing: LimitSharing;
	readonly #stageControl: StageControl | undefined;
	readonly #abortController = new AbortController();
	#routes: RouteTable | undefined;
	#isStopping = false;
	#stopped: Promise<void> | undefined;

	constructor(opts: EdgeOptions) {
		this.#opts = opts;
		const {settings, clock, random, events, codec} = opts;
		this.#peers = new PeerNode({
			clock, random, timing: peerTiming, keys: [settings.peerKey], member: {
				instance: settings.instance, roles: opts.storage ? [edgeRole, coreRole] : [edgeRole], availabilityZone: settings.availabilityZone, address: settings.peerAddress, incarnation: opts.incarnation, features: Object.values(peerFeatures),
			},
		});
		this.mesh = new Mesh({
			peers: this.#peers, clock, events, seeds: settings.seeds, linkedRoles: [edgeRole], hubRole: coreRole,
		});
		this.registry = new EndpointRegistry({
			clock, reportTimeoutMs: settings.reportIntervalMs * maxMissedReports, onStarted: server => {
				this.#crashReports.handleStart();
				this.#origins.handleStart(server);
			},
		});
		this.configuration = new ConfigurationFollower({
			mesh: this.mesh, clock, events, install: stored => {
				this.#install(stored);
			},
		});
		this.#core = opts.storage && new CoreMember({
			mesh: this.mesh, storage: opts.storage, clock, random, events, toleratedLosses: settings.toleratedLosses, isFirstStart: settings.isFirstStart, seeds: settings.seeds, onStored: stored => {
				this.configuration.update(stored);
			},
		});
		const hasVersion = (service: string, version: string) => this.registry.hasVersion(service, version);
		this.#origins = new StreamOrigins({
			clock, hasVersion, findServer: id => this.registry.find(id), leader: new OriginLink({
				mesh: this.mesh, configuration: this.configuration, core: this.#core, recall: stream => this.#origins.recall(stream),
			}),
		});
		const core = this.#core;
		this.#versionRetirement = core && new VersionRetirement({
			clock, hasVersion, core: core.origins, store: core.originStore, getLeadershipAgeMs: () => core.leadershipAgeMs, isComplete: () => this.mesh.memberCount >= this.mesh.highestMemberCount, getLifetimeMs: service => this.#computeLifetimeMs(service),
		});
		this.#loadTracker = new LoadTracker(clock);
		this.#limitNews = new LimitNews(clock);
		this.#partUsage = new PartUsage(clock);
		this.#cacheIndex = new PrefixCacheIndex({getKvCapacity: service => this.#getKvCapacity(service)});
		const eventLog = new RateLimitedEventLog(clock, events);
		const health = new ServerHealth(clock);
		this.#crashAttribution = new CrashAttribution({clock});
		this.#crashReports = new CrashReports({
			clock, attribution: this.#crashAttribution, instance: settings.instance, mesh: this.mesh, registry: this.registry, eventLog, health, metrics: opts.metrics, reportIntervalMs: settings.reportIntervalMs,
		});
		this.#limitSharing = new LimitSharing({
			clock, mesh: this.mesh, news: this.#limitNews, listLeaves: () => this.#stateSharing.leaves, onNews: (note, {formerly, peer}) => {
				this.#limits.reportNews(note, {formerly, source: newsSources.peer, peer});
			},
		});
		this.#limits = new ServerLimits({
			clock, news: this.#limitNews, eventLog, metrics: opts.metrics, rate: new SharedRate({
				clock, random, requestGrants: async (subject, request) => this.#limitSharing.requestGrants(subject, request), countInstances: () => this.#countEdges(),
			}), onNews: server => {
				this.#limitSharing.sendNews(server);
			},
		});
		this.#context = this.#createContext({eventLog, health});
		this.#stateSharing = new StateSharing({
			clock, events, mesh: this.mesh, registry: this.registry, loadTracker: this.#loadTracker, cacheIndex: this.#cacheIndex, partUsage: this.#partUsage, context: this.#context, crashAttribution: this.#crashAttribution, crashReports: this.#crashReports, onLeaving: (report, peer) => {
				this.#reportLeaving(report, {source: newsSources.peer, peer});
			}, onLeafAdded: leaf => {
				this.#limitSharing.sendAll(leaf);
			},
		});
		this.#requestLog = new RequestLog({
			clock, metrics: opts.metrics, eventLog: this.#context.eventLog, getVersion: () => this.configuration.current?.version,
		});
		this.#deadlineGuard = new DeadlineGuard({clock, eventLog: this.#context.eventLog, metrics: opts.metrics});
		this.#stageControl = this.#core && this.#createStageControl(this.#core);
		this.#frontend = new HttpFrontend({
			clock, random, codec, notReadyRetryAfterMs: defaultRetryAfterMs, drainAcceptMs: Math.min(maxDrainAcceptMs, Math.max(0, settings.graceMs - stopMarginMs) / 2), getRoutes: () => this.configuration.isConfirmed ? this.#routes : undefined, forward: async request => this.#forward(request), onRejected: rejected => {
				this.#requestLog.recordRejected(rejected);
			}, onDropped: dropped => {
				this.#requestLog.recordDropped(dropped);
			}, onFailed: failed => {
				this.#requestLog.recordFailed(failed);
			},
		});
		opts.metrics.onRead(() => {
			this.#updateGauges();
		});
	}

	/** Readiness: true while the instance accepts new connections. */
	get isReady(): boolean {
		return !this.#isStopping && this.configuration.isConfirmed && this.#routes !== undefined;
	}

	async start(): Promise<Result<void, HickorytrackError>> {
		const {settings, events} = this.#opts;
		const listening = await this.#peers.listen(parseAddress(settings.peerAddress));
		if (listening.isErr()) {
			return listening;
		}

		const frontAddress = parseAddress(settings.frontAddress);
		try {
			await this.#frontend.listen(frontAddress.host, frontAddress.port);
		} catch (error) {
			return err(new EdgeError('ERR_HICKORYTRACK_FRONT_LISTEN', `cannot listen on ${settings.frontAddress}: ${describeError(error)}`));
		}

		this.mesh.start();
		// Not awaited: a slow disk must not delay the frontend.
		void this.#core?.run();
		this.configuration.start(this.#core);
		this.#stateSharing.run(this.#abortController.signal);
		void this.#stageControl?.run(this.#abortController.signal);
		void this.#origins.run();
		void this.#versionRetirement?.run(this.#abortController.signal);
		events.emit('edgeStarted', {instance: settings.instance, isCore: this.#core !== undefined, isFirstStart: settings.isFirstStart});
		return ok(undefined);
	}

	/** Drains and stops: waits until the load balancer sends no more requests and open requests have ended, at most for the grace period. */
	async stop(): Promise<void> {
		this.#stopped ??= this.#drain();
		return this.#stopped;
	}

	/** Reports the requests that the exit of the process leaves without an answer. */
	recordExit(): void {
		this.#frontend.recordExit();
	}

	/** Stops at once, without a drain. */
	async kill(): Promise<void> {
		this.#frontend.close();
		// Before the connections to the servers are closed, so that no request is sent to another server for lack of them.
		await this.#frontend.finishOpenRequests();
		this.#abortController.abort();
		this.#crashReports.stop();
		this.#origins.stop();
		this.configuration.stop();
		await this.#core?.stop();
		this.mesh.stop();
		this.#context.client.close();
		await this.#peers.stop();
	}

	/**
	 * Records a server's report and sends it to the other instances. For a leaving server, resolves when they have confirmed it
	 * or a timeout has expired; from then on the server gets no new requests.
	 */
	async handleReport(report: ServerReport): Promise<void> {
		const previous = this.registry.find(report.id);
		const isChanged = this.registry.recordReport(report);
		if (!isChanged) {
			return;
		}

		if (previous?.state !== this.registry.find(report.id)?.state || previous?.startedAt !== report.startedAt) {
			this.#opts.events.emit('serverReported', {
				server: report.id, service: report.service, address: report.address, state: report.state, stage: report.stage, version: report.version, startedAt: report.startedAt, sequence: report.sequence,
			});
		}

		await this.#stateSharing.sendReport(report, previous);
	}

	/** Records that a server has deregistered and tells the other instances. */
	async handleDeregistration(id: string, startedAt?: number): Promise<void> {
		const report = this.registry.recordDeparture(id, startedAt);
		if (report) {
			this.#opts.events.emit('serverLeft', {server: id, address: report.address});
			this.#context.client.closeIdle(report.address);
			await this.#stateSharing.sendReport(report, undefined);
		}
	}

	async putConfiguration(stored: StoredConfiguration): Promise<Result<StoreOutcome, CoreMemberError>> {
		const result = await this.configuration.put(stored);
		this.#opts.events.emit('configurationPut', {version: stored.version, outcome: result.isOk() ? result.value : 'unknown', held: this.configuration.current?.version});
		return result;
	}

	/** Lets requests with a trait that was held to crash servers run again, at all instances. Returns false if it is not banned. */
	clearBan(trait: string): boolean {
		return this.#crashReports.clearBan(trait);
	}

	dump(): unknown {
		return {
			instance: this.#opts.settings.instance,
			isReady: this.isReady,
			isStopping: this.#isStopping,
			openRequests: this.#frontend.openRequests,
			configuration: this.configuration.dump(),
			members: this.mesh.listMembers().map(member => member.instance),
			relay: this.#stateSharing.relay,
			stages: this.#stageControl?.dump(),
			profile: this.#profile.dump(),
			limits: this.#limits.describe(this.registry.list()),
			streamOrigins: this.#origins.dump(),
			crashCauses: this.#crashAttribution.listBans(),
			servers: this.registry.list().map(server => ({...server, load: this.#loadTracker.getLoad(server.id), awaitedStage: this.registry.findPendingStage(this.registry.find(server.id)!)})),
			linesDropped: this.#context.eventLog.droppedTotal,
		};
	}

	async #drain(): Promise<void> {
		const {clock, settings, events} = this.#opts;
		this.#isStopping = true;
		this.#frontend.startDrain();
		const startedAt = clock.monotonic();
		events.emit('edgeStopping', {openRequests: this.#frontend.openRequests});
		for (;;) {
			const elapsedMs = clock.monotonic() - startedAt;
			const isDrained = elapsedMs > minimumDrainMs && this.#frontend.openRequests === 0;
			if (isDrained || elapsedMs > settings.graceMs - stopMarginMs) {
				break;
			}

			await clock.sleep(drainPollMs);
		}

		events.emit('edgeStopped', {openRequests: this.#frontend.openRequests});
		await this.kill();
		this.recordExit();
	}

	#createContext({eventLog, health}: Pick<ForwardContext, 'eventLog' | 'health'>): ForwardContext {
		const {clock, random, codec, metrics, settings} = this.#opts;
		const pauses = new ServerPauses({clock, loadTracker: this.#loadTracker});
		const client = new EndpointClient({
			clock, connectTimeoutMs, limits: {maxAnswerBytes: Math.floor(settings.answerMemoryBytes / answersInMemory), budget: new ByteBudget(settings.answerMemoryBytes)}, onAnswer: (server, head, request) => {
				const metadata = codec.decodeResponseHead(head);
				if (metadata.isLeaving) {
					this.#recordLeaving(server);
				}

				if (metadata.pauseMs !== undefined && metadata.pauseMs > 0) {
					this.#recordPause(server, metadata.pauseMs);
				}

				this.#limits.recordAnswer(server, metadata.limit, request);
				if (request.isProved && !metadata.isNotExecuted) {
					this.registry.recordAnswer(server);
				}
			}, onForeignAnswer: answer => {
				this.#requestLog.recordForeignAnswer(answer, this.registry.list().find(server => server.address === answer.address)?.id);
			}, onHandlerFailed: ({callKind, requestId, error}) => {
				this.#requestLog.recordFailed({requestId, path: callKind, error});
			},
		});
		return {
			clock,
			random,
			codec,
			registry: this.registry,
			health,
			pauses,
			limits: this.#limits,
			loadTracker: this.#loadTracker,
			profile: this.#profile,
			measurements: new AnswerMeasurements({cacheIndex: this.#cacheIndex, profile: this.#profile, health}),
			client,
			leastLoadPlacement: new LeastLoadPlacement({loadTracker: this.#loadTracker, random, getFailureRate: server => health.getFailureRate(server)}),
			promptPlacement: new PromptPlacement({
				random, loadTracker: this.#loadTracker, cacheIndex: this.#cacheIndex, usage: this.#partUsage, profile: this.#profile, getKvCapacity: service => this.#getKvCapacity(service), isLimited: server => this.#limits.isLimited(server),
			}),
			retryBudget: new RetryBudget({
				clock, ratio: settings.retryRatio, allowance: settings.retryAllowance, windowMs: settings.retryWindowMs, isFirstStart: settings.isFirstStart, countInstances: () => this.#countEdges(), eventLog, metrics,
			}),
			crashReports: this.#crashReports,
			origins: this.#origins,
			startProof: new StartProof({
				clock, client, codec, limits: this.#limits, registry: this.registry, getConnectionLimit: service => this.#getConnectionLimit(service),
			}),
			eventLog,
			metrics,
			availabilityZone: settings.availabilityZone,
			getConnectionLimit: service => this.#getConnectionLimit(service),
		};
	}

	/** Instances by which limits that all of them share are divided. */
	#countEdges(): number {
		return this.mesh.highestMemberCount;
	}

	#getKvCapacity(service: string): number {
		return this.#routes?.findService(service)?.modelServer?.memoryTokens ?? 0;
	}

	#getConnectionLimit(service: string): number {
		const maximum = this.#routes?.findService(service)?.maxConnections ?? 1;
		return Math.max(2, Math.floor(maximum * usedConnectionFraction / this.#countEdges()));
	}

	#install(stored: StoredConfiguration): void {
		const configuration = this.#opts.decodeConfiguration(stored.document);
		this.#routes = new RouteTable(configuration);
		this.#frontend.applyLimits(configuration.limits);
		this.#opts.events.emit('configurationInstalled', {version: stored.version, routes: configuration.routes.length});
	}

	#createStageControl(core: CoreMember): StageControl {
		const {clock, events, codec, settings} = this.#opts;
		return new StageControl({
			clock,
			events,
			registry: this.registry,
			planner: stagePlanners[settings.stagePlanner],
			client: new EdgeStageClient({
				clock, codec, client: this.#context.client, limits: this.#limits,
			}),
			leadership: {
				get leadershipAgeMs() {
					return core.leadershipAgeMs;
				},
				confirm: async () => core.confirmLeadership(),
			},
			holder: settings.instance,
			leaseMs: settings.leaseMs,
			listServices: () => (this.#routes?.configuration.services ?? []).filter(service => service.modelServer).map(service => service.name),
			readLoad: server => this.#loadTracker.getLoad(server),
			broadcastPendingStage: (server, stage) => {
				this.mesh.broadcast('stage.note', {server: server.id, startedAt: server.startedAt, stage});
			},
		});
	}

	async #forward(request: CallerRequest): Promise<void> {
		const {ban, isTrial} = this.#crashReports.checkArrival(request.traits);
		if (ban) {
			this.#rejectBanned(request, ban);
			return;
		}

		const takenUp = await this.#findTakenUp(request);
		if (!takenUp) {
			return;
		}

		const admitted = isTrial ? {...takenUp, isTrial, route: {...request.route, maxServers: 1}} : takenUp;
		const result = await this.#deadlineGuard.run(admitted, async guarded => {
			const forwarder = request.route.kind === requestKinds.streaming ? new StreamingForwarder(this.#context, guarded) : new BufferedForwarder(this.#context, guarded);
			return forwarder.forward();
		});
		this.#requestLog.recordResult(request, result);
	}

	/**
	 * Finds the version that began the stream which a caller takes up. If it is not known, the request is refused and the result
	 * is undefined: another version must not go on with the stream.
	 */
	async #findTakenUp(request: CallerRequest): Promise<CallerRequest | undefined> {
		const {metadata: {requestId, lastEventId, begunAs}, route, response} = request;
		if (route.kind !== requestKinds.streaming || lastEventId === undefined) {
			return request;
		}

		const {codec, eventLog, clock} = this.#context;
		const search = this.#origins.findOrigin(begunAs, route.targets.map(target => target.service));
		const remainingMs = request.deadlineAt - clock.monotonic() - refusalMarginMs;
		const {ground, service, version}: FoundOrigin = await waitWithTimeout(search, Math.max(0, remainingMs), clock) ?? {ground: originGrounds.unconfirmed};
		if (request.signal.aborted) {
			this.#requestLog.recordResult(request, {outcome: requestOutcomes.callerGone, servers: []});
			return undefined;
		}

		this.#opts.metrics.count('stream_takeups_total', {ground});
		eventLog.emit('streamTakenUp', {
			request: requestId, begunAs, lastEvent: lastEventId, ground, service, version,
		});
		if (version !== undefined) {
			return {...request, service: service!, takenUp: {version}};
		}

		// The core may answer soon; whatever else is unknown stays so.
		const retryAfterMs = ground === originGrounds.unconfirmed ? defaultRetryAfterMs : route.timeoutMs;
		this.#requestLog.recordResult(request, {
			outcome: requestOutcomes.refused, status: 503, reason: `the version that began the stream is not known: ${ground}`, retryAfterMs, servers: [],
		});
		sendProblem(response, {
			status: 503, code: 'unknown-version', detail: 'The request has not run: it is not known which software version began the stream.', headers: codec.encodeRetryAfter(retryAfterMs),
		});
		return undefined;
	}

	/** Longest time for which streams of a service may be taken up, in milliseconds. */
	#computeLifetimeMs(service: string): number {
		const routes = (this.#routes?.configuration.routes ?? []).filter(route => route.targets.some(target => target.service === service));
		return computeLongestLifetimeMs(routes.map(route => route.timeoutMs));
	}

	/** The caller must not come back soon: as far as it waits, the answer would be the same. */
	#rejectBanned({response, route, metadata, routing}: CallerRequest, {trait, crashes, reporters, lastCrashAgeMs, trialInMs}: Ban): void {
		const {codec, eventLog} = this.#context;
		sendProblem(response, {
			status: 503, code: 'poison', detail: 'The request has not run: it, or a part of its prompt, crashed the servers that ran it.', headers: codec.encodeRetryAfter(route.timeoutMs),
		});
		eventLog.emit('poisonRefused', {
			request: metadata.requestId, route: route.name, routedVersion: routing?.version, trait, crashes: crashes.length, reporters, lastCrashAgeMs: Math.round(lastCrashAgeMs), trialInMs: Math.round(trialInMs),
		});
	}

	/** Records that a server has said in an answer that it leaves, and tells the other instances. */
	#recordLeaving(server: Incarnation): void {
		const report = this.registry.recordLeaving(server);
		if (report) {
			this.#reportLeaving(report, {source: newsSources.answer});
			void this.#stateSharing.sendReport(report, undefined);
		}
	}

	/** Records that a server wants no requests of this instance for a while. */
	#recordPause(server: Incarnation, pauseMs: number): void {
		this.#context.pauses.record(server, pauseMs);
		this.#opts.metrics.count('server_pauses_total');
		this.#context.eventLog.emit('serverPaused', {server: server.id, startedAt: server.startedAt, pauseMs});
	}

	#reportLeaving({id, service, address, startedAt}: ServerReport, told: {source: NewsSource; peer?: string}): void {
		this.#opts.metrics.count('servers_leaving_total', {source: told.source});
		this.#opts.events.emit('serverLeaving', {
			server: id, service, address, startedAt, ...told,
		});
	}

	#updateGauges(): void {
		const {metrics} = this.#opts;
		metrics.set('ready', this.isReady ? 1 : 0);
		if (this.#core) {
			metrics.set('core_voter', this.#core.isVoter ? 1 : 0);
		}

		metrics.set('configuration_version', this.configuration.current?.version ?? 0);
		metrics.set('members', this.mesh.listConnections().length);
		metrics.set('retry_budget_instances', this.#countEdges());
		metrics.set('open_requests', this.#frontend.openRequests);
		metrics.set('log_lines_dropped_total', this.#context.eventLog.droppedTotal);
		for (const {name} of this.#routes?.configuration.services ?? []) {
			metrics.set('servers', this.registry.listUsable(name).length, {service: name});
			const limits = this.#limits.describe(this.registry.listUsable(name));
			metrics.set('limited_servers', limits.length, {service: name});
			metrics.set('limit_per_second', computeSum(limits.map(({perSecond}) => perSecond)), {service: name});
			metrics.set('limit_used_per_second', computeSum(limits.map(({ownPerSecond}) => ownPerSecond)), {service: name});
			metrics.set('retry_budget_left', this.#context.retryBudget.countLeft(name), {service: name});
		}
	}
}

function computeSum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}
