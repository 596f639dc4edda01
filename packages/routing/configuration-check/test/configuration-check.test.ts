import {expect} from 'chai';
import type {Route, RouteConfiguration} from '@hickorytrack/route-table/route-types';
import {formatReport, type CheckReport} from '../src/check-report.js';
import {ConfigurationCheck} from '../src/configuration-check.js';

const route: Route = {
	name: 'r', host: 'a.example', pathPrefix: '/x/', kind: 'idempotent', timeoutMs: 800, objectiveMs: 300, priority: 0, targets: [{service: 's', weight: 1}], maxServers: 2, usesPromptCache: false, isResumable: false,
};
const service = {name: 's', healthPath: '/', maxConnections: 10};
const limits = {
	maxHeaderBytes: 16_384, maxBodyBytes: 1024, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
};
const configuration = {
	version: 2, routes: [route], services: [service], limits,
};
type Document = Partial<RouteConfiguration> & {outOfRange?: number; comment?: string};

/** The documents of these tests are decoded configurations. A field `outOfRange` is a number that its range corrects. */
function decode(document: unknown, {onOutOfRange}: {onOutOfRange?: (error: Error) => void}): RouteConfiguration {
	const {outOfRange, ...fields} = document as RouteConfiguration & Document;
	if (!Array.isArray(fields.routes)) {
		throw new TypeError('"routes" is not an array');
	}

	if (outOfRange !== undefined) {
		onOutOfRange?.(new TypeError(`"outOfRange" is ${outOfRange}`));
	}

	return fields;
}

async function checkTexts(files: {next?: string; inForce?: string}, against = 'inForce' in files ? 'inForce' : undefined): Promise<CheckReport> {
	const readText = async (path: string) => files[path as 'next'] ?? Promise.reject(new Error('no such file'));
	return new ConfigurationCheck({decode, readText}).run({file: 'next', against});
}

const check = async (changes: Document) => checkTexts({next: JSON.stringify({...configuration, ...changes})});
const checkRoute = async (changes: Partial<Route>) => check({routes: [{...route, ...changes}]});
const compare = async (inForce: Document, next: Document) => checkTexts({inForce: JSON.stringify({...configuration, ...inForce}), next: JSON.stringify({...configuration, ...next})});
const listCodes = ({findings}: CheckReport) => findings.map(({severity, code}) => `${severity} ${code}`);

async function expectCodes(cases: ReadonlyArray<readonly [Promise<CheckReport>, ...codes: string[]]>, exitCode: number): Promise<void> {
	for (const [pending, ...codes] of cases) {
		const report = await pending;
		expect(listCodes(report)).to.deep.equal(codes);
		expect(report.exitCode, codes.join(' ')).to.equal(exitCode);
	}
}

