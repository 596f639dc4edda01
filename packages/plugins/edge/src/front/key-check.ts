/**
 * Decides whether the caller of a request may use its route. Where the configuration has workspaces, a route that is not public
 * requires a key, and the instance rejects a key as unknown only once the core has confirmed that no newer configuration may
 * know it. Where revocation is strict, it serves keyed requests only under a lease.
 */
import type {Route, WorkspaceDefinition} from '@hickorytrack/route-table/route-types';
import type {ServingLease} from '@hickorytrack/serving-lease';
import {WorkspaceKeys} from '@hickorytrack/workspace-keys';
import type {RequestCodec} from '../request-codec.js';

export const keyDecisions = {
	admitted: 'admitted',
	/** No installed configuration knows the key, or there is none. */
	unknown: 'unknown',
	/** The instance holds no lease. */
	unleased: 'unleased',
} as const;

export type KeyDecision =
	| {kind: typeof keyDecisions.admitted; workspace?: string; priority: number}
	| {kind: typeof keyDecisions.unknown | typeof keyDecisions.unleased};

export type KeyCheckOptions = {
	codec: Pick<RequestCodec, 'findKey'>;
	lease: Pick<ServingLease, 'isValid' | 'confirmVersion'>;
	/** Keyed requests are served only under the lease. */
	isStrict: boolean;
};

/** Time for the core to confirm that a key is unknown; callers without a confirmation come back. */
const maxConfirmMs = 1500;

export class KeyCheck {
	readonly #opts: KeyCheckOptions;
	#keys: WorkspaceKeys | undefined;

	constructor(opts: KeyCheckOptions) {
		this.#opts = opts;
	}

	/** The installed configuration has workspaces. */
	get hasWorkspaces(): boolean {
		return this.#keys !== undefined;
	}

	/** Applies the workspaces of a new configuration; undefined if it has none. */
	applyWorkspaces(workspaces: readonly WorkspaceDefinition[] | undefined): void {
		this.#keys = workspaces && new WorkspaceKeys(workspaces);
	}

	/** Decides by the installed configuration and the lease of this moment. */
	decide(route: Route, rawHeaders: readonly string[]): KeyDecision {
		if (!this.#keys || route.isPublic) {
			return {kind: keyDecisions.admitted, priority: route.priority};
		}

		const key = this.#opts.codec.findKey(rawHeaders);
		const workspace = key === undefined ? undefined : this.#keys.find(key);
		if (!workspace) {
			return {kind: keyDecisions.unknown};
		}

		return !this.#opts.isStrict || this.#opts.lease.isValid
			? {kind: keyDecisions.admitted, workspace: workspace.name, priority: workspace.priority ?? route.priority}
			: {kind: keyDecisions.unleased};
	}

	/** Resolves with whether no configuration that may be in force knows the key. A request without a key needs no confirmation. */
	async confirmUnknown(route: Route, rawHeaders: readonly string[], waitMs: number): Promise<boolean> {
		const {lease, codec} = this.#opts;
		if (codec.findKey(rawHeaders) !== undefined && !await lease.confirmVersion(Math.min(maxConfirmMs, waitMs))) {
			return false;
		}

		return this.decide(route, rawHeaders).kind === keyDecisions.unknown;
	}
}
