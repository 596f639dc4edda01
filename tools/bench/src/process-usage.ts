/** Reads the CPU time and the resident memory of a process from `/proc`. */
import {readFile} from 'node:fs/promises';

/** Clock ticks per second (`USER_HZ`), the unit of the CPU times in `/proc/PID/stat`. */
const ticksPerSecond = 100;
const bytesPerPage = 4096;

export type ProcessUsage = {
	cpuSeconds: number;
	residentBytes: number;
};

export async function readUsage(pid: number): Promise<ProcessUsage> {
	const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	const memory = await readFile(`/proc/${pid}/statm`, 'utf8');
	return {cpuSeconds: (Number(fields[11]) + Number(fields[12])) / ticksPerSecond, residentBytes: Number(memory.split(' ')[1]) * bytesPerPage};
}
