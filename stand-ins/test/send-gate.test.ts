import {expect} from 'chai';
import {SystemClock} from '@hickorytrack/clock/system-clock';
import {request} from 'undici';
import {computeExpectedAnswer} from '../src/expected-answer.js';
import {requestGeneration} from '../src/load-generator.js';
import {ModelEngine} from '../src/model-engine.js';
import {PlainService} from '../src/plain-service.js';

const clock = new SystemClock();

describe('silence of the stand-ins', () => {
	let engine: ModelEngine;
	let service: PlainService;

	beforeEach(async () => {
		engine = new ModelEngine({
			clock, models: ['m'], speed: {
				prefillTokensPerSecond: 50_000, decodeTokensPerSecond: 50_000, sequenceTokensPerSecond: 5000, capacity: 4,
			},
		});
		service = new PlainService({clock});
		await engine.start();
		await service.start();
	});

	afterEach(async () => {
		await engine.stop();
		await service.stop();
	});

	it('holds what an engine sends on all connections, and then sends all of it', async () => {
		const order: string[] = [];
		engine.pauseSending();
		const generation = requestGeneration({
			clock, url: engine.url, key: 'k', model: 'm', prompt: 'a plaza', maxTokens: 20,
		}).then(record => {
			order.push('generation');
			return record;
		});
		const info = request(`${engine.url}/engine/info`).then(async response => {
			order.push('info');
			return response.body.json();
		});
		while (engine.requests[0]?.state !== 'complete') {
			await clock.sleep(5);
		}

		order.push('resumed');
		engine.resumeSending();
		const record = await generation;
		expect(await info).to.include({incarnation: engine.incarnation});
		expect(record.text).to.equal(computeExpectedAnswer('a plaza', 20));
		expect(order[0]).to.equal('resumed');
		expect(order).to.have.members(['resumed', 'generation', 'info']);
	});

	it('lets a service fall silent for a given time, after the reply to the fault', async () => {
		const fault = await request(`${service.url}/fault`, {method: 'POST', body: JSON.stringify({kind: 'pause', ms: 30})});
		expect(fault.statusCode).to.equal(200);
		await fault.body.dump();
		const answer = await request(`${service.url}/sheets`);
		expect(await answer.body.json()).to.include({sequence: 1, path: '/sheets'});
	});

	it('ends the silence of an engine that stops', async () => {
		engine.pauseSending();
		await engine.stop();
		await engine.start();
		const answer = await request(`${engine.url}/engine/info`);
		expect(answer.statusCode).to.equal(200);
		await answer.body.dump();
	});
});
