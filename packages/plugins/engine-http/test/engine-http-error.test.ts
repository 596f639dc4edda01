import {expect} from 'chai';
import {isPossiblyWritten} from '../src/engine-http-error.js';
import {HttpPlainService} from '../src/http-plain-service.js';

describe('errors of the HTTP engines', () => {
	// Guards against a second run of a call: the system reports a host that became unreachable on an open connection with the same code.
	for (const code of ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']) {
		it(`counts a request as possibly written when ${code} ends an open connection`, () => {
			expect(isPossiblyWritten(Object.assign(new Error(`read ${code}`), {code, syscall: 'read'}))).to.equal(true);
			expect(isPossiblyWritten(Object.assign(new Error(`write ${code}`), {code, syscall: 'write'}))).to.equal(true);
			expect(isPossiblyWritten(Object.assign(new Error(`connect ${code}`), {code, syscall: 'connect'}))).to.equal(false);
		});
	}

	it('counts a request as not written when no address of the host accepts a connection', async () => {
		for (const url of ['http://127.0.0.1:1', 'http://localhost:1']) {
			const service = new HttpPlainService({url, service: 's'});
			const answer = await service.callService({
				kind: 'service', service: 's', method: 'POST', path: '/', contentType: 'text/plain', body: 'a', repeatable: false,
			}, {
				attempt: 'a', workspace: 'w', priority: 0, signal: new AbortController().signal, onWrite() {
					// The error tells whether the call was written.
				},
			});
			expect(answer._unsafeUnwrapErr().written, url).to.equal(false);
		}
	});
});
