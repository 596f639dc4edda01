import {PassThrough} from 'node:stream';
import type {IncomingMessage} from 'node:http';
import {expect} from 'chai';
import {ManualClock} from '@hickorytrack/clock/manual-clock';
import {readBody} from '../src/request-body.js';

const createRequest = (headers: Record<string, string> = {}) => Object.assign(new PassThrough(), {headers});
const convertToRequest = (stream: PassThrough) => stream as unknown as IncomingMessage;

describe('readBody', () => {
	const clock = new ManualClock();
	const opts = {maxBytes: 10, timeoutMs: 500, clock};

	it('reads a complete body within the size limit and the timeout', async () => {
		const request = createRequest();
		const reading = readBody(convertToRequest(request), opts);
		request.write('five ');
		request.end('bytes');
		expect((await reading)._unsafeUnwrap()).to.equal('five bytes');
	});

	it('rejects a body whose declared or actual size exceeds the limit', async () => {
		const declared = await readBody(convertToRequest(createRequest({'content-length': '11'})), opts);
		expect(declared._unsafeUnwrapErr()).to.deep.equal({code: 'body-too-large', limit: 10});
		const request = createRequest();
		const reading = readBody(convertToRequest(request), opts);
		request.write('eleven bytes');
		expect((await reading)._unsafeUnwrapErr().code).to.equal('body-too-large');
	});

	it('rejects a body that is not complete before the timeout', async () => {
		const request = createRequest();
		const reading = readBody(convertToRequest(request), opts);
		request.write('five ');
		await clock.advance(501);
		expect((await reading)._unsafeUnwrapErr()).to.deep.equal({code: 'request-too-slow', limit: 500});
	});

	it('reports body-broken when the caller disconnects before the body is complete', async () => {
		const request = createRequest();
		const reading = readBody(convertToRequest(request), opts);
		request.write('five ');
		request.destroy(new Error('reset'));
		expect((await reading)._unsafeUnwrapErr().code).to.equal('body-broken');
	});
});
