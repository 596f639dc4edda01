/**
 * The edge: the instance that handles callers' requests. It joins the mesh (the connections among all instances),
 * follows the route configuration, shares the registry of servers with the other instances, and forwards each request.
 * On a machine of the core (the group that replicates the route configuration) it also runs a member of that group.
 */
import {setMaxListeners} from 'node:events';
import {err, ok, type Result} from 'neverthrow';
import type {BackgroundTasks} from '@hickorytrack/background-tasks';
import {waitWithTimeout} from '@hickorytrack/clock';
import {CrashAttribution} from '@hickorytrack/crash-attribution';
import type {BanKeeper} from '@hickorytrack/crash-attribution/ban-keeper';
import {
	EndpointRegistry, type ServerReport,
} from '@hickorytrack/endpoint-registry';
import {EngineProfile} from '@hickorytrack/engine-profile';
import {ExpectedWork} from '@hickorytrack/expected-work';
import {ServerSpeeds} from '@hickorytrack/expected-work/server-speeds';
import {HickorytrackError, describeError} from '@hickorytrack/errors';
import {OwnResources} from '@hickorytrack/own-resources';
import {Mesh} from '@hickorytrack/mesh';
import {parseAddress, PeerNode} from '@hickorytrack/peer-link/peer-node';
import type {PeerTiming} from '@hickorytrack/peer-link/peer-connection';
import {PrefixCacheIndex} from '@hickorytrack/prompt-placement/prefix-cache-index';
import {LoadTracker} from '@hickorytrack/prompt-placement/load-tracker';
import {PartUsage} from '@hickorytrack/prompt-placement/part-usage';
import {ConfigurationFollower} from '@hickorytrack/route-store/configuration-follower';
import {CoreMember, coreRole, type CoreMemberError} from '@hickorytrack/route-store/core-member';
import type {StoredConfiguration, StoreOutcome} from '@hickorytrack/route-store';
import type {ServingLease} from '@hickorytrack/serving-lease';
import {SharedRate} from '@hickorytrack/shared-rate';
import {StreamOrigins} from '@hickorytrack/stream-origins';
import {VersionRetirement} from '@hickorytrack/stream-origins/version-retirement';
import {LimitNews} from '@hickorytrack/shared-rate/limit-news';
import {RouteTable} from '@hickorytrack/route-table';
import {requestKinds} from '@hickorytrack/route-table/route-types';
import type {StageControl} from '@hickorytrack/stage-control';
import {peerFeatures} from '@hickorytrack/types/peer-methods';
import type {CallerRequest} from './front/caller-request.js';
import {CrashReports} from './crashes/crash-reports.js';
import {DeadlineGuard} from './front/deadline-guard.js';
import {RateLimitedEventLog} from './front/rate-limited-event-log.js';
import {KeyCheck} from './front/key-check.js';
import {createServingLease} from './create-serving-lease.js';
import {createBackgroundTasks} from './create-background-tasks.js';
import {createRefusalListener, createUnusableListener} from './create-refusal-listener.js';
import type {EdgeOptions} from './edge-settings.js';
import {HttpFrontend} from './front/http-frontend.js';
import {BufferedForwarder} from './buffered/buffered-forwarder.js';
import {StreamingForwarder} from './streams/streaming-forwarder.js';
import {RequestLog} from './front/request-log.js';
import {waitForDrain} from './front/wait-for-drain.js';
import {createAnswerHold} from './calls/create-answer-hold.js';
import {createForwardContext} from './calls/create-forward-context.js';
import {createStageControl} from './calls/create-stage-control.js';
import {createBanKeeper} from './crashes/create-ban-keeper.js';
import {rejectBanned} from './crashes/reject-banned.js';
import {defaultRetryAfterMs, type ForwardContext} from './calls/forward-context.js';
import {LimitSharing} from './sharing/limit-sharing.js';
import {ServerHealth} from './calls/server-health.js';
import {OriginLink} from './sharing/origin-link.js';
import {computeLongestLifetimeMs} from './streams/request-origin.js';
import {createUsageDuty, type UsageDutyParts} from './usage/create-usage-duty.js';
import {UsageLink} from './usage/usage-link.js';
import {TakeUps} from './streams/take-ups.js';
import {newsSources, ServerLimits} from './limits/server-limits.js';
import {setGauges, setOwnGauges, setServiceGauges} from './edge-gauges.js';
import {ServerNews} from './sharing/server-news.js';
import {computeDrainAcceptMs, stopMargins} from './stop-timing.js';
import {CapacitySharing} from './sharing/capacity-sharing.js';
import {StateSharing} from './sharing/state-sharing.js';

