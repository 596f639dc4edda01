/** Reads what a process has used from `/proc`. */
import {readFile, readdir} from 'node:fs/promises';

/** Clock ticks per second (`USER_HZ`), the unit of the CPU times in `/proc/PID/stat`. */
const ticksPerSecond = 100;
const bytesPerPage = 4096;
const bytesPerKib = 1024;

export type ProcessUsage = {
	cpuSeconds: number;
	residentBytes: number;
};

export type ProcessActivity = {
	cpuMs: number;
	/** Part of it on other threads than the main one: compiler, garbage collector, file system. */
	helperMs: number;
	/** Times that a thread of the process has waited, and so was woken. */
	wakeups: number;
	/** System calls that read or write, and their bytes: sockets, files and pipes. */
	systemCalls: number;
	readBytes: number;
	writtenBytes: number;
	/** Most memory that was resident so far. */
	peakBytes: number;
};

export async function readUsage(pid: number): Promise<ProcessUsage> {
	const memory = await readFile(`/proc/${pid}/statm`, 'utf8');
	return {cpuSeconds: await readCpuSeconds(pid), residentBytes: Number(memory.split(' ')[1]) * bytesPerPage};
}

export async function readActivity(pid: number): Promise<ProcessActivity> {
	const io = await readFile(`/proc/${pid}/io`, 'utf8');
	const threads = await readdir(`/proc/${pid}/task`);
	const statuses = await Promise.all(threads.map(async thread => readFile(`/proc/${pid}/task/${thread}/status`, 'utf8')));
	const cpuSeconds = await readCpuSeconds(pid);
	const readField = (text: string, name: string) => Number(new RegExp(`^${name}:\\s+(\\d+)`, 'm').exec(text)?.[1] ?? 0);
	return {
		cpuMs: cpuSeconds * 1000,
		helperMs: (cpuSeconds - await readCpuSeconds(`${pid}/task/${pid}`)) * 1000,
		wakeups: statuses.reduce((sum, status) => sum + readField(status, 'voluntary_ctxt_switches'), 0),
		systemCalls: readField(io, 'syscr') + readField(io, 'syscw'),
		readBytes: readField(io, 'rchar'),
		writtenBytes: readField(io, 'wchar'),
		peakBytes: readField(statuses[0]!, 'VmHWM') * bytesPerKib,
	};
}

/** Reads the processor time of a process, or of a thread at `PID/task/TID`. */
async function readCpuSeconds(entry: number | string): Promise<number> {
	const stat = await readFile(`/proc/${entry}/stat`, 'utf8');
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond;
}
