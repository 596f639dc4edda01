/** Commands that explain and replay decisions of the role planner. */
import {readFile, writeFile} from 'node:fs/promises';
import {Args, Flags} from '@oclif/core';
import {GreedyPlanner, StaticPlanner} from '@hickorytrack/role-planner/baseline-planners';
import {PricePlanner} from '@hickorytrack/role-planner/price-planner';
import type {PlannerInput, RoleDecision, RolePlanner} from '@hickorytrack/role-planner';
import {OperatorCommand} from './operator-command.js';

type RecordedDecision = {
	at: number;
	planner: string;
	models: string;
	input: PlannerInput;
	decision: RoleDecision;
};

const planners: Record<string, () => RolePlanner> = {
	price: () => new PricePlanner(),
	greedy: () => new GreedyPlanner(),
	static: () => new StaticPlanner('static-mixed'),
};

export class RoleExplain extends OperatorCommand {
	static override description = 'Show the demand, the role changes that the role planner considered, and the reason for its latest decision.';
	static override flags = {save: Flags.string({description: 'write the recorded decisions to a file, for role replay'})};

	async run(): Promise<unknown> {
		const {flags} = await this.parse(RoleExplain);
		const {decisions} = await this.callServer<{decisions: RecordedDecision[]}>(flags, 'role.explain');
		if (flags.save !== undefined) {
			await writeFile(flags.save, decisions.map(entry => JSON.stringify(entry)).join('\n'));
		}

		const last = decisions.at(-1);
		if (!last) {
			this.log('The role planner has not made a decision yet. Run hickorytrack config get roles.planner to see which planner is selected.');
			return decisions;
		}

		this.log(`${last.planner} for ${last.models}: serves ${(last.decision.servedNow * 100).toFixed(0)}% of the demand; ${last.decision.reason}`);
		this.printTable(['model', 'prefill', 'decode', 'uncertainty'], last.input.demand.map(demand => [demand.model, demand.prefill.toFixed(2), demand.decode.toFixed(2), demand.uncertainty.toFixed(2)]));
		this.printTable(['considered', 'from', 'to', 'count', 'gain', 'price'], last.decision.considered.map(candidate => [candidate.endpoint, candidate.from, candidate.to, candidate.count, candidate.gain.toFixed(1), candidate.price.toFixed(1)]));
		return decisions;
	}
}

export class RoleReplay extends OperatorCommand {
	static override description = 'Run a role planner on the inputs of recorded decisions and show its decisions next to the recorded ones.';
	static override args = {file: Args.string({required: true, description: 'file written by role explain --save'})};
	static override flags = {planner: Flags.string({options: Object.keys(planners), default: 'price'})};

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(RoleReplay);
		const text = await readFile(args.file, 'utf8').catch((error: unknown) => this.error(`Can't read ${args.file}: ${String(error)}`, {exit: 2}));
		const planner = planners[flags.planner]!();
		const rows = text.split('\n').filter(Boolean).map(line => {
			const recorded = JSON.parse(line) as RecordedDecision;
			const decision = planner.plan(recorded.input);
			return {
				at: recorded.at, recorded: recorded.decision.change, replayed: decision.change, reason: decision.reason,
			};
		});
		this.printTable(['time', 'recorded', 'replayed', 'reason'], rows.map(row => [
			new Date(row.at).toISOString(), row.recorded ? `${row.recorded.endpoint} ${row.recorded.role}` : '-', row.replayed ? `${row.replayed.endpoint} ${row.replayed.role}` : '-', row.reason,
		]));
		return rows;
	}
}
