import {expect} from 'chai';
import type {Route} from '@hickorytrack/route-table/route-types';
import {KeyCheck, keyDecisions} from '../src/front/key-check.js';

const route = {priority: 3} as unknown as Route;
const publicRoute = {priority: 3, isPublic: true} as unknown as Route;
const codec = {findKey: ([key]: readonly string[]) => key};
const workspaces = [{name: 'a', keys: ['k'], priority: 1}, {name: 'b', keys: ['l']}];

describe('check of the caller\'s key', () => {
	let isValid: boolean;
	let confirmVersion: () => Promise<boolean>;
	let confirmations: number;
	let check: KeyCheck;

	beforeEach(() => {
		isValid = true;
		confirmations = 0;
		confirmVersion = async () => true;
		check = new KeyCheck({
			codec, isStrict: true, lease: {
				get isValid() {
					return isValid;
				},
				async confirmVersion() {
					confirmations++;
					return confirmVersion();
				},
			},
		});
		check.applyWorkspaces(workspaces);
	});

	it('admits with the priority of the workspace, otherwise of the route', () => {
		expect(check.decide(route, ['k'])).to.deep.equal({kind: keyDecisions.admitted, workspace: 'a', priority: 1});
		expect(check.decide(route, ['l'])).to.deep.equal({kind: keyDecisions.admitted, workspace: 'b', priority: 3});
		expect(check.decide(publicRoute, ['k'])).to.deep.equal({kind: keyDecisions.admitted, priority: 3});
		check.applyWorkspaces(undefined);
		expect(check.decide(route, [])).to.deep.equal({kind: keyDecisions.admitted, priority: 3});
		check.applyWorkspaces([]);
		expect(check.decide(route, ['k']).kind).to.equal(keyDecisions.unknown);
	});

	it('admits keyed requests only under a lease, and public ones without', async () => {
		isValid = false;
		expect(check.decide(route, ['k']).kind).to.equal(keyDecisions.unleased);
		expect(check.decide(publicRoute, []).kind).to.equal(keyDecisions.admitted);
		const unleased = new KeyCheck({codec, isStrict: false, lease: {isValid: false, confirmVersion: async () => false}});
		unleased.applyWorkspaces(workspaces);
		expect(unleased.decide(route, ['k']).kind).to.equal(keyDecisions.admitted);
		// Nor does an instance that is not strict call a key unknown without a confirmation.
		expect(await unleased.confirmUnknown(route, ['m'], 1000)).to.equal(false);
	});

	// A caller takes 401 as final, although its key may be in a configuration that has not arrived here.
	it('calls a key unknown only when the core confirms that no newer configuration knows it', async () => {
		expect(await check.confirmUnknown(route, ['m'], 1000)).to.equal(true);
		confirmVersion = async () => false;
		expect(await check.confirmUnknown(route, ['m'], 1000)).to.equal(false);
		confirmVersion = async () => {
			check.applyWorkspaces([{name: 'c', keys: ['m']}]);
			return true;
		};

		expect(await check.confirmUnknown(route, ['m'], 1000)).to.equal(false);
		expect(confirmations).to.equal(3);
	});

	it('asks nobody about a request without a key', async () => {
		expect(await check.confirmUnknown(route, [], 1000)).to.equal(true);
		expect(confirmations).to.equal(0);
	});
});
