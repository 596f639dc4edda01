import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {SystemClock} from '@hickorytrack/clock/system-clock';
import {EndpointClient} from '@hickorytrack/endpoint-client';
import {unlimitedGrant} from '@hickorytrack/endpoint-client/send-grant';
import {EndpointRegistry} from '@hickorytrack/endpoint-registry';
import {LoadTracker} from '@hickorytrack/prompt-placement/load-tracker';
import type {SocketAddress} from '@hickorytrack/socket-address';
import type {ForwardContext} from '../src/calls/forward-context.js';
import {releaseKvCache} from '../src/streams/kv-release.js';
import type {RequestCodec} from '../src/request-codec.js';
import {StartProof, startVerdicts} from '../src/streams/start-proof.js';
import type {ServerLimits} from '../src/limits/server-limits.js';
import {ServerPauses} from '../src/limits/server-pauses.js';
import {EdgeStageClient} from '../src/calls/stage-client.js';

const clock = new SystemClock();
const codec = {
	createReleaseCall: () => ({method: 'DELETE', path: '/release'}),
	createStageStatusCall: () => ({method: 'GET', path: '/status'}),
	createStageOrderCall: () => ({method: 'POST', path: '/order'}),
	decodeStageStatus: () => undefined,
	decodeOrderOutcome: () => 'accepted',
} as unknown as RequestCodec;

describe('calls of the edge itself', () => {
	let server: Server;
	let client: EndpointClient;
	let registry: EndpointRegistry;
	let answers: string[];

	beforeEach(async () => {
		answers = [];
		server = createServer((request, response) => {
			response.end(request.url);
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		client = new EndpointClient({
			clock, connectTimeoutMs: 500, onAnswer(recipient, head) {
				answers.push(`${recipient.id}/${recipient.startedAt} ${head.status}`);
			},
		});
		registry = new EndpointRegistry({clock, reportTimeoutMs: 5000});
		registry.recordReport({
			id: 'a', startedAt: 1000, sequence: 1, service: 's', address: `127.0.0.1:${(server.address() as AddressInfo).port}` as SocketAddress, availabilityZone: 'z', slots: 6, state: 'ready', coldMs: 0,
		});
	});

	afterEach(() => {
		client.close();
		server.close();
	});

	// What a server says in the answers to these calls was not read.
	it('report the answers with their server', async () => {
		const known = registry.find('a')!;
		const limits = {acquire: async () => unlimitedGrant} as unknown as ServerLimits;
		const stageClient = new EdgeStageClient({
			clock, client, codec, limits,
		});
		await stageClient.readStatus(known);
		await stageClient.sendOrder(known, {
			stage: 'decode', holder: 'edge-1', fencingToken: 1, expectedSequence: 0,
		});
		const pauses = new ServerPauses({clock, loadTracker: new LoadTracker(clock)});
		const context: Partial<ForwardContext> = {
			client, codec, clock, registry, pauses, limits, getConnectionLimit: () => 2,
		};
		void releaseKvCache(context as ForwardContext, 's', {address: known.address, handle: 'h'});
		while (answers.length < 3) {
			await clock.sleep(5);
		}

		expect(answers).to.deep.equal(['a/1000 200', 'a/1000 200', 'a/1000 200']);
	});

	// Guards against calls of the edge itself that rejected, or kept their grants, because no connection can be opened or a codec throws.
	it('end without a rejection and release their grants if they can\'t be sent', async () => {
		let acquired = 0;
		let released = 0;
		const limits = {
			isOpen: () => true, async acquire() {
				acquired++;
				return {
					recordUse() {/* Nothing is written. */}, release() {
						released++;
					},
				};
			},
		} as unknown as ServerLimits;
		const known = {...registry.find('a')!, address: '127.0.0.1:99999' as SocketAddress};
		const stageClient = new EdgeStageClient({
			clock, client, codec, limits,
		});
		expect(await stageClient.readStatus(known)).to.equal(undefined);
		expect(await stageClient.sendOrder(known, {
			stage: 'decode', holder: 'edge-1', fencingToken: 1, expectedSequence: 0,
		})).to.equal('refused');
		const proof = new StartProof({
			clock, client, codec, limits, registry, getConnectionLimit: () => 2,
		});
		expect(await proof.ask(known, {maxWaitMs: 50, signal: new AbortController().signal})).to.equal(startVerdicts.unknown);
		const context: Partial<ForwardContext> = {
			client, codec, clock, limits, getConnectionLimit: () => 2, pauses: new ServerPauses({clock, loadTracker: new LoadTracker(clock)}), registry: {findByAddress: () => known} as unknown as EndpointRegistry,
		};
		await releaseKvCache(context as ForwardContext, 's', {address: known.address, handle: 'h'});
		expect({acquired, released}).to.deep.equal({acquired: 4, released: 4});
		const throwing = {
			createReleaseCall() {
				throw new TypeError('planted');
			},
		} as unknown as RequestCodec;
		await releaseKvCache({...context, codec: throwing} as ForwardContext, 's', {address: known.address, handle: 'h'}).catch(() => {/* Its caller reports it. */});
		expect(acquired).to.equal(released);
	});
});
