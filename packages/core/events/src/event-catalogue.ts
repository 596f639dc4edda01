/** The catalogue of numbered events. The number of a removed event is never reused; `docs/events.md` is generated from this table. */

export type EventDefinition = {
	number: number;
	level: 'debug' | 'info' | 'warn' | 'error';
	text: string;
	/** What an operator should do when the event occurs. */
	action: string;
};

const noAction = 'Nothing.';

export const eventCatalogue = {
	daemonStarted: {
		number: 1001, level: 'info', text: 'The process is ready to serve', action: noAction,
	},
	daemonStopping: {
		number: 1002, level: 'info', text: 'A graceful shutdown began', action: noAction,
	},
	daemonStopped: {
		number: 1003, level: 'info', text: 'The process stopped', action: noAction,
	},
	openWork: {
		number: 1004, level: 'warn', text: 'A second termination signal was received while this work was still open', action: 'Wait, or kill the process if losing the work is acceptable.',
	},
	startFailed: {
		number: 1005, level: 'error', text: 'The process could not start', action: 'Follow the hint in the event.',
	},
	unexpectedError: {
		number: 1006, level: 'error', text: 'An unexpected error occurred', action: 'Report it with the event and a state dump.',
	},
	taskFailed: {
		number: 1007, level: 'error', text: 'A background task, timer or listener threw an error; the process goes on, and a task that should run on is started again', action: 'Report it with the stack; the task names what did not happen.',
	},
	fatalError: {
		number: 1008, level: 'error', text: 'An error reached the top of the process; it finishes the requests that it has accepted and exits', action: 'Report it with the stack.',
	},
	peerOpened: {
		number: 1101, level: 'debug', text: 'A connection to another process opened', action: noAction,
	},
	peerLost: {
		number: 1102, level: 'info', text: 'A connection to another process closed', action: 'Check the other process if this repeats.',
	},
	leaseLost: {
		number: 1201, level: 'warn', text: 'No contact with a majority of the controllers within the lease; new work is refused', action: 'Check the network to the controllers and that a majority of them is running.',
	},
	leaseHeld: {
		number: 1202, level: 'info', text: 'The lease is valid again', action: noAction,
	},
	leaderMissing: {
		number: 1203, level: 'warn', text: 'The controllers have no leader; this process continues with the last configuration that it received', action: 'Restore a majority of the controllers.',
	},
	itemsApplied: {
		number: 1204, level: 'debug', text: 'New configuration items were applied', action: noAction,
	},
	controllerChosen: {
		number: 1205, level: 'info', text: 'Subscribed to a controller', action: noAction,
	},
	requestRefused: {
		number: 1301, level: 'info', text: 'A request was refused', action: 'Compare the code in the event with the contract of the workspace.',
	},
	requestAnswered: {
		number: 1302, level: 'debug', text: 'A request was answered', action: noAction,
	},
	attemptMoved: {
		number: 1303, level: 'info', text: 'A request continues at another endpoint; with silentMs and limit, because the one before was silent, which held it until then', action: noAction,
	},
	answerBroken: {
		number: 1304, level: 'error', text: 'An answer could not be completed and ended with an error event', action: 'Check the endpoint that served the request.',
	},
	callerLost: {
		number: 1305, level: 'info', text: 'The caller disconnected; its work was cancelled', action: noAction,
	},
	outcomeUnknown: {
		number: 1306, level: 'warn', text: 'The outcome of a call that must not be repeated is unknown', action: 'Check at the service whether the call ran.',
	},
	endpointAnnounced: {
		number: 1401, level: 'info', text: 'An endpoint was announced and received its epoch', action: noAction,
	},
	engineCrashed: {
		number: 1402, level: 'error', text: 'The engine crashed', action: 'Check which requests were running, and check the quarantine list.',
	},
	engineSilent: {
		number: 1403, level: 'warn', text: 'The stream of an attempt was silent for silentMs and the engine no longer runs the attempt, can not be reached, or the time of the request is over', action: 'Check the engine.',
	},
	orderRefused: {
		number: 1404, level: 'warn', text: 'An order was refused by the check of its fencing token', action: 'Nothing if a leader or an agent has just changed.',
	},
	orderDone: {
		number: 1405, level: 'info', text: 'The engine carried out an order', action: noAction,
	},
	orderFailed: {
		number: 1406, level: 'error', text: 'The engine did not carry out an order', action: 'Check the engine, then request the change again.',
	},
	phaseChanged: {
		number: 1407, level: 'info', text: 'The phase of the endpoint changed to serving, draining or withdrawn', action: noAction,
	},
	engineMissing: {
		number: 1408, level: 'warn', text: 'The engine does not answer', action: 'Start the engine; the agent announces it automatically.',
	},
	engineFellSilent: {
		number: 1409, level: 'warn', text: 'The engine left a query unanswered; it keeps its work, accepted requests wait, and no work starts on it until it answers', action: 'Check the engine if this repeats or 1410 does not follow.',
	},
	engineAnswersAgain: {
		number: 1410, level: 'info', text: 'The engine answers again after a silence', action: noAction,
	},
	attemptStalled: {
		number: 1411, level: 'warn', text: 'The stream of an attempt is silent; the attempt goes on until it answers or another endpoint has taken it over', action: 'Check the engine if this repeats; search the entry for 1303 with its silentMs.',
	},
	leaderElected: {
		number: 1501, level: 'info', text: 'This controller is now the leader', action: noAction,
	},
	leadLost: {
		number: 1502, level: 'warn', text: 'This controller is no longer the leader', action: 'Check the other controllers if this repeats.',
	},
	changeStep: {
		number: 1503, level: 'info', text: 'A planned change reached a step', action: noAction,
	},
	changeFailed: {
		number: 1504, level: 'error', text: 'A planned change failed', action: 'Read the message; the endpoint is in service again.',
	},
	diskFault: {
		number: 1505, level: 'error', text: 'The log on the disk of this instance cannot be read or written', action: 'Free space or replace the disk.',
	},
	endpointForgotten: {
		number: 1506, level: 'info', text: 'An endpoint was removed because it had not been seen for a long time', action: noAction,
	},
	roleDecision: {
		number: 1601, level: 'info', text: 'The role planner made a decision', action: noAction,
	},
	edgeStarted: {
		number: 1701, level: 'info', text: 'The edge is listening; it becomes ready once the core has confirmed the routes', action: noAction,
	},
	edgeStopping: {
		number: 1702, level: 'info', text: 'The edge is stopping; open requests continue', action: noAction,
	},
	edgeStopped: {
		number: 1703, level: 'info', text: 'The edge has stopped', action: 'Check the affected requests if openRequests is above 0.',
	},
	settingsReloaded: {
		number: 1704, level: 'info', text: 'The settings were reloaded', action: noAction,
	},
	settingsRefused: {
		number: 1705, level: 'error', text: 'The settings are invalid; the previous ones stay in force', action: 'Correct the setting that the message names.',
	},
	seedsIgnored: {
		number: 1706, level: 'warn', text: 'Seeds of the settings are not IPv4 addresses with a port and are not used', action: 'Correct them in the settings file.',
	},
	memberLearned: {
		number: 1711, level: 'info', text: 'Another instance was discovered', action: noAction,
	},
	memberReached: {
		number: 1712, level: 'info', text: 'A link to another instance opened', action: noAction,
	},
	memberLost: {
		number: 1713, level: 'warn', text: 'The link to another instance closed', action: 'Check the other instance and the network if this repeats.',
	},
	memberForgotten: {
		number: 1714, level: 'info', text: 'An instance was removed from the members because it had been unreachable for too long', action: noAction,
	},
	coreFounded: {
		number: 1721, level: 'info', text: 'This instance bootstrapped the replicated configuration', action: noAction,
	},
	coreMemberChanged: {
		number: 1722, level: 'info', text: 'The members of the core changed', action: noAction,
	},
	coreMemberRefused: {
		number: 1723, level: 'warn', text: 'A change of the core members is not possible now and will be retried', action: 'Check that a majority of the core is running if this repeats.',
	},
	leaderFollowed: {
		number: 1724, level: 'info', text: 'This instance follows a new leader of the core', action: noAction,
	},
	coreMembershipLost: {
		number: 1725, level: 'warn', text: 'The leader of the core does not count this member as a voter, although its own log does; it joins again', action: 'Check for 1722 at the leader. If 1726 does not follow, check that a majority of the core is running.',
	},
	coreMembershipRestored: {
		number: 1726, level: 'info', text: 'This member of the core is a voter again', action: noAction,
	},
	coreWithoutLeader: {
		number: 1727, level: 'warn', text: 'This voter of the core has heard no leader for seconds; votes has the answers to its newest request for votes', action: 'Start the members with no-answer. A member with lost-disk counts again once a leader has taken it back.',
	},
	configurationUnusable: {
		number: 1715, level: 'error', text: 'A stored configuration can\'t be used by this version; the one before stays in force', action: 'Put a configuration that corrects the field that the message names.',
	},
	configurationPut: {
		number: 1731, level: 'info', text: 'A request to change the route configuration was answered', action: noAction,
	},
	configurationRefused: {
		number: 1732, level: 'warn', text: 'A route configuration is invalid', action: 'Correct the mistakes that the event lists.',
	},
	configurationInstalled: {
		number: 1733, level: 'info', text: 'A route configuration is in force at this instance', action: noAction,
	},
	serverReported: {
		number: 1741, level: 'info', text: 'A server is new or its state changed', action: noAction,
	},
	serverLeft: {
		number: 1742, level: 'info', text: 'A server left', action: noAction,
	},
	reportRefused: {
		number: 1743, level: 'warn', text: 'A report from a server is invalid', action: 'Check the sender of the report; the reason says what is wrong.',
	},
	spreadIncomplete: {
		number: 1744, level: 'warn', text: 'Not every instance has confirmed that a server leaves', action: 'Check the members that were lost.',
	},
	relayChosen: {
		number: 1745, level: 'info', text: 'Load is shared through another relay', action: 'Check the former relay if this repeats.',
	},
	stageOrdered: {
		number: 1746, level: 'info', text: 'A server was ordered to run the prefill or the decode stage', action: 'For conflict or overtaken, check whether another system sends orders too.',
	},
	serverLeaving: {
		number: 1747, level: 'info', text: 'A server said in an answer that it leaves; it gets no new requests', action: noAction,
	},
	serverPaused: {
		number: 1748, level: 'info', text: 'A server rejected a request and wants no others of this instance for a while', action: 'Add servers if this repeats.',
	},
	serverLimited: {
		number: 1749, level: 'info', text: 'A server named another limit for the requests of all instances together; without perSecond, it names none any more', action: 'Add servers if this repeats.',
	},
	serverLimitInvalid: {
		number: 1750, level: 'warn', text: 'A server named a limit that is no decimal number; it is ignored', action: 'Check the server.',
	},
	forwardAnswered: {
		number: 1751, level: 'info', text: 'A request was answered (sampled)', action: noAction,
	},
	forwardRefused: {
		number: 1752, level: 'info', text: 'A request was refused and was not run; grounds lists on whose word, for each call to a server, and is empty if there was none', action: 'Read the reason; add servers if the queue was too long.',
	},
	forwardFailed: {
		number: 1753, level: 'warn', text: 'A request ended without a complete answer', action: 'Search the failed attempts for its id.',
	},
	turnedAway: {
		number: 1759, level: 'info', text: 'A request was not run; the reason says why', action: 'For no-route, check the routes in force; for not-ready, check the core.',
	},
	callerLeft: {
		number: 1760, level: 'info', text: 'A caller disconnected before its answer was complete', action: 'Compare the elapsed time with the deadlines of the callers if this repeats.',
	},
	attemptFailed: {
		number: 1754, level: 'warn', text: 'An attempt at a server failed', action: 'Check the server if this repeats.',
	},
	readFailed: {
		number: 1755, level: 'warn', text: 'A server did not complete the prefill of a prompt', action: 'Check the server if this repeats.',
	},
	streamMoved: {
		number: 1758, level: 'warn', text: 'A stream was cut; mayGoOn says whether it continues at the server with a copy of its KV cache', action: 'Check the server that was lost.',
	},
	serverSilent: {
		number: 1763, level: 'warn', text: 'A server sends nothing where more of an answer was due; the request stays there until another server delivers', action: 'Check the server if this repeats.',
	},
	requestTakenOver: {
		number: 1764, level: 'info', text: 'Another server delivers the answer instead of a silent one', action: 'Check the silent server if this repeats.',
	},
	retryDenied: {
		number: 1771, level: 'warn', text: 'A call to a server was not made because the retry budget of its service is used up', action: 'Search the failed attempts for its id; check the servers that reject or break requests.',
	},
	retryBudgetLow: {
		number: 1772, level: 'warn', text: 'Most of the retry budget of a service is used up (at most one line per window)', action: 'Check the servers that reject or break requests.',
	},
	streamTakenUp: {
		number: 1773, level: 'info', text: 'A caller takes up a stream; version is the one at which it goes on, and without it the request is refused, for the reason that ground gives', action: 'If no-record or ambiguous repeats, read the section on versions of servers.',
	},
	requestOverrun: {
		number: 1774, level: 'error', text: 'The work on a request did not end at its deadline; its attempts were cancelled and its response was ended', action: 'Report it with the events of the request and a state dump: this is a bug.',
	},
	slowReaderEnded: {
		number: 1775, level: 'warn', text: 'The connection of a caller was reset because it had not read its answer some time after its deadline; unreadBytes is what was held for it', action: 'Check the caller, or its network, if this repeats.',
	},
	bytesHeldUp: {
		number: 1776, level: 'warn', text: 'A part of the memory for what is held for others is full, so that others wait or are refused (at most one line in ten seconds); holder is the address that holds most', action: 'Read the section on full memory.',
	},
	poisonRefused: {
		number: 1756, level: 'warn', text: 'A request was refused because it, or a part of its prompt, crashed several servers; trait says which', action: 'Search the crashes of the trait in 1767, and check what it is.',
	},
	crashSuspected: {
		number: 1757, level: 'warn', text: 'A server crashed while it ran a request; parts lists the shared parts of its prompt', action: 'Check the server and, if this repeats, the request.',
	},
	crashProbeFailed: {
		number: 1778, level: 'error', text: 'The check whether a server has crashed threw an error; the reports of the server tell instead', action: 'Report it with the stack.',
	},
	crashCauseFound: {
		number: 1767, level: 'warn', text: 'A request or a part of prompts is held to be the cause of several crashes; it is refused from now on', action: 'Check the trait and the servers of the crashes; lift the ban if the servers were at fault.',
	},
	crashCauseTried: {
		number: 1768, level: 'info', text: 'One request with a refused trait is tried', action: noAction,
	},
	crashCauseCleared: {
		number: 1769, level: 'info', text: 'A trait is no longer refused: it was in a whole answer, or another one explains the crashes', action: noAction,
	},
	foreignAnswer: {
		number: 1761, level: 'warn', text: 'An answer of a server does not prove to be that of the request whose answer was due: it bears another id or none, or its head is joined from two answers', action: 'Check the server if exchanges is 0; otherwise it answered an earlier request twice.',
	},
	answerEndedByConnection: {
		number: 1762, level: 'info', text: 'A request was answered with neither a length nor chunks; the end of the connection ended the answer', action: 'Check the server if its answers usually have a length or chunks.',
	},
	closeCut: {
		number: 1777, level: 'info', text: 'A connection was closed before its caller had closed its side, since the time, the number of such connections or the stop did not allow more; the caller may have lost the end of an answer', action: 'Nothing if discardedBytes and unsentBytes are 0 and no caller misses an answer; otherwise check why the caller does not close.',
	},
	requestDropped: {
		number: 1766, level: 'warn', text: 'This side ended the connection of a request that it had read and not answered completely; the reason says why', action: 'For cut, search the failed attempts for its id; report any other reason.',
	},
	servingLeaseLost: {
		number: 1780, level: 'warn', text: 'This instance has no lease any more: it refuses requests with keys until the leader of the core has confirmed its configuration again', action: 'Check the links between this instance and the members of the core, and whether the core has a leader.',
	},
	servingLeaseHeld: {
		number: 1784, level: 'info', text: 'This instance holds a lease and serves requests with keys', action: noAction,
	},
	linkRefused: {
		number: 1781, level: 'warn', text: 'A connection of another instance was closed because of what it sent or did not read; without an instance, it had not proved the key', action: 'Check who connects from the address; the reason says what was wrong.',
	},
	peerMessageUnusable: {
		number: 1783, level: 'warn', text: 'Another instance has sent a message, or an element of one, that can\'t be used; the rest of it holds', action: 'Check the version of the instance and who reports to it; the reason names the field.',
	},
	serversUneven: {
		number: 1790, level: 'info', text: 'The servers of a service, or of one stage of it, have proved to be uneven: some are slower than the others or have slow phases. Requests are placed by expected work and speed', action: noAction,
	},
	serversEven: {
		number: 1791, level: 'info', text: 'The servers of a service have not proved to be uneven for a minute; placement follows their load again', action: noAction,
	},
	controlRefused: {
		number: 1782, level: 'warn', text: 'A control call was refused, or its connection closed, so that calls of others have room; the reason says why', action: 'Check who calls from the address; a caller that got 503 calls again.',
	},
	dutyHeld: {
		number: 1785, level: 'info', text: 'This instance leads the core and makes its first call to the infrastructure; term is the fencing token', action: noAction,
	},
	dutyCallFailed: {
		number: 1786, level: 'warn', text: 'A call to the infrastructure was not accepted and is repeated (at most one line in five seconds)', action: 'Check the infrastructure: the outcome and the status say what it answered; unanswered means that no whole answer came in time.',
	},
	dutyOvertaken: {
		number: 1787, level: 'error', text: 'The infrastructure has seen a higher fencing token; this instance makes no further calls under its term', action: 'Check what else calls the infrastructure under this system\'s name; a new election of the core gives a higher term.',
	},
	usageWindowsDropped: {
		number: 1788, level: 'error', text: 'The usage of windows is not reported: they were not decided within a minute of their end, or the infrastructure did not accept them for an hour', action: 'Check for how long the core had no leader (1502, 1724), or the infrastructure (1786).',
	},
	usageDecided: {
		number: 1789, level: 'info', text: 'The usage of a window is decided; missing lists the instances whose counts of its end are not in it', action: 'Check the links of the instances in missing, if they repeat.',
	},
	readySetLeft: {
		number: 1792, level: 'info', text: 'The stronger instances of the zone carry its load, so this one reports not ready; it answers what it gets', action: 'Nothing; use --capacity-readiness off if it should stay ready.',
	},
	readySetEntered: {
		number: 1793, level: 'info', text: 'The zone needs this instance, which reports ready again', action: noAction,
	},
} as const satisfies Record<string, EventDefinition>;

export type EventName = keyof typeof eventCatalogue;
