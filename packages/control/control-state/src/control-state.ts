/**
 * The replicated state machine of the controllers. It is deterministic: timestamps are part of the commands, and the
 * result does not depend on the member that applies them. Data for entries and agents is in the item store; claims,
 * planned changes and the history of contracts stay on the controllers.
 */
import type {Contract} from '@hickorytrack/types/contract';
import type {
	CommandOutcome, ControlCommand, EndpointDirective, EndpointRecord, ItemPage, ItemValue, PlannedChange, QuarantineEntry,
} from '@hickorytrack/types/control';
import type {Claim} from '@hickorytrack/types/claim';
import {ClaimTable} from '@hickorytrack/claims';
import {ItemStore} from '@hickorytrack/item-store';
import {QuarantineTable, type QuarantineDump} from '@hickorytrack/quarantine';
import {computeCommandDigest, OutcomeTable, type StoredOutcome} from './outcome-table.js';
import {
	isAllowedTransition, isCancellable, isEnded, isLoadingWeights, hasDrainingStep,
} from './planned-change.js';
import {checkSetting, settingRules} from './setting-rules.js';

const maximumContractVersions = 50;
/** Ended planned changes that are kept so that operators can list them. */
const maximumEndedChanges = 200;

export type ContractVersion = {
	version: number;
	changeId: string;
	revision: number;
	/** Missing when this version removed the contract. */
	contract?: Contract;
};

export type ControlSnapshot = {
	items: ItemPage;
	outcomes: StoredOutcome[];
	claims: Claim[];
	quarantine: QuarantineDump;
	changes: PlannedChange[];
	history: Array<{workspace: string; versions: ContractVersion[]}>;
	lastOrderNumber: number;
	crashReports: string[];
};

type CommandOf<K extends ControlCommand['kind']> = ControlCommand & {kind: K};
type Refusal = CommandOutcome & {ok: false};

const maximumCrashReports = 1000;

export class ControlState {
	readonly items = new ItemStore();
	readonly claims = new ClaimTable();
	readonly quarantine = new QuarantineTable();
	readonly endpoints = new Map<string, EndpointRecord>();
	readonly changes = new Map<string, PlannedChange>();
	readonly #history = new Map<string, ContractVersion[]>();
	readonly #outcomes = new OutcomeTable();
	#lastOrderNumber = 0;
	#crashReports: string[] = [];
	#index = 0;

	apply(command: unknown, index: number): CommandOutcome {
		this.#index = index;
		const typed = command as ControlCommand;
		if (!('changeId' in typed) || typed.kind === 'advance-change' || typed.kind === 'cancel-change') {
			return this.#applyCommand(typed);
		}

		const digest = computeCommandDigest({...typed, at: undefined});
		const known = this.#outcomes.find(typed.changeId);
		if (known) {
			return known.digest === digest ? known.outcome : this.#reject('reused-change-id', `The change id ${typed.changeId} was used for another change`);
		}

		const outcome = this.#applyCommand(typed);
		this.#outcomes.add({changeId: typed.changeId, digest, outcome});
		return outcome;
	}