/** Role that edges announce to other instances. */
export const edgeRole = 'edge';

const peerTiming: PeerTiming = {heartbeatMs: 300, silenceMs: 1000, requestTimeoutMs: 1500};
/** Number of reports that a server may miss before it is no longer used. */
const maxMissedReports = 5;
/** A few round trips between instances and a write to the disks of the core, in milliseconds. */
const maxFinishUsageMs = 300;
/** Fraction of a server's connection limit that all instances together use. */
const usedConnectionFraction = 0.8;
export class EdgeError extends HickorytrackError {}

export class Edge {
	readonly registry: EndpointRegistry;
	readonly configuration: ConfigurationFollower;
	readonly mesh: Mesh;
	/** Owner of the work that nobody waits for. */
	readonly tasks: BackgroundTasks;
	readonly #opts: EdgeOptions;
	readonly #peers: PeerNode;
	readonly #core: CoreMember | undefined;
	readonly #frontend: HttpFrontend;
	readonly #keyCheck: KeyCheck;
	/** Renewed only where revocation is strict; undefined elsewhere. */
	readonly #servingLease: ServingLease | undefined;
	readonly #context: ForwardContext;
	readonly #loadTracker: LoadTracker;
	readonly #cacheIndex: PrefixCacheIndex;
	readonly #partUsage: PartUsage;
	readonly #profile: EngineProfile;
	readonly #expectedWork: ExpectedWork;
	readonly #stateSharing: StateSharing;
	readonly #origins: StreamOrigins;
	readonly #versionRetirement: VersionRetirement | undefined;
	readonly #crashAttribution: CrashAttribution;
	readonly #banKeeper: BanKeeper | undefined;
	readonly #crashReports: CrashReports;
	readonly #requestLog: RequestLog;
	readonly #deadlineGuard: DeadlineGuard;
	readonly #takeUps: TakeUps;
	readonly #serverNews: ServerNews;
	readonly #limits: ServerLimits;
	readonly #limitNews: LimitNews;
	readonly #limitSharing: LimitSharing;
	readonly #stageControl: StageControl | undefined;
	readonly #usageLink: UsageLink | undefined;
	readonly #usageDuty: UsageDutyParts | undefined;
	/** Undefined if the settings say nothing of the machine's link and processor. */
	readonly #resources: OwnResources | undefined;
	readonly #capacitySharing: CapacitySharing | undefined;
	readonly #abortController = new AbortController();
	readonly #stopController = new AbortController();
	#routes: RouteTable | undefined;
	#isStopping = false;
	#stopped: Promise<void> | undefined;

	constructor(opts: EdgeOptions) {
		this.#opts = opts;
		// Each task of the edge listens for its end.
		setMaxListeners(0, this.#abortController.signal);
		const tasks = createBackgroundTasks(opts);
		this.tasks = tasks;
		const {settings, clock, random, events, codec} = opts;
		this.#resources = settings.ownResources && new OwnResources({clock, ...settings.ownResources});
		const resources = this.#resources;
		const recordSent = resources && ((bytes: number) => {
			resources.recordSent(bytes);
		});
		this.#peers = new PeerNode({
			clock, random, tasks, timing: peerTiming, keys: [settings.peerKey], part: opts.account.getPart('links'), onRefused: createRefusalListener(opts), onUnusable: createUnusableListener(opts), onSent: recordSent, member: {
				instance: settings.instance, roles: opts.storage ? [edgeRole, coreRole] : [edgeRole], availabilityZone: settings.availabilityZone, address: settings.peerAddress, incarnation: opts.incarnation, features: Object.values(peerFeatures),
			},
		});
		this.mesh = new Mesh({
			peers: this.#peers, clock, events, tasks, seeds: settings.seeds, linkedRoles: [edgeRole], hubRole: coreRole,
		});
		const health = new ServerHealth(clock);
		const onUnevenChange = (service: string, isUneven: boolean) => {
			events.emit(isUneven ? 'serversUneven' : 'serversEven', {service});
		};

