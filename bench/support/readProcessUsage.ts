/** Reads the CPU time used so far and the resident memory of a process from `/proc`. */
import type { readFileSync } from 'node:fs';

interface ProcessUsage {
  readonly cpuS: number;
  readonly rssKb: number;
}

const TICKS_PER_S = 100;
/** Indexes of `utime` and `stime` in `/proc/PID/stat`, counted from the first field after the command name. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

export default function readProcessUsage(readFile: typeof readFileSync, pid: number): ProcessUsage {
  const fields = readFile(`/proc/${pid}/stat`, 'utf8').split(') ')[1].split(' ');
  const cpuS =
    (Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD])) / TICKS_PER_S;
  const status = readFile(`/proc/${pid}/status`, 'utf8');
  return { cpuS, rssKb: Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) };
}
