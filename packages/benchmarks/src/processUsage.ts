/**
 * Processor time and resident memory of a process, read from `/proc`.
 */
import * as fs from 'node:fs';

const TICKS_PER_SECOND = 100;
const PAGE_SIZE = 4_096;

/**
 * Reads the processor time that a process has used.
 *
 * @param pid - process identifier
 * @returns seconds, with a resolution of 10 ms
 * @example
 * ```ts
 * const before = processUsage.cpuSeconds(child.pid);
 * ```
 */
export function cpuSeconds(pid: number): number {
  const fields = fs.readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? [];
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND;
}

/**
 * Reads the resident memory of a process.
 *
 * @param pid - process identifier
 * @returns megabytes
 * @example
 * ```ts
 * processUsage.residentMegabytes(child.pid);
 * ```
 */
export function residentMegabytes(pid: number): number {
  const pages = Number(fs.readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[1]);
  return (pages * PAGE_SIZE) / 1e6;
}
