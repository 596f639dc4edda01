import {PassThrough} from 'node:stream';
import type {IncomingMessage} from 'node:http';
import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {readBody} from '../src/request-body.js';

const createRequest = (headers: Record<string, string> = {}) => Object.assign(new PassThrough(), {headers});
const asRequest = (stream: PassThrough) => stream as unknown as IncomingMessage;

describe('body of a request', () => {
	const clock = new ManualClock();
	const opts = {maxBytes: 10, timeoutMs: 500, clock};

	it('is read whole within its bounds', async () => {
		const request = createRequest();
		const reading = readBody(asRequest(request), opts);
		request.write('five ');
		request.end('bytes');
		expect((await reading)._unsafeUnwrap()).to.equal('five bytes');
	});

	it('is refused by its announced or its real size', async () => {
		const announced = await readBody(asRequest(createRequest({'content-length': '11'})), opts);
		expect(announced._unsafeUnwrapErr()).to.deep.equal({code: 'body-too-large', limit: 10});
		const request = createRequest();
		const reading = readBody(asRequest(request), opts);
		request.write('eleven bytes');
		expect((await reading)._unsafeUnwrapErr().code).to.equal('body-too-large');
	});

	it('is refused when it is not there in time', async () => {
		const request = createRequest();
		const reading = readBody(asRequest(request), opts);
		request.write('five ');
		await clock.advance(501);
		expect((await reading)._unsafeUnwrapErr()).to.deep.equal({code: 'request-too-slow', limit: 500});
	});

	it('is broken when the caller goes away in the middle', async () => {
		const request = createRequest();
		const reading = readBody(asRequest(request), opts);
		request.write('five ');
		request.destroy(new Error('reset'));
		expect((await reading)._unsafeUnwrapErr().code).to.equal('body-broken');
	});
});
