/**
 * The workspaces of one configuration, by the SHA-256 digests of their keys. A lookup compares digests, so that its time says
 * nothing about the keys. Keys that were found are remembered, since a digest is a noticeable cost on a slow processor.
 */
import {createHash} from 'node:crypto';
import type {WorkspaceDefinition} from '@hickorytrack/route-table/route-types';

/** Bounds of the keys that are remembered; longer ones are looked up by their digest each time. */
const maxRecentKeys = 4096;
const maxRecentLength = 256;

export class WorkspaceKeys {
	readonly #byDigest = new Map<string, WorkspaceDefinition>();
	readonly #recent = new Map<string, WorkspaceDefinition>();

	/** Of several workspaces with the same key, which a valid configuration does not have, none gets it. */
	constructor(workspaces: readonly WorkspaceDefinition[]) {
		const shared = new Set<string>();
		for (const workspace of workspaces) {
			for (const key of workspace.keys) {
				const digest = computeDigest(key);
				if ((this.#byDigest.get(digest) ?? workspace) !== workspace) {
					shared.add(digest);
				}

				this.#byDigest.set(digest, workspace);
			}
		}

		for (const digest of shared) {
			this.#byDigest.delete(digest);
		}
	}

	find(key: string): WorkspaceDefinition | undefined {
		if (key === '') {
			return undefined;
		}

		const recent = this.#recent.get(key);
		if (recent) {
			return recent;
		}

		const workspace = this.#byDigest.get(computeDigest(key));
		if (workspace && key.length <= maxRecentLength) {
			this.#remember(key, workspace);
		}

		return workspace;
	}

	#remember(key: string, workspace: WorkspaceDefinition): void {
		if (this.#recent.size >= maxRecentKeys) {
			// A map lists its elements in the order of their addition.
			this.#recent.delete(this.#recent.keys().next().value!);
		}

		this.#recent.set(key, workspace);
	}
}

function computeDigest(key: string): string {
	return createHash('sha256').update(key).digest('base64');
}
