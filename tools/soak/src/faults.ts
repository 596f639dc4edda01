/** Names of the faults that a run can enable. */
import {serverFaultRates} from './server-faults.js';

export const allFaults: readonly string[] = [...Object.keys(serverFaultRates), 'stutter', 'idle-close'];
