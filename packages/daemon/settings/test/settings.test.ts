import {expect} from 'chai';
import {formatHelp, readSettings} from '../src/settings.js';
import {settingsCatalogue} from '../src/settings-catalogue.js';

describe('settings', () => {
	it('has defaults that serve on loopback', () => {
		const settings = readSettings(['--engine', 'http://127.0.0.1:8000', '--data', 'x'], {})._unsafeUnwrap();
		expect(settings.roles).to.deep.equal(['entry', 'agent', 'controller']);
		expect(settings.callerListen).to.match(/^127\.0\.0\.1:/);
		expect(settings.controllers).to.deep.equal([{id: 'local', address: '127.0.0.1:7400'}]);
	});

	it('lists every mistake at once', () => {
		const {issues: mistakes} = readSettings(['--roles', 'entry,boss', '--lease-ms', '1', '--colour', 'red', '--peer-listen', 'here'], {})._unsafeUnwrapErr();
		expect(mistakes.map(mistake => mistake.flag)).to.include.members(['roles', 'lease-ms', 'colour', 'peer-listen', 'controllers']);
	});

	it('prefers a flag to the environment', () => {
		const env = {HICKORYTRACK_DATA: 'from-env', HICKORYTRACK_ENGINE: 'http://127.0.0.1:1'};
		expect(readSettings([], env)._unsafeUnwrap().data).to.equal('from-env');
		expect(readSettings(['--data=from-flag'], env)._unsafeUnwrap().data).to.equal('from-flag');
	});

	it('never shows a secret in a mistake', () => {
		const {issues: mistakes} = readSettings(['--peer-keys', 'short'], {})._unsafeUnwrapErr();
		expect(JSON.stringify(mistakes)).to.not.contain('"short"');
	});

	it('has help for every setting', () => {
		for (const {flag} of settingsCatalogue) {
			expect(formatHelp()).to.contain(`--${flag} `);
		}
	});
});