		this.#expectedWork = new ExpectedWork(clock, onUnevenChange);
		this.#profile = new EngineProfile({clock, speeds: new ServerSpeeds(clock, onUnevenChange)});
		this.registry = new EndpointRegistry({
			clock, reportTimeoutMs: settings.reportIntervalMs * maxMissedReports, onStarted: server => {
				this.#crashReports.handleStart();
				this.#origins.handleStart(server);
			}, onForgotten: id => {
				health.remove(id);
				this.#profile.remove(id);
				this.#expectedWork.speeds.remove(id);
				this.#cacheIndex.remove(id);
			},
		});
		this.configuration = new ConfigurationFollower({
			mesh: this.mesh, clock, events, tasks, install: stored => {
				this.#install(stored);
			},
		});
		this.#core = opts.storage && new CoreMember({
			mesh: this.mesh, storage: opts.storage, clock, random, events, tasks, toleratedLosses: settings.toleratedLosses, isFirstStart: settings.isFirstStart, seeds: settings.seeds, onStored: stored => {
				this.configuration.update(stored);
			}, onBans: records => {
				this.#crashReports.restoreBans(records);
			},
		});
		const hasVersion = (service: string, version: string) => this.registry.hasVersion(service, version);
		this.#origins = new StreamOrigins({
			clock, tasks, hasVersion, findServer: id => this.registry.find(id), leader: new OriginLink({
				tasks, mesh: this.mesh, configuration: this.configuration, core: this.#core, recall: stream => this.#origins.recall(stream),
			}),
		});
		const core = this.#core;
		this.#versionRetirement = core && new VersionRetirement({
			clock, hasVersion, core: core.origins, store: core.originStore, getLeadershipAgeMs: () => core.leadershipAgeMs, isComplete: () => this.mesh.memberCount >= this.mesh.highestMemberCount, getLifetimeMs: service => this.#computeLifetimeMs(service),
		});
		this.#crashAttribution = new CrashAttribution({clock});
		this.#banKeeper = core && createBanKeeper({
			clock, attribution: this.#crashAttribution, core, mesh: this.mesh,
		});
		this.#loadTracker = new LoadTracker(clock);
		this.#limitNews = new LimitNews(clock);
		this.#partUsage = new PartUsage(clock);
		this.#cacheIndex = new PrefixCacheIndex({getKvCapacity: service => this.#getKvCapacity(service)});
		const eventLog = new RateLimitedEventLog(clock, events);
		this.#crashReports = new CrashReports({
			clock, tasks, attribution: this.#crashAttribution, instance: settings.instance, mesh: this.mesh, registry: this.registry, eventLog, health, metrics: opts.metrics, reportIntervalMs: settings.reportIntervalMs,
		});
		this.#limitSharing = new LimitSharing({
			clock, tasks, mesh: this.mesh, news: this.#limitNews, listLeaves: () => this.#stateSharing.leaves, onNews: (note, {formerly, peer}) => {
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
		this.#context = createForwardContext({
			...opts,
			tasks,
			registry: this.registry,
			health,
			limits: this.#limits,
			loadTracker: this.#loadTracker,
			profile: this.#profile,
			ownResources: resources?.isWeak ? resources : undefined,
			onSent: recordSent,
			expectedWork: this.#expectedWork,
			cacheIndex: this.#cacheIndex,
			partUsage: this.#partUsage,
			crashReports: this.#crashReports,
			origins: this.#origins,
			eventLog,
			getKvCapacity: service => this.#getKvCapacity(service),
			getConnectionLimit: service => this.#getConnectionLimit(service),
			countInstances: () => this.#countEdges(),
			isAdmissionEnabled: service => this.#routes?.configuration.workspaces !== undefined || this.#expectedWork.isUneven(service),
			onLeaving: server => {
				this.#serverNews.recordLeaving(server);
			}, onPause: (server, pauseMs) => {
				this.#serverNews.recordPause(server, pauseMs);
			},
			onForeignAnswer: tasks.createListener('foreign-answer', answer => {
				this.#requestLog.recordForeignAnswer(answer, this.registry.list().find(server => server.address === answer.address)?.id);
			}),
			onHandlerFailed: tasks.createListener('handler-failed', ({callKind, requestId, error}) => {
				this.#requestLog.recordFailed({requestId, path: callKind, error});
			}),
		});
		this.#stateSharing = new StateSharing({
			leafIntervalMs: resources?.shareIntervalMs, clock, tasks, events, mesh: this.mesh, registry: this.registry, loadTracker: this.#loadTracker, cacheIndex: this.#cacheIndex, partUsage: this.#partUsage, context: this.#context, crashAttribution: this.#crashAttribution, crashReports: this.#crashReports, onLeaving: (report, peer) => {
				this.#serverNews.reportLeaving(report, {source: newsSources.peer, peer});
			}, onLeafAdded: leaf => {
				this.#limitSharing.sendAll(leaf);
			},
		});
		this.#capacitySharing = this.#createCapacitySharing();
		// Each task of the edge listens for its end.
		setMaxListeners(0, this.#abortController.signal);
		this.#requestLog = new RequestLog({
			clock, metrics: opts.metrics, eventLog: this.#context.eventLog, getVersion: () => this.configuration.current?.version,
		});
		this.#deadlineGuard = new DeadlineGuard({clock, eventLog: this.#context.eventLog, metrics: opts.metrics});
		this.#serverNews = new ServerNews({
			tasks, registry: this.registry, pauses: this.#context.pauses, client: this.#context.client, stateSharing: this.#stateSharing, events, eventLog, metrics: opts.metrics,
		});
		this.#takeUps = new TakeUps({
			clock, codec, eventLog: this.#context.eventLog, origins: this.#origins, requestLog: this.#requestLog, metrics: opts.metrics,
		});
		this.#stageControl = core && createStageControl({
			...opts,
			core,
			client: this.#context.client,
			limits: this.#limits,
			mesh: this.mesh,
			registry: this.registry,
			loadTracker: this.#loadTracker,
			listServices: () => (this.#routes?.configuration.services ?? []).filter(service => service.modelServer).map(service => service.name),
		});
		const lease = createServingLease({
			clock, events, mesh: this.mesh, configuration: this.configuration, core, revocationMs: settings.revocationMs ?? 0,
		});
		this.#servingLease = settings.revocationMs === undefined ? undefined : lease;
		this.#keyCheck = new KeyCheck({codec, lease, isStrict: settings.revocationMs !== undefined});
		this.#usageLink = settings.usage && new UsageLink({
			clock, tasks, mesh: this.mesh, configuration: this.configuration, windowMs: settings.usage.windowMs, incarnation: opts.incarnation,
		});
		this.#usageDuty = core && settings.usage && createUsageDuty({
			...opts, usage: settings.usage, core, mesh: this.mesh, link: this.#usageLink!,
		});
		this.#usageLink?.answer(this.#usageDuty?.windows);
		this.#frontend = new HttpFrontend({
			keyCheck: this.#keyCheck, clock, random, tasks, codec, account: opts.account, notReadyRetryAfterMs: defaultRetryAfterMs, drainAcceptMs: computeDrainAcceptMs(settings.graceMs), getRoutes: () => this.configuration.isConfirmed ? this.#routes : undefined, forward: async request => this.#forward(request), isOutsideReadySet: () => this.#capacitySharing?.isOutside ?? false, onSent: recordSent, ...this.#requestLog.frontendListeners,
		});
		opts.metrics.onRead(() => {
			this.#updateGauges();
		});
	}

	/** Readiness: true while the instance accepts new connections. */
	get isReady(): boolean {
		return this.#isServing && !this.#capacitySharing?.isOutside;
	}

	/** Readiness, apart from the ready set of the zone. */
	get #isServing(): boolean {
		return !this.#isStopping && this.configuration.isConfirmed && this.#routes !== undefined;
	}

	/** Number of requests that callers wait for. */
	get openRequests(): number {
		return this.#frontend.openRequests;
	}

	/** Aborts when the edge begins to stop. */
	get stopping(): AbortSignal {
		return this.#stopController.signal;
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
		this.#startTask('core', async () => this.#core?.run());
		this.configuration.start(this.#core);
		this.#stateSharing.run(this.#abortController.signal);
		this.#startTask('serving-lease', async signal => this.#servingLease?.run(signal));
		this.#startTask('stage-control', async signal => this.#stageControl?.run(signal));
		this.#startTask('usage-link', async signal => this.#usageLink?.run(signal));
		this.#startTask('usage-windows', async signal => this.#usageDuty?.windows.run(signal));
		this.#startTask('usage-duty', async signal => this.#usageDuty?.duty?.run(signal));
		this.#startTask('stream-origins', async () => this.#origins.run());
		this.#startTask('version-retirement', async signal => this.#versionRetirement?.run(signal));
		if (this.#resources?.isWeak) {
			this.#resources.processor.run(this.#abortController.signal);
		}

		if (this.#capacitySharing) {
			this.#startTask('capacity-sharing', async signal => this.#capacitySharing?.run(signal));
		}

		this.#startTask('ban-keeper', async signal => this.#banKeeper?.run(signal));
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
		await this.#close(this.#opts.clock.monotonic());
	}

	/** Stops; callers may read what was written to them until this moment. */
	async #close(until: number): Promise<void> {
		const {clock} = this.#opts;
		this.#frontend.close();
		// A request that has not been sent is refused as such, in the next turn of the event loop.
		if (this.#context.admission.close() > 0) {
			await clock.sleep(0);
		}

		// Before the connections to the servers are closed, so that no request is sent to another server for lack of them.
		await this.#frontend.finishOpenRequests(until - clock.monotonic());
		await this.#frontend.finishCloses(until - clock.monotonic());
		await this.#finishUsage(Math.min(maxFinishUsageMs, until - clock.monotonic()));
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
		await this.#serverNews.handleReport(report);
	}

	/** Records that a server has deregistered and tells the other instances. */
	async handleDeregistration(id: string, startedAt?: number): Promise<void> {
		await this.#serverNews.handleDeregistration(id, startedAt);
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
			duty: this.#usageDuty?.duty?.dump(),
			profile: this.#profile.dump(),
			speeds: this.#expectedWork.speeds.dump(),
			limits: this.#limits.describe(this.registry.list()),
			streamOrigins: this.#origins.dump(),
			crashCauses: this.#crashAttribution.listBans(),
			servers: this.registry.list().map(server => ({...server, load: this.#loadTracker.getLoad(server.id), awaitedStage: this.registry.findPendingStage(this.registry.find(server.id)!)})),
			linesDropped: this.#context.eventLog.droppedTotal,
		};
	}

	/** Starts a task that goes on until the edge closes. */
	#startTask(task: string, run: (signal: AbortSignal) => Promise<void>): void {
		const {signal} = this.#abortController;
		this.tasks.startUntil(signal, {task, clock: this.#opts.clock}, async () => run(signal));
	}

	async #drain(): Promise<void> {
		const {clock, settings, events} = this.#opts;
		const until = clock.monotonic() + settings.graceMs - stopMargins.exitMs;
		this.#isStopping = true;
		this.#stopController.abort();
		this.#core?.releaseVote();
		this.#frontend.startDrain();
		this.#capacitySharing?.share();
		events.emit('edgeStopping', {openRequests: this.#frontend.openRequests});
		await waitForDrain(this.#frontend, {clock, maxMs: settings.graceMs - stopMargins.drainMs});
		events.emit('edgeStopped', {openRequests: this.#frontend.openRequests});
		await this.#close(until);
		this.recordExit();
	}

	/** Passes on the counts of this instance, so that a planned stop loses none. */
	async #finishUsage(maxMs: number): Promise<void> {
		if (maxMs > 0 && this.#usageLink) {
			await waitWithTimeout(this.#usageDuty && this.#core?.isLeader ? this.#usageDuty.windows.finish() : this.#usageLink.finish(), maxMs, this.#opts.clock);
		}
	}

	#createCapacitySharing(): CapacitySharing | undefined {
		const resources = this.#resources;
		if (!resources || this.#opts.settings.hasCapacityReadiness === false) {
			return undefined;
		}

		const {clock, events} = this.#opts;
		const sharing = new CapacitySharing({
			clock, events, resources, member: this.mesh.peers.member, relayRole: coreRole, listPeers: () => this.mesh.listConnections(), listLeaves: () => this.#stateSharing.leaves, isServing: () => this.#isServing,
		});
		this.#peers.handle('capacity.note', (note, connection) => {
			sharing.handleNote(note, connection);
		});
		return sharing;
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
		this.#keyCheck.applyWorkspaces(configuration.workspaces);
		this.#frontend.applyLimits(configuration.limits);
		this.#context.admission.retain(configuration);
		if (configuration.workspaces !== undefined) {
			this.#usageLink?.counter.begin();
		}

		this.#opts.events.emit('configurationInstalled', {version: stored.version, routes: configuration.routes.length});
	}

	async #forward(request: CallerRequest): Promise<void> {
		const {ban, isTrial} = this.#crashReports.checkArrival(request.traits);
		if (ban) {
			rejectBanned(this.#context, request, ban);
			return;
		}

		const takenUp = await this.#takeUps.find(request);
		if (!takenUp) {
			return;
		}

		const admitted = {
			...takenUp, answerHold: createAnswerHold(request, {...this.#opts, requestLog: this.#requestLog}), countRun: this.#usageLink?.createRunCount(request.workspace), ...(isTrial && {isTrial, route: {...request.route, maxServers: 1}}),
		};
		const result = await this.#deadlineGuard.run(admitted, async guarded => {
			const forwarder = request.route.kind === requestKinds.streaming ? new StreamingForwarder(this.#context, guarded) : new BufferedForwarder(this.#context, guarded);
			return forwarder.forward();
		});
		this.#requestLog.recordResult(request, result);
	}

	/** Longest time for which streams of a service may be taken up, in milliseconds. */
	#computeLifetimeMs(service: string): number {
		const routes = this.#routes?.configuration.routes.filter(({targets}) => targets.some(target => target.service === service)) ?? [];
		return computeLongestLifetimeMs(routes.map(route => route.timeoutMs));
	}

	#updateGauges(): void {
		setGauges(this.#opts.metrics, {
			account: this.#opts.account, isReady: this.isReady, isVoter: this.#core?.isVoter, coreVoters: this.#core?.listVoters().length,
			configurationVersion: this.configuration.current?.version,
			members: this.mesh.listConnections().length,
			instances: this.#countEdges(),
			openRequests: this.#frontend.openRequests, linesDropped: this.#context.eventLog.droppedTotal, unprovenLinks: this.#peers.pendingCount,
		});
		if (this.#servingLease) {
			this.#opts.metrics.set('serving_lease_ms', this.#servingLease.remainingMs);
		}

		if (this.#resources?.isWeak) {
			setOwnGauges(this.#opts.metrics, this.#resources, this.#capacitySharing?.readySetSize);
		}

		for (const {name} of this.#routes?.configuration.services ?? []) {
			setServiceGauges(this.#opts.metrics, name, {
				registry: this.registry, limits: this.#limits, retryBudget: this.#context.retryBudget, admission: this.#context.admission, expectedWork: this.#expectedWork,
			});
		}
	}
}
