/**
 * The workspaces known to this entry: authenticates API keys and enforces this entry's share of the contract limits. Keys
 * are compared by digest, so that the duration of a comparison reveals nothing about a key.
 */
import {createHash, timingSafeEqual} from 'node:crypto';
import {Buffer} from 'node:buffer';
import type {Clock} from '@hickorytrack/clock';
import {RetryBudget} from '@hickorytrack/rate-limit/retry-budget';
import {TokenBucket} from '@hickorytrack/rate-limit/token-bucket';
import type {Contract} from '@hickorytrack/types/contract';
import type {ControlItem} from '@hickorytrack/types/control';
import type {WorkspaceDemand, WorkspaceShare} from '@hickorytrack/types/peer-methods';

const msPerSecond = 1000;
const demandSmoothingFactor = 0.5;

export class Workspace {
	contract: Contract;
	inFlight = 0;
	/** Separate for each workspace, so that no workspace can use up the retries of another. */
	readonly retryBudget: RetryBudget;
	readonly #bucket: TokenBucket;
	#fraction = 1;
	#arrivals = 0;
	#rate = 0;

	constructor(contract: Contract, clock: Clock) {
		this.contract = contract;
		this.retryBudget = new RetryBudget(clock);
		this.#bucket = new TokenBucket(clock, contract.limits.requestsPerSecond, contract.limits.burst);
	}

	update(contract: Contract): void {
		this.contract = contract;
		this.#setLimits();
	}

	/** Sets the fraction of the fleet-wide limits that this entry may use. */
	setFraction(fraction: number): void {
		this.#fraction = fraction;
		this.#setLimits();
	}

	/** Counts an arrival and takes a token from the rate limiter. Returns 0, or the milliseconds until a token is available. */
	acquireRateToken(): number {
		this.#arrivals++;
		return this.#bucket.acquire();
	}

	get isAtConcurrencyLimit(): boolean {
		return this.inFlight >= Math.max(1, Math.ceil(this.contract.limits.concurrency * this.#fraction));
	}

	/** Returns the smoothed demand in requests per second; the arrivals since the last call are the newest sample. */
	collectDemand(intervalMs: number): number {
		const rate = this.#arrivals / Math.max(1, intervalMs) * msPerSecond;
		this.#arrivals = 0;
		this.#rate = (this.#rate * demandSmoothingFactor) + (rate * (1 - demandSmoothingFactor));
		return this.#rate;
	}

	#setLimits(): void {
		const {requestsPerSecond, burst} = this.contract.limits;
		this.#bucket.setLimits(requestsPerSecond * this.#fraction, Math.max(1, burst * this.#fraction));
	}
}

export class WorkspaceDirectory {
	readonly #clock: Clock;
	readonly #workspaces = new Map<string, Workspace>();
	readonly #keys = new Map<string, {digest: Buffer; workspace: Workspace}>();
	/** Fractions by workspace; the one under the empty name is for all others. */
	#fractions: ReadonlyMap<string, number> = new Map();
	#collectedAt: number;

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#collectedAt = clock.monotonic();
	}

	get size(): number {
		return this.#workspaces.size;
	}

	applyItems(items: readonly ControlItem[]): void {
		for (const {key, value} of items.filter(item => item.key.startsWith('contract/'))) {
			if (value.kind === 'contract') {
				this.#setContract(value.contract);
			} else {
				this.#workspaces.delete(key.slice('contract/'.length));
			}
		}

		this.#rebuildKeys();
	}

	find(key: string): Workspace | undefined {
		const digest = createHash('sha256').update(key).digest();
		const found = this.#keys.get(digest.toString('hex'));
		return found && timingSafeEqual(found.digest, digest) ? found.workspace : undefined;
	}

	setShares(shares: readonly WorkspaceShare[]): void {
		this.#fractions = new Map(shares.map(share => [share.workspace, share.fraction]));
		for (const [name, workspace] of this.#workspaces) {
			workspace.setFraction(this.#findFraction(name));
		}
	}

	/** Returns the demand of the workspaces whose demand is not negligible. */
	collectDemand(): WorkspaceDemand[] {
		const now = this.#clock.monotonic();
		const intervalMs = now - this.#collectedAt;
		this.#collectedAt = now;
		return [...this.#workspaces]
			.map(([workspace, state]) => ({workspace, requestsPerSecond: state.collectDemand(intervalMs)}))
			.filter(demand => demand.requestsPerSecond > 0.01);
	}

	#setContract(contract: Contract): void {
		const existing = this.#workspaces.get(contract.workspace);
		if (existing) {
			existing.update(contract);
		} else {
			const workspace = new Workspace(contract, this.#clock);
			workspace.setFraction(this.#findFraction(contract.workspace));
			this.#workspaces.set(contract.workspace, workspace);
		}
	}

	#findFraction(workspace: string): number {
		return this.#fractions.get(workspace) ?? this.#fractions.get('') ?? 1;
	}

	#rebuildKeys(): void {
		this.#keys.clear();
		for (const workspace of this.#workspaces.values()) {
			for (const {sha256} of workspace.contract.apiKeys) {
				this.#keys.set(sha256, {digest: Buffer.from(sha256, 'hex'), workspace});
			}
		}
	}
}
