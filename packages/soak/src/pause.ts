/**
 * Waits on the real clock: the programs of a soak run on it.
 *
 * @param milliseconds - how long
 * @returns settles then
 * @example
 * ```ts
 * await pause.of(300);
 * ```
 */
export function of(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
