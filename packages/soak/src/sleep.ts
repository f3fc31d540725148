/**
 * Sleeps on the system clock, which the processes of a soak run use too.
 *
 * @param milliseconds - duration of the sleep
 * @returns a promise that resolves after the duration
 * @example
 * ```ts
 * await sleep.forMilliseconds(300);
 * ```
 */
export function forMilliseconds(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
