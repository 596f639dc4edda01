/** Definitions of the daemon's settings: flag, environment variable, default value and validation. */

export type SettingDefinition = {
	/** Name of the flag without the leading dashes; the name of the environment variable is derived from it. */
	flag: string;
	/** Placeholder for the value in the help text. */
	placeholder: string;
	description: string;
	defaultValue?: string;
	/** Returns why a value is invalid, or `undefined`. */
	check?: (text: string) => string | undefined;
	/** A secret is left out of error messages, the help text and dumps. */
	isSecret?: boolean;
};

const checkAddress = (text: string): string | undefined => {
	const port = Number(text.slice(text.lastIndexOf(':') + 1));
	return /^[\d.]+:\d+$/.test(text) && port <= 65_535 ? undefined : 'expected an IPv4 address and a port, such as 127.0.0.1:7400';
};

const checkNumber = (minimum: number, maximum: number) => (text: string): string | undefined => {
	const isInRange = /^\d+$/.test(text) && Number(text) >= minimum && Number(text) <= maximum;
	return isInRange ? undefined : `expected an integer from ${minimum} to ${maximum}`;
};

const checkChoice = (...choices: string[]) => (text: string): string | undefined => choices.includes(text) ? undefined : `expected one of ${choices.join(', ')}`;

const checkList = (check: (part: string) => string | undefined) => (text: string): string | undefined => text.split(',').map(part => check(part)).find(Boolean);

const checkController = (text: string): string | undefined => {
	const [name, address] = text.split('=');
	return name && address && checkAddress(address) === undefined ? undefined : 'expected controllers as NAME=IP:PORT, separated by commas';
};

const checkUrl = (text: string): string | undefined => /^http:\/\/[^/]+$/.test(text) ? undefined : 'expected a URL such as http://127.0.0.1:8000';

const checkName = (text: string): string | undefined => /^[\w.-]{1,64}$/.test(text) ? undefined : 'expected 1 to 64 letters, digits, dots, dashes or underscores';

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
		flag: 'peer-listen', placeholder: 'ADDRESS', description: 'Listen address for other processes. It is bound exclusively, so that only one process runs as this agent.', defaultValue: '127.0.0.1:7400', check: checkAddress,
	},
	{
		flag: 'peer-advertise', placeholder: 'ADDRESS', description: 'Address at which other processes reach this one, if it differs from --peer-listen.', check: checkAddress,
	},
	{
		flag: 'caller-listen', placeholder: 'ADDRESS', description: 'Listen address of the entry for callers.', defaultValue: '127.0.0.1:7480', check: checkAddress,
	},
	{
		flag: 'operator-listen', placeholder: 'ADDRESS', description: 'Listen address for operators.', defaultValue: '127.0.0.1:7490', check: checkAddress,
	},
	{
		flag: 'controllers', placeholder: 'LIST', description: 'Controllers as NAME=IP:PORT. Default: this process, if it has the role controller.', check: checkList(checkController),
	},
	{
		flag: 'join', placeholder: 'BOOLEAN', description: 'Start a controller with an empty data folder that waits until it is added to the existing controllers.', defaultValue: 'false', check: checkChoice('true', 'false'),
	},
	{flag: 'data', placeholder: 'FOLDER', description: 'Data folder of the controller.'},
	{
		flag: 'peer-keys', placeholder: 'LIST', description: 'Shared keys for connections between processes, newest first; all are accepted.', defaultValue: 'development-only', isSecret: true, check: checkList(text => text.length >= 8 ? undefined : 'expected at least 8 characters for each peer key'),
	},
	{
		flag: 'operator-keys', placeholder: 'LIST', description: 'Keys of operators. Without a key, only loopback connections are accepted.', isSecret: true,
	},
	{
		flag: 'engine', placeholder: 'URL', description: 'URL of the engine or plain HTTP service that the agent manages.', check: checkUrl,
	},
	{
		flag: 'engine-adapter', placeholder: 'NAME', description: 'Engine adapter: model for the completions API, service for plain HTTP.', defaultValue: 'model', check: checkName,
	},
	{
		flag: 'endpoint', placeholder: 'NAME', description: 'Name of the endpoint. Default: the name of the instance.', check: checkName,
	},
	{
		flag: 'service', placeholder: 'NAME', description: 'Name of the plain HTTP service; required with --engine-adapter service.', check: checkName,
	},
	{
		flag: 'lease-ms', placeholder: 'MS', description: 'Lease: time without contact to a majority of the controllers after which new work is rejected.', defaultValue: '6000', check: checkNumber(200, 600_000),
	},
	{
		flag: 'heartbeat-ms', placeholder: 'MS', description: 'Heartbeat interval of connections between processes.', defaultValue: '500', check: checkNumber(20, 60_000),
	},
	{
		flag: 'silence-ms', placeholder: 'MS', description: 'Time without received data after which a connection between processes is closed.', defaultValue: '2000', check: checkNumber(50, 600_000),
	},
	{
		flag: 'election-ms', placeholder: 'MS', description: 'Minimum election timeout: time without a message from the leader before an election starts.', defaultValue: '600', check: checkNumber(50, 60_000),
	},
	{
		flag: 'snapshot-records', placeholder: 'NUMBER', description: 'Number of log records after which a controller takes a snapshot.', defaultValue: '5000', check: checkNumber(10, 1_000_000),
	},
	{
		flag: 'request-timeout-ms', placeholder: 'MS', description: 'Timeout of a caller\'s request.', defaultValue: '120000', check: checkNumber(100, 3_600_000),
	},
	{
		flag: 'stall-ms', placeholder: 'MS', description: 'Time without data on an engine stream after which the engine is probed on a second connection.', defaultValue: '3000', check: checkNumber(50, 600_000),
	},
	{
		flag: 'stop-seconds', placeholder: 'S', description: 'Timeout of a graceful shutdown; work that is still open then is handed over.', defaultValue: '60', check: checkNumber(1, 3600),
	},
	{
		flag: 'log-level', placeholder: 'LEVEL', description: 'Minimum level of the events that are logged.', defaultValue: 'info', check: checkChoice('debug', 'info', 'warn', 'error', 'silent'),
	},
	{
		flag: 'statsd', placeholder: 'ADDRESS', description: 'Address of the StatsD server that receives the metrics.', check: checkAddress,
	},
	{
		flag: 'seed', placeholder: 'NUMBER', description: 'Seed of the random number generator. Default: a new one at each start.', check: checkNumber(0, 4_294_967_295),
	},
];

export function formatEnvVariable(flag: string): string {
	return `HICKORYTRACK_${flag.toUpperCase().replaceAll('-', '_')}`;
}
