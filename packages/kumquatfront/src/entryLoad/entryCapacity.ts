/**
 * Capacity of an entry as its settings state it, and the form in which it is sent to control. It serves fleets in which
 * some entries have several times the processor and link capacity of others.
 */

/** Limits of an entry's VM; a limit that the deployment does not state is absent. */
export interface EntryCapacity {
  readonly cores?: number;
  readonly memoryMegabytes?: number;
  /** Maximum number of open file descriptors. */
  readonly descriptors?: number;
  readonly linkMegabitsPerSecond?: number;
}

/** Bounds of a strength: a wrong setting must neither draw all callers to one entry nor take all from it. */
const MINIMUM_STRENGTH = 0.1;
const MAXIMUM_STRENGTH = 10;

/** Capacity in a status message: cores, megabytes, descriptors and megabits per second; null where none is stated. */
export type CapacityFigures = readonly (number | null)[];

function rounded(value: number | undefined): number | null {
  return value === undefined ? null : Number(value.toPrecision(3));
}

/**
 * Encodes a capacity for a status message, with three significant digits.
 *
 * @param capacity - the stated capacity
 * @returns the figures, or undefined if no limit is stated
 * @example
 * ```ts
 * entryCapacity.encode({ cores: 0.243, linkMegabitsPerSecond: 5.25 }); // [0.243, null, null, 5.25]
 * ```
 */
export function encode(capacity: EntryCapacity): CapacityFigures | undefined {
  const { cores, memoryMegabytes, descriptors, linkMegabitsPerSecond } = capacity;
  const figures = [cores, memoryMegabytes, descriptors, linkMegabitsPerSecond].map(rounded);
  return figures.every((figure) => figure === null) ? undefined : figures;
}

function positive(value: number | null | undefined): number | undefined {
  return typeof value === 'number' && Number.isFinite(value) && value > 0 ? value : undefined;
}

function median(values: readonly number[]): number {
  return [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 1;
}

/**
 * Computes the strengths of entries: processor or link capacity, whichever is less, as a multiple of the median entry.
 * Memory and descriptors limit how much is open at once, not the rate, and count as utilization only.
 *
 * @param capacities - stated capacity of each entry by name; undefined for an entry that states none
 * @returns the strength by name; from 0.1 to 10, and 1 for an entry that states neither figure
 * @example
 * ```ts
 * entryCapacity.strengths(new Map([['e1', [0.243, 186, 2212, 5.25]], ['e2', undefined]]));
 * ```
 */
export function strengths(
  capacities: ReadonlyMap<string, CapacityFigures | undefined>,
): ReadonlyMap<string, number> {
  const rateFigures = [...capacities].map(([name, figures]) => ({
    name,
    cores: positive(figures?.[0]),
    link: positive(figures?.[3]),
  }));
  const medianCores = median(rateFigures.flatMap(({ cores }) => cores ?? []));
  const medianLink = median(rateFigures.flatMap(({ link }) => link ?? []));
  return new Map(
    rateFigures.map(({ name, cores, link }) => {
      const strength = Math.min(
        cores === undefined ? Number.POSITIVE_INFINITY : cores / medianCores,
        link === undefined ? Number.POSITIVE_INFINITY : link / medianLink,
      );
      const bounded = Math.min(MAXIMUM_STRENGTH, Math.max(MINIMUM_STRENGTH, strength));
      return [name, Number.isFinite(strength) ? bounded : 1];
    }),
  );
}
