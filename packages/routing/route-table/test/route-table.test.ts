import {expect} from 'chai';
import {Random} from '@hickorytrack/random';
import {checkRoutes} from '../src/check-routes.js';
import {selectTarget, RouteTable} from '../src/route-table.js';
import type {Route, RouteConfiguration} from '../src/route-types.js';

const route: Route = {
	name: 'r', host: 'a.example', pathPrefix: '/x/', kind: 'idempotent', timeoutMs: 800, objectiveMs: 300, priority: 0, targets: [{service: 's', weight: 1}], maxServers: 2, usesPromptCache: false, isResumable: false,
};
const configuration: RouteConfiguration = {
	version: 1, routes: [route], services: [{name: 's', healthPath: '/healthz', maxConnections: 10}], limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 1024, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
};

describe('route table', () => {
	it('finds the route of the host with the longest matching prefix', () => {
		const table = new RouteTable({...configuration, routes: [route, {...route, name: 'long', pathPrefix: '/x/y/'}, {...route, name: 'other', host: 'b.example'}]});
		expect(table.findRoute('A.example:80', '/x/y/z')?.name).to.equal('long');
		expect(table.findRoute('a.example', '/x/z')?.name).to.equal('r');
		expect(table.findRoute('a.example', '/x')).to.equal(undefined);
		expect(table.findRoute('c.example', '/x/z')).to.equal(undefined);
	});

	it('splits by weight and never selects a target of weight 0', () => {
		const random = new Random(1);
		const split = {...route, targets: [{service: 'a', weight: 90}, {service: 'b', weight: 10}, {service: 'c', weight: 0}]};
		const counts = new Map<string, number>();
		for (let i = 0; i < 10_000; i++) {
			const service = selectTarget(split, random);
			counts.set(service, (counts.get(service) ?? 0) + 1);
		}

		expect(counts.get('c')).to.equal(undefined);
		expect(counts.get('b')! / 10_000).to.be.closeTo(0.1, 0.02);
	});

	it('reports each mistake', () => {
		const bad = {
			...configuration, routes: [
				{...route, targets: [{service: 'missing', weight: 1}]},
				{...route, name: 'same place'},
				{
					...route, name: 'no weight', pathPrefix: '/w/', targets: [{service: 's', weight: 0}],
				},
				{
					...route, name: 'no timeout', pathPrefix: '/t/', timeoutMs: 0,
				},
			],
		};
		expect(checkRoutes(configuration)).to.deep.equal([]);
		expect(checkRoutes(bad)).to.have.length(4);
	});

	it('reports workspaces that can\'t be told apart or named, without their keys', () => {
		const check = (...workspaces: RouteConfiguration['workspaces'] & unknown[]) => checkRoutes({...configuration, workspaces});
		expect(check()).to.deep.equal([]);
		expect(check({name: 'a', keys: ['secret-1', 'secret-1']}, {name: 'b', keys: ['secret-2']}, {name: 'c', keys: []})).to.deep.equal([]);
		expect(check({name: 'a', keys: ['secret-1']}, {name: 'b', keys: ['secret-2', 'secret-1']})).to.deep.equal(['workspaces "a" and "b" hold the same key']);
		expect(check({name: 'a', keys: ['']})).to.deep.equal(['workspace "a" has an empty key']);
		expect(check({name: 'a\r\nhost: b', keys: ['secret-1']})).to.have.length(1);
	});
});
