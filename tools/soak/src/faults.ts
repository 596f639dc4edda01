/** Names of the faults that a run can enable. */
import {outsideFaults, type OutsideFault} from './fault-schedule.js';
import {crashingPartFault} from './crashing-part.js';
import {versionsFault} from './server-versions.js';
import {serverFaultRates} from './server-faults.js';
import {slowFaults} from './server-slowness.js';

export const allOutsideFaults: readonly OutsideFault[] = Object.values(outsideFaults);
export const allFaults: readonly string[] = [...Object.keys(serverFaultRates), 'stutter', 'unframed', 'idle-close', 'overload', 'limit', crashingPartFault, versionsFault, ...Object.values(slowFaults), ...allOutsideFaults];
