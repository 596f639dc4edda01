import {spawnSync} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {expect} from 'chai';

const main = fileURLToPath(new URL('../src/main.js', import.meta.url));
const configuration = {
	version: 1, services: [], limits: {headerTimeoutMs: 1, idleTimeoutMs: 1}, workspaces: [{name: 'v', keys: ['secret-1']}], routes: [],
};
const invalid = {...configuration, version: 2, workspaces: [...configuration.workspaces, {name: 'w', keys: ['secret-1']}]};

// Deployment scripts decide by the exit status whether they put the configuration in force.
it('command config check has the exit status of the report and prints it as text and as JSON', () => {
	const folder = mkdtempSync(path.join(tmpdir(), 'config-commands-'));
	try {
		writeFileSync(path.join(folder, 'format.mjs'), 'export const decodeConfiguration = document => document;');
		writeFileSync(path.join(folder, 'good.json'), JSON.stringify(configuration));
		writeFileSync(path.join(folder, 'bad.json'), JSON.stringify(invalid));
		for (const [line, status, pattern] of [
			['good.json', 0, /^ok: no findings\n$/], ['bad.json --against good.json', 1, /^error shared-key: [^]*difference workspace-added: "w" 1 keys added/], ['bad.json --json', 1, /^{[^]*"exitCode": 1,[^]*"code": "shared-key"/], ['none.json --json', 2, /^{[^]*"code": "unreadable-file"/], ['good.json --format ./none.mjs', 2, /Can't load the format/], ['good.json --format node:path', 2, /no function decodeConfiguration/],
		] as const) {
			const result = spawnSync(process.execPath, [main, 'config', 'check', ...line.split(' ')], {cwd: folder, encoding: 'utf8', env: {...process.env, HICKORYTRACK_CONFIGURATION_FORMAT: './format.mjs'}});
			expect(result.status, line).to.equal(status);
			expect(result.stdout + result.stderr).to.match(pattern).and.not.include('secret');
		}
	} finally {
		rmSync(folder, {recursive: true});
	}
});
