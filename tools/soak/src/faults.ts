/** Names of the faults that a run can enable. */
import {lateFaults, outsideFaults, type OutsideFault} from './fault-schedule.js';
import {pipelineFault, slowReaderFault} from './caller.js';
import {crashingPartFault} from './crashing-part.js';
import {foreignFaults} from './foreign-writer.js';
import {fewConnectionsFault} from './operator.js';
import {unbornFault} from './server-operations.js';
import {versionsFault} from './server-versions.js';
import {serverFaultRates} from './server-faults.js';
import {slowFaults} from './server-slowness.js';
import {workspaceFaults} from './workspaces.js';

export const allOutsideFaults: readonly OutsideFault[] = Object.values(outsideFaults);
export const allFaults: readonly string[] = [...Object.keys(serverFaultRates), 'stutter', 'unframed', 'idle-close', 'overload', 'limit', crashingPartFault, versionsFault, fewConnectionsFault, slowFaults.report, slowFaults.token, ...allOutsideFaults];
/**
 * Played only if they are listed: what they show is not mended yet (KNOWN-RED.txt), or each run of theirs has a test of its own.
 * `unborn` is no fault of the users' servers, which name their start in all that they say of themselves.
 */
export const listedFaults: readonly string[] = [foreignFaults.writer, foreignFaults.leave, pipelineFault, slowReaderFault, unbornFault, slowFaults.pause, ...Object.values(lateFaults), ...Object.values(workspaceFaults)];
