/**
 * What a process of this machine has cost so far, read from the kernel's figures.
 */
import * as fs from 'node:fs';

const TICKS_PER_SECOND = 100;
const PAGE = 4_096;

/**
 * Processor time of a process so far.
 *
 * @param pid - the process
 * @returns seconds, in steps of a hundredth
 * @example
 * ```ts
 * const before = processCost.cpuSeconds(child.pid);
 * ```
 */
export function cpuSeconds(pid: number): number {
  const fields = fs.readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? [];
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND;
}

/**
 * Resident memory of a process.
 *
 * @param pid - the process
 * @returns megabytes
 * @example
 * ```ts
 * processCost.residentMegabytes(child.pid);
 * ```
 */
export function residentMegabytes(pid: number): number {
  const pages = Number(fs.readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[1]);
  return (pages * PAGE) / 1e6;
}