	createSnapshot(): ControlSnapshot {
		return {
			items: this.items.dump(),
			outcomes: this.#outcomes.dump(),
			claims: this.claims.dump(),
			quarantine: this.quarantine.dump(),
			changes: structuredClone([...this.changes.values()]),
			history: structuredClone([...this.#history].map(([workspace, versions]) => ({workspace, versions}))),
			lastOrderNumber: this.#lastOrderNumber,
			crashReports: [...this.#crashReports],
		};
	}

	restoreSnapshot(state: unknown): void {
		const snapshot = state as ControlSnapshot;
		this.items.restore(snapshot.items);
		this.#outcomes.restore(snapshot.outcomes);
		this.claims.restore(snapshot.claims);
		this.quarantine.restore(snapshot.quarantine);
		this.endpoints.clear();
		this.changes.clear();
		this.#history.clear();
		for (const {value} of this.items.list('endpoint/')) {
			if (value.kind === 'endpoint') {
				this.endpoints.set(value.record.announcement.endpoint, value.record);
			}
		}

		for (const change of snapshot.changes) {
			this.changes.set(change.id, change);
		}

		for (const {workspace, versions} of snapshot.history) {
			this.#history.set(workspace, versions);
		}

		this.#lastOrderNumber = snapshot.lastOrderNumber;
		this.#crashReports = [...snapshot.crashReports];
	}

	readContract(workspace: string): (ItemValue & {kind: 'contract'}) | undefined {
		const value = this.items.read(`contract/${workspace}`)?.value;
		return value?.kind === 'contract' ? value : undefined;
	}

	listContracts(): Array<ItemValue & {kind: 'contract'}> {
		return this.items.list('contract/').map(item => item.value).filter(value => value.kind === 'contract');
	}

	readHistory(workspace: string): ContractVersion[] {
		return this.#history.get(workspace) ?? [];
	}

	readSetting(name: string): {value: string | number | boolean; version: number} {
		const value = this.items.read(`setting/${name}`)?.value;
		return value?.kind === 'setting' ? value : {value: settingRules.find(rule => rule.name === name)!.defaultValue, version: 0};
	}

	readDirective(endpoint: string): EndpointDirective {
		const value = this.items.read(`directive/${endpoint}`)?.value;
		return value?.kind === 'directive' ? value.directive : {endpoint, phase: 'serving', pinned: false};
	}

	listOpenChanges(): PlannedChange[] {
		return [...this.changes.values()].filter(change => !isEnded(change));
	}

	#applyCommand(command: ControlCommand): CommandOutcome {
		switch (command.kind) {
			case 'put-contract': {
				return this.#putContract(command);
			}

			case 'put-setting': {
				return this.#putSetting(command);
			}

			case 'grant-epoch': {
				return this.#grantEpoch(command);
			}

			case 'open-claim': {
				return this.#accept(structuredClone(this.claims.open(command.request, command.at)));
			}

			case 'settle-claim': {
				return this.#accept(structuredClone(this.claims.settle(command.settlement)));
			}

			case 'expire': {
				return this.#expire(command.at);
			}

			case 'start-change': {
				return this.#startChange(command);
			}

			case 'advance-change': {
				return this.#advanceChange(command);
			}

			case 'cancel-change': {
				return this.#cancelChange(command);
			}

			case 'pin-role': {
				this.#writeDirective({...this.readDirective(command.endpoint), pinned: command.pinned});
				return this.#accept(this.readDirective(command.endpoint));
			}

			case 'forget-endpoint': {
				const isSame = this.endpoints.get(command.endpoint)?.agentIncarnation === command.agentIncarnation;
				if (isSame) {
					this.#removeEndpoint(command.endpoint);
				}

				return this.#accept({forgotten: isSame});
			}

			case 'report-crash': {
				return this.#reportCrash(command);
			}

			case 'permit-suspect': {
				return this.#accept({permitted: this.quarantine.acquirePermit(command.fingerprint, command.attempt, command.at)});
			}

			case 'clear-suspect': {
				const cleared = this.quarantine.clear(command.fingerprint, command.attempt);
				this.#writeQuarantine(cleared ? [cleared] : []);
				return this.#accept({cleared: cleared !== undefined});
			}

			case 'clear-parts': {
				const cleared = this.quarantine.clearParts(command.parts, command.at);
				this.#writeQuarantine(cleared);
				return this.#accept({cleared: cleared.length});
			}

			case 'lift-quarantine': {
				const lifted = this.quarantine.remove(command.fingerprint);
				this.#writeQuarantine(lifted ? [lifted] : []);
				return lifted ? this.#accept({}) : this.#reject('not-found', `${command.fingerprint} is neither suspect nor quarantined`);
			}

			default: {
				return this.#reject('invalid', `This release does not know the command ${(command as {kind: string}).kind}`);
			}
		}
	}

	#putContract(command: CommandOf<'put-contract'>): CommandOutcome {
		const {workspace, contract} = command;
		const key = `contract/${workspace}`;
		const held = this.items.read(key)?.value;
		const version = held?.kind === 'contract' || held?.kind === 'removed' ? held.version : 0;
		if (version !== command.expectedVersion) {
			return this.#reject('conflict', `The contract of ${workspace} has version ${version}, the change expects version ${command.expectedVersion}`);
		}

		if (!contract && held?.kind !== 'contract') {
			return this.#reject('not-found', `There is no contract of ${workspace}`);
		}

		const conflictingKeyId = contract && this.#findConflictingKey(contract);
		if (conflictingKeyId) {
			return this.#reject('refused', `The key ${conflictingKeyId} is used by another workspace`);
		}

		const next = version + 1;
		this.items.write(key, contract ? {kind: 'contract', version: next, contract} : {kind: 'removed', was: 'contract', version: next}, this.#index);
		const versions = [...this.readHistory(workspace), {
			version: next, changeId: command.changeId, revision: this.#index, contract,
		}];
		this.#history.set(workspace, versions.slice(-maximumContractVersions));
		return this.#accept({workspace, version: next});
	}

	#findConflictingKey(contract: Contract): string | undefined {
		const digests = new Set(contract.apiKeys.map(key => key.sha256));
		for (const other of this.listContracts()) {
			const conflictingKey = other.contract.workspace !== contract.workspace && other.contract.apiKeys.find(key => digests.has(key.sha256));
			if (conflictingKey) {
				return conflictingKey.id;
			}
		}

		return undefined;
	}

	#putSetting(command: CommandOf<'put-setting'>): CommandOutcome {
		const reason = checkSetting(command.name, command.value);
		if (reason) {
			return this.#reject('invalid', reason);
		}

		const {version} = this.readSetting(command.name);
		if (version !== command.expectedVersion) {
			return this.#reject('conflict', `The setting ${command.name} has version ${version}, the change expects version ${command.expectedVersion}`);
		}

		this.items.write(`setting/${command.name}`, {
			kind: 'setting', version: version + 1, name: command.name, value: command.value,
		}, this.#index);
		return this.#accept({name: command.name, version: version + 1});
	}

	#grantEpoch(command: CommandOf<'grant-epoch'>): CommandOutcome {
		const {endpoint} = command.record.announcement;
		const held = this.endpoints.get(endpoint);
		const isSameAgent = held?.agentIncarnation === command.record.agentIncarnation;
		const epoch = isSameAgent ? held.epoch : this.#readLastEpoch(endpoint) + 1;
		const succeeds = isSameAgent ? held.succeeds : epoch > 1;
		this.#writeEndpoint({...command.record, epoch, succeeds});
		return this.#accept({epoch, succeeds});
	}

