/** Registers the engine adapters that speak HTTP. */
import type {PluginRegistry} from '@hickorytrack/kernel/plugin';
import {httpModelEngineFactory} from './http-model-engine.js';
import {httpPlainServiceFactory} from './http-plain-service.js';

export function registerHttpEngines(registry: PluginRegistry): void {
	registry.registerEngineAdapter(httpModelEngineFactory);
	registry.registerEngineAdapter(httpPlainServiceFactory);
}
