import {readFile} from 'node:fs/promises';
import {expect} from 'chai';
import {MetricsRegistry, metricsCatalogue} from '../src/metrics-registry.js';

describe('metrics registry', () => {
	it('formats counted, observed and set values', async () => {
		const metrics = new MetricsRegistry();
		metrics.count('requests_total', {route: 'r', outcome: 'answered'});
		metrics.observe('first_byte_ms', 70, {route: 'r'});
		metrics.onRead(() => {
			metrics.set('ready', 1);
		});
		const text = await metrics.format();
		expect(text).to.contain('hickorytrack_requests_total{route="r",outcome="answered"} 1');
		expect(text).to.contain('hickorytrack_first_byte_ms_bucket{le="80",route="r"} 1');
		expect(text).to.contain('hickorytrack_ready 1');
	});

	it('matches docs/metrics.md', async () => {
		const document = await readFile(new URL('../../../../../docs/metrics.md', import.meta.url), 'utf8');
		for (const [name, {kind, help}] of Object.entries(metricsCatalogue)) {
			expect(document).to.contain(`| \`hickorytrack_${name}\` | ${kind} |`).and.to.contain(help);
		}
	});
});
