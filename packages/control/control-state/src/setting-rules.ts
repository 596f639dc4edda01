/** The deployment-wide settings with their type, default and bounds. */

export type SettingRule = {
	name: string;
	description: string;
	defaultValue: string | number | boolean;
	minimum?: number;
	maximum?: number;
	choices?: readonly string[];
};

export const settingRules: readonly SettingRule[] = [
	{
		name: 'changes.atOnce', description: 'Maximum number of planned changes in progress at the same time.', defaultValue: 2, minimum: 1, maximum: 1000,
	},
	{
		name: 'weights.loadsAtOnce', description: 'Maximum number of loads from the weight store in progress at the same time.', defaultValue: 2, minimum: 1, maximum: 1000,
	},
	{
		name: 'capacity.minimumPerModel', description: 'Minimum number of endpoints of a model or service that planned changes leave serving.', defaultValue: 1, minimum: 0, maximum: 10_000,
	},
	{
		name: 'drain.limitSeconds', description: 'Time after which streams on a draining endpoint are handed over, in seconds.', defaultValue: 20, minimum: 1, maximum: 3600,
	},
	{
		name: 'roles.planner', description: 'Planner that decides role changes.', defaultValue: 'off', choices: ['off', 'price', 'greedy'],
	},
	{
		name: 'roles.changeWeight', description: 'Weight of one role change against goodput: 1 counts only the capacity that the change removes, higher values make changes rarer.', defaultValue: 1, minimum: 0.1, maximum: 100,
	},
	{
		name: 'lease.whenAllSilent', description: 'What an entry does when no controller responds: refuse new work or continue to serve.', defaultValue: 'refuse', choices: ['refuse', 'serve'],
	},
];

/**
 * Returns why a value is not allowed, or `undefined` when it is. The texts are part of the replicated outcomes, so they
 * must stay the same in every release, as those of `ControlState`.
 */
export function checkSetting(name: string, value: string | number | boolean): string | undefined {
	const rule = settingRules.find(candidate => candidate.name === name);
	if (!rule) {
		return `There is no setting ${name}; there are ${settingRules.map(candidate => candidate.name).join(', ')}`;
	}

	if (typeof value !== typeof rule.defaultValue) {
		return `${name} takes a ${typeof rule.defaultValue}`;
	}

	if (rule.choices && !rule.choices.includes(String(value))) {
		return `${name} takes one of ${rule.choices.join(', ')}`;
	}

	const isTooSmall = rule.minimum !== undefined && Number(value) < rule.minimum;
	const isTooLarge = rule.maximum !== undefined && Number(value) > rule.maximum;
	return isTooSmall || isTooLarge ? `${name} takes a number from ${rule.minimum} to ${rule.maximum}` : undefined;
}