describe('configuration check', () => {
	// A configuration that the system would refuse must not pass the check.
	it('reports each mistake with its code and exit status 1', async () => {
		await expectCodes([
			[check({routes: [route, {...route, name: 'other'}]}), 'error duplicate-route'],
			[checkRoute({targets: [{service: 's', weight: 1}, {service: 'none', weight: 1}]}), 'error unknown-service'],
			[checkRoute({targets: [{service: 's', weight: 3}, {service: 's', weight: -1}]}), 'error negative-weight'],
			[checkRoute({targets: [{service: 's', weight: 0}]}), 'error no-weight'],
			[checkRoute({timeoutMs: 0}), 'error no-timeout'],
			[checkRoute({pathPrefix: '/x'}), 'error invalid-prefix'],
			[check({workspaces: [{name: 'a\nb', keys: ['k']}]}), 'error invalid-workspace-name'],
			[check({workspaces: [{name: 'v', keys: ['k', '']}]}), 'error empty-key'],
			[check({workspaces: [{name: 'v', keys: ['k']}, {name: 'w', keys: ['k']}]}), 'error shared-key'],
			[check({outOfRange: -1}), 'error out-of-range'],
			[checkTexts({next: '{}'}), 'error invalid-document'],
			[checkTexts({next: '{"routes": ['}), 'error not-json'],
		], 1);
	});

	// The system accepts an entry without effect, and its traffic goes elsewhere unnoticed.
	it('warns of entries that never match and of limits that contradict each other, with exit status 0', async () => {
		await expectCodes([
			[check({})],
			[checkRoute({targets: [{service: 's', weight: 1}, {service: 's', weight: 0}]}), 'warning unused-target'],
			[checkRoute({host: 'a.example:8080'}), 'warning unmatchable-host'],
			[checkRoute({host: '*.example'}), 'warning unmatchable-host'],
			[checkRoute({host: '[::1]'})],
			[checkRoute({pathPrefix: '/x?y/'}), 'warning unmatchable-prefix'],
			[check({services: [service, {...service, name: 'idle'}]}), 'warning unused-service'],
			[check({services: [service, service]}), 'warning repeated-service-name'],
			[check({routes: [route, {...route, pathPrefix: '/y/'}]}), 'warning repeated-route-name'],
			[check({workspaces: [{name: 'w', keys: ['k']}, {name: 'w', keys: ['l']}]}), 'warning repeated-workspace-name'],
			[check({workspaces: [{name: 'v', keys: []}, {name: 'w', keys: ['k']}]}), 'warning workspace-without-keys'],
			[check({workspaces: [{name: 'w', keys: ['k', 'k']}]}), 'warning repeated-key'],
			[check({workspaces: []}), 'warning route-without-callers'],
			[check({workspaces: [], routes: [{...route, isPublic: true}]})],
			[checkRoute({timeoutMs: 299}), 'warning timeout-below-objective'],
			[checkRoute({timeoutMs: 300})],
			[checkRoute({kind: 'streaming', isResumable: true, pauseObjectiveMs: 801}), 'warning pause-objective-above-timeout'],
			[checkRoute({kind: 'streaming', isResumable: true, pauseObjectiveMs: 800})],
			[checkRoute({isResumable: true, pauseObjectiveMs: 10}), 'warning resumable-without-stream', 'warning pause-objective-without-stream'],
			[checkRoute({kind: 'non-idempotent'}), 'note servers-above-kind'],
			[checkRoute({kind: 'streaming'}), 'note servers-above-kind'],
			[checkRoute({kind: 'streaming', maxServers: 1})],
			[check({limits: {...limits, idleTimeoutMs: 2999}}), 'warning idle-timeout-below-header-timeout'],
		], 0);
	});

	// An operator who sees a wrong or incomplete list puts a change in force that nobody meant.
	it('lists what was added, removed and changed, in any order of entries', async () => {
		const traits = {memoryTokens: 1000, handleTtlMs: 0, stageSwitchMs: 0};
		const modelService = (slots: number) => ({...service, name: 'm', modelServer: {...traits, slots}});
		const [gone, added] = [{...route, name: 'gone', pathPrefix: '/g/'}, {...route, name: 'new', pathPrefix: '/n/'}];
		const targets = [{service: 's', weight: 9}, {service: 'm', weight: 1}];
		const report = await compare({version: 1, routes: [route, gone], services: [service, modelService(4)]}, {
			limits: {...limits, maxBodyBytes: 2048}, workspaces: [], routes: [added, {
				...route, timeoutMs: 900, targets, isPublic: true,
			}], services: [modelService(8), service],
		});
		expect(formatReport(report).filter(line => line.startsWith('difference'))).to.deep.equal([
			'difference configuration-changed: version: 1 -> 2',
			'difference configuration-changed: needsKeys: false -> true',
			'difference limits-changed: maxBodyBytes: 1024 -> 2048',
			'difference route-removed: "gone"',
			'difference route-added: "new"',
			'difference route-changed: "r" timeoutMs: 800 -> 900',
			'difference route-changed: "r" targets: "s:1" -> "m:1 s:9"',
			'difference route-changed: "r" isPublic: not set -> true',
			'difference service-changed: "m" modelServer.slots: 4 -> 8',
		]);
	});

	// The system acknowledges a lower version without effect, and refuses another document with the same version.
	it('reports a version that is not higher, unless the document is the one in force', async () => {
		await expectCodes([[compare({version: 3}, {}), 'error version-not-higher'], [compare({}, {comment: 'not decoded'}), 'error version-not-higher']], 1);
		expect(await compare({}, {})).to.deep.equal({exitCode: 0, findings: [], differences: []});
		await expectCodes([[compare({version: 1, outOfRange: -1}, {})]], 0);
	});

	it('has exit status 2 if a file can\'t be read or there is nothing to compare with', async () => {
		const next = JSON.stringify(configuration);
		await expectCodes([
			[checkTexts({}), 'error unreadable-file'],
			[checkTexts({}, 'inForce'), 'error unreadable-file', 'error unreadable-file'],
			[checkTexts({next}, 'inForce'), 'error unreadable-file'],
			[checkTexts({next, inForce: '{"version": 1'}), 'error unreadable-against'],
			[checkTexts({next, inForce: '{}'}), 'error unreadable-against'],
		], 2);
	});

	// The output of a check ends up in build logs, which more people read than the configuration.
	it('never shows a key', async () => {
		const workspaces = [{name: 'a', keys: ['secret-1', 'secret-1', 'secret-3']}, {name: 'b', keys: ['secret-1', '', 'secret-2']}, {name: 'new', keys: ['secret-4']}];
		const report = await compare({version: 1, workspaces: [{name: 'a', keys: ['secret-1', 'secret-2']}, {name: 'gone', keys: ['secret-5']}]}, {workspaces});
		expect(report.differences).to.deep.include({
			code: 'workspace-keys-changed', name: 'a', keysAdded: 1, keysRemoved: 1,
		});
		expect(formatReport(report)).to.include.members(['difference workspace-added: "new" 1 keys added, 0 removed', 'difference workspace-removed: "gone" 0 keys added, 1 removed']);
		const reports = [report, await checkTexts({next: JSON.stringify(configuration), inForce: '["secret-1" "secret-2"]'})];
		for (const next of [JSON.stringify(workspaces).replace('"secret-1"', '"secret-1'), '"secret-1', '["secret-1" "secret-2"]', 'secret-1']) {
			reports.push(await checkTexts({next}));
		}

		for (const each of reports) {
			expect(each.findings).to.not.have.length(0);
			expect(JSON.stringify(each) + formatReport(each).join('\n')).to.not.include('secret-');
		}
	});

	// A name with a line break could forge a line, and one with an escape character could rewrite the terminal.
	it('writes one line for each finding', async () => {
		const lines = formatReport(await checkRoute({name: 'r\nerror forged: \u001B[2J', timeoutMs: 1}));
		expect(lines).to.have.length(1);
		expect(lines[0]).to.include(String.raw`r\u000aerror forged: \u001b[2J`);
	});
});
