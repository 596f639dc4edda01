/** The settings of the daemon: each with its flag, environment variable, default and check. */

export type SettingDefinition = {
	/** Name of the flag without the dashes; the environment variable follows from it. */
	flag: string;
	placeholder: string;
	description: string;
	defaultValue?: string;
	/** Returns why a text is not allowed, or `undefined`. */
	check?: (text: string) => string | undefined;
	/** A secret is left out of dumps. */
	isSecret?: boolean;
};

const checkAddress = (text: string): string | undefined => {
	const port = Number(text.slice(text.lastIndexOf(':') + 1));
	return /^[\d.]+:\d+$/.test(text) && port <= 65_535 ? undefined : 'an address is an IP number and a port, such as 127.0.0.1:7400';
};

const checkNumber = (minimum: number, maximum: number) => (text: string): string | undefined => {
	const isInRange = /^\d+$/.test(text) && Number(text) >= minimum && Number(text) <= maximum;
	return isInRange ? undefined : `a whole number from ${minimum} to ${maximum} is wanted`;
};

const checkChoice = (...choices: string[]) => (text: string): string | undefined => choices.includes(text) ? undefined : `one of ${choices.join(', ')} is wanted`;

const checkList = (check: (part: string) => string | undefined) => (text: string): string | undefined => text.split(',').map(part => check(part)).find(Boolean);

const checkMember = (text: string): string | undefined => {
	const [name, address] = text.split('=');
	return name && address && checkAddress(address) === undefined ? undefined : 'controllers are written as NAME=IP:PORT, separated by commas';
};

const checkUrl = (text: string): string | undefined => /^http:\/\/[^/]+$/.test(text) ? undefined : 'a URL such as http://127.0.0.1:8000 is wanted';

const checkName = (text: string): string | undefined => /^[\w.-]{1,64}$/.test(text) ? undefined : 'letters, digits, dots, dashes and underscores are allowed, 64 at most';

export const settingsCatalogue: readonly SettingDefinition[] = [
	{
		flag: 'instance', placeholder: 'NAME', description: 'Name of this instance.', defaultValue: 'local', check: checkName,
	},
	{
		flag: 'availability-zone', placeholder: 'NAME', description: 'Availability zone of this instance.', defaultValue: 'local', check: checkName,
	},
	{
		flag: 'roles', placeholder: 'LIST', description: 'Roles of this process: entry, agent, controller.', defaultValue: 'entry,agent,controller', check: checkList(checkChoice('entry', 'agent', 'controller')),
	},
	{
		flag: 'peer-listen', placeholder: 'ADDRESS', description: 'Where other processes reach this one. The agent holds its slot by this address.', defaultValue: '127.0.0.1:7400', check: checkAddress,
	},
	{
		flag: 'peer-advertise', placeholder: 'ADDRESS', description: 'Address given to other processes, where it differs from --peer-listen.', check: checkAddress,
	},
	{
		flag: 'caller-listen', placeholder: 'ADDRESS', description: 'Where callers reach the entry.', defaultValue: '127.0.0.1:7480', check: checkAddress,
	},
	{
		flag: 'operator-listen', placeholder: 'ADDRESS', description: 'Where operators reach this process.', defaultValue: '127.0.0.1:7490', check: checkAddress,
	},
	{
		flag: 'controllers', placeholder: 'LIST', description: 'Controllers as NAME=IP:PORT. Default: this process, if it is one.', check: checkList(checkMember),
	},
	{
		flag: 'join', placeholder: 'BOOLEAN', description: 'Start a controller with an empty disk that waits to be added by the others.', defaultValue: 'false', check: checkChoice('true', 'false'),
	},
	{flag: 'data', placeholder: 'FOLDER', description: 'Data folder of the controller.'},
	{
		flag: 'peer-keys', placeholder: 'LIST', description: 'Shared keys of the processes, newest first; all are accepted.', defaultValue: 'development-only', isSecret: true, check: checkList(text => text.length >= 8 ? undefined : 'a peer key has eight characters or more'),
	},
	{
		flag: 'operator-keys', placeholder: 'LIST', description: 'Keys of operators; without one only loopback callers are let in.', isSecret: true,
	},
	{
		flag: 'engine', placeholder: 'URL', description: 'The engine or plain service beside the agent.', check: checkUrl,
	},
	{
		flag: 'engine-adapter', placeholder: 'NAME', description: 'Adapter for the engine: model for the completions API, service for plain HTTP.', defaultValue: 'model', check: checkName,
	},
	{
		flag: 'endpoint', placeholder: 'NAME', description: 'Name of the endpoint. Default: the name of the instance.', check: checkName,
	},
	{
		flag: 'service', placeholder: 'NAME', description: 'Name of the plain service, with the adapter service.', check: checkName,
	},
	{
		flag: 'lease-ms', placeholder: 'MS', description: 'Time without a majority of the controllers after which new work is refused.', defaultValue: '6000', check: checkNumber(200, 600_000),
	},
	{
		flag: 'heartbeat-ms', placeholder: 'MS', description: 'Heartbeat of connections between processes.', defaultValue: '500', check: checkNumber(20, 60_000),
	},
	{
		flag: 'silence-ms', placeholder: 'MS', description: 'Silence after which a connection is closed.', defaultValue: '2000', check: checkNumber(50, 600_000),
	},
	{
		flag: 'election-ms', placeholder: 'MS', description: 'Shortest silence of a leader before an election.', defaultValue: '600', check: checkNumber(50, 60_000),
	},
	{
		flag: 'snapshot-records', placeholder: 'NUMBER', description: 'Log records after which a controller takes a snapshot.', defaultValue: '5000', check: checkNumber(10, 1_000_000),
	},
	{
		flag: 'request-timeout-ms', placeholder: 'MS', description: 'Longest time for one request of a caller.', defaultValue: '120000', check: checkNumber(100, 3_600_000),
	},
	{
		flag: 'stall-ms', placeholder: 'MS', description: 'Silence of an engine stream before it is probed on a second connection.', defaultValue: '3000', check: checkNumber(50, 600_000),
	},
	{
		flag: 'stop-seconds', placeholder: 'S', description: 'Longest graceful shutdown; what is open then is handed over.', defaultValue: '60', check: checkNumber(1, 3600),
	},
	{
		flag: 'log-level', placeholder: 'LEVEL', description: 'Least level of the events written.', defaultValue: 'info', check: checkChoice('debug', 'info', 'warn', 'error', 'silent'),
	},
	{
		flag: 'statsd', placeholder: 'ADDRESS', description: 'Where metrics are sent by StatsD.', check: checkAddress,
	},
	{
		flag: 'seed', placeholder: 'NUMBER', description: 'Seed of all chance in this process. Default: from the clock.', check: checkNumber(0, 4_294_967_295),
	},
];

export function formatEnvVariable(flag: string): string {
	return `HICKORYTRACK_${flag.toUpperCase().replaceAll('-', '_')}`;
}
