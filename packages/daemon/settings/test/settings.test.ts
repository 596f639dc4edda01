import {expect} from 'chai';
import {formatHelp, readSettings} from '../src/settings.js';
import {settingsCatalogue} from '../src/settings-catalogue.js';

describe('settings', () => {
	it('listens on loopback addresses by default', () => {
		const settings = readSettings(['--engine', 'http://127.0.0.1:8000', '--data', 'x'], {})._unsafeUnwrap();
		expect(settings.roles).to.deep.equal(['entry', 'agent', 'controller']);
		expect(settings.callerListen).to.match(/^127\.0\.0\.1:/);
		expect(settings.controllers).to.deep.equal([{id: 'local', address: '127.0.0.1:7400'}]);
	});

	it('reports all issues at once', () => {
		const {issues} = readSettings(['--roles', 'entry,boss', '--lease-ms', '1', '--colour', 'red', '--peer-listen', 'here'], {})._unsafeUnwrapErr();
		expect(issues.map(issue => issue.flag)).to.include.members(['roles', 'lease-ms', 'colour', 'peer-listen', 'controllers']);
	});

	it('gives flags precedence over environment variables', () => {
		const env = {HICKORYTRACK_DATA: 'from-env', HICKORYTRACK_ENGINE: 'http://127.0.0.1:1'};
		expect(readSettings([], env)._unsafeUnwrap().data).to.equal('from-env');
		expect(readSettings(['--data=from-flag'], env)._unsafeUnwrap().data).to.equal('from-flag');
	});

	it('does not include secrets in issues', () => {
		const {issues} = readSettings(['--peer-keys', 'short'], {})._unsafeUnwrapErr();
		expect(JSON.stringify(issues)).to.not.contain('"short"');
	});

	it('documents every setting in the help text', () => {
		for (const {flag} of settingsCatalogue) {
			expect(formatHelp()).to.contain(`--${flag} `);
		}
	});
});