	#expire(at: number): CommandOutcome {
		const claims = this.claims.expire(at);
		const entries = this.quarantine.expire(at);
		this.#writeQuarantine(entries);
		return this.#accept({claims, quarantine: entries.length});
	}

	#startChange(command: CommandOf<'start-change'>): CommandOutcome {
		const refusal = this.#checkChange(command);
		if (refusal) {
			return refusal;
		}

		this.#lastOrderNumber++;
		const change: PlannedChange = {
			id: command.changeId,
			kind: command.changeKind,
			endpoint: command.endpoint,
			order: command.order,
			step: 'planned',
			orderNumber: this.#lastOrderNumber,
			requestedBy: command.requestedBy,
			startedAt: command.at,
			updatedAt: command.at,
			message: '',
		};
		this.changes.set(change.id, change);
		this.#removeOldEndedChanges();
		return this.#accept(structuredClone(change));
	}

	#checkChange(command: CommandOf<'start-change'>): Refusal | undefined {
		const record = this.endpoints.get(command.endpoint);
		if (!record) {
			return this.#reject('not-found', `There is no endpoint ${command.endpoint}`);
		}

		const open = this.listOpenChanges();
		const otherChange = open.find(change => change.endpoint === command.endpoint);
		if (otherChange) {
			return this.#reject('refused', `The endpoint ${command.endpoint} is under the change ${otherChange.id}`);
		}

		const maximumOpenChanges = Number(this.readSetting('changes.atOnce').value);
		if (open.length >= maximumOpenChanges) {
			return this.#reject('refused', `${open.length} changes are under way, the setting changes.atOnce allows ${maximumOpenChanges}`);
		}

		if (command.order?.kind === 'set-role' && !record.announcement.roles.includes(command.order.role)) {
			return this.#reject('invalid', `${command.endpoint} does not offer the role ${command.order.role}`);
		}

		return hasDrainingStep(command.changeKind) ? this.#checkCapacity(record) : undefined;
	}

	/** Refuses a change that would leave a model or service with fewer serving endpoints than the minimum. */
	#checkCapacity(record: EndpointRecord): Refusal | undefined {
		const minimum = Number(this.readSetting('capacity.minimumPerModel').value);
		if (this.readDirective(record.announcement.endpoint).phase !== 'serving') {
			return undefined;
		}

		for (const name of record.announcement.names) {
			const remaining = [...this.endpoints.values()].filter(other => other !== record
				&& other.announcement.names.includes(name)
				&& this.readDirective(other.announcement.endpoint).phase === 'serving').length;
			if (remaining < minimum) {
				return this.#reject('refused', `The change would leave ${remaining} endpoints serving ${name}, the setting capacity.minimumPerModel asks for ${minimum}`);
			}
		}

		return undefined;
	}

	#advanceChange(command: CommandOf<'advance-change'>): CommandOutcome {
		const change = this.changes.get(command.changeId);
		if (!change) {
			return this.#reject('not-found', `There is no change ${command.changeId}`);
		}

		if (change.step !== command.from) {
			return change.step === command.to ? this.#accept(structuredClone(change)) : this.#reject('conflict', `The change is at ${change.step}, not at ${command.from}`);
		}

		if (command.to === 'ordering' && change.kind !== 'replace' && !this.#hasLoadPermit()) {
			return this.#reject('refused', 'All permits of the weight store are taken');
		}

		if (!isAllowedTransition(change, command.to)) {
			return this.#reject('invalid', `A change can't go from ${change.step} to ${command.to}`);
		}

		change.step = command.to;
		change.updatedAt = command.at;
		change.message = command.message;
		this.#applyStep(change);
		return this.#accept(structuredClone(change));
	}

	/** Tells whether another load from the weight store may start; the limit applies to the whole fleet. */
	#hasLoadPermit(): boolean {
		const loading = this.listOpenChanges().filter(change => isLoadingWeights(change)).length;
		return loading < Number(this.readSetting('weights.loadsAtOnce').value);
	}

	/** Updates the endpoint and its directive for the new step. Both belong to the log record that enters the step. */
	#applyStep(change: PlannedChange): void {
		const directive = this.readDirective(change.endpoint);
		if (change.step === 'draining') {
			this.#writeDirective({...directive, phase: 'draining'});
		} else if (change.step === 'restoring') {
			const role = change.order?.kind === 'set-role' ? change.order.role : directive.role;
			this.#writeDirective({
				...directive, phase: 'serving', role, pinned: directive.pinned,
			});
		} else if (change.step === 'finished' && (change.kind === 'drain' || change.kind === 'withdraw')) {
			this.#writeDirective({...directive, phase: 'withdrawn'});
		} else if (change.step === 'failed' && hasDrainingStep(change.kind)) {
			this.#writeDirective({...directive, phase: 'serving'});
		}

		if (change.step === 'finished' && change.kind === 'withdraw') {
			this.#removeEndpoint(change.endpoint);
		}
	}

	#cancelChange(command: CommandOf<'cancel-change'>): CommandOutcome {
		const change = this.changes.get(command.changeId);
		if (!change) {
			return this.#reject('not-found', `There is no change ${command.changeId}`);
		}

		if (change.step === 'cancelled') {
			return this.#accept(structuredClone(change));
		}

		if (!isCancellable(change)) {
			return this.#reject('refused', `The change is at ${change.step} and can't be cancelled any more`);
		}

		if (change.step === 'draining') {
			this.#writeDirective({...this.readDirective(change.endpoint), phase: 'serving'});
		}

		change.step = 'cancelled';
		change.updatedAt = command.at;
		return this.#accept(structuredClone(change));
	}

	#reportCrash(command: CommandOf<'report-crash'>): CommandOutcome {
		if (!this.#crashReports.includes(command.reportId)) {
			this.#crashReports = [...this.#crashReports, command.reportId].slice(-maximumCrashReports);
			this.#writeQuarantine(this.quarantine.recordCrash(command.suspects, {id: command.reportId, at: command.at}));
		}

		return this.#accept({});
	}

	#writeEndpoint(record: EndpointRecord): void {
		this.endpoints.set(record.announcement.endpoint, record);
		this.items.write(`endpoint/${record.announcement.endpoint}`, {kind: 'endpoint', record}, this.#index);
	}

	/** Keeps the epoch in the tombstone, so that it does not decrease when the endpoint registers again. */
	#removeEndpoint(endpoint: string): void {
		const epoch = this.endpoints.get(endpoint)?.epoch ?? 0;
		this.endpoints.delete(endpoint);
		this.items.write(`endpoint/${endpoint}`, {kind: 'removed', was: 'endpoint', version: epoch}, this.#index);
	}

	#readLastEpoch(endpoint: string): number {
		const value = this.items.read(`endpoint/${endpoint}`)?.value;
		return value?.kind === 'removed' ? value.version : this.endpoints.get(endpoint)?.epoch ?? 0;
	}

	#writeQuarantine(entries: readonly QuarantineEntry[]): void {
		for (const entry of entries) {
			this.items.write(`quarantine/${entry.fingerprint}`, {kind: 'quarantine', entry}, this.#index);
		}
	}

	#writeDirective(directive: EndpointDirective): void {
		this.items.write(`directive/${directive.endpoint}`, {kind: 'directive', directive}, this.#index);
	}

	#removeOldEndedChanges(): void {
		const ended = [...this.changes.values()].filter(change => isEnded(change));
		for (const change of ended.slice(0, Math.max(0, ended.length - maximumEndedChanges))) {
			this.changes.delete(change.id);
		}
	}

	#accept(value: unknown): CommandOutcome {
		return {ok: true, value, revision: this.items.revision};
	}

	/**
	 * Refusals are part of the replicated outcome table, which every member computes by itself. Members of different releases
	 * must compute the same state, so the message texts must not change.
	 */
	#reject(code: Refusal['code'], message: string): Refusal {
		return {
			ok: false, code, message, revision: this.items.revision,
		};
	}
}
