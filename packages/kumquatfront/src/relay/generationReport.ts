/**
 * Describes a running generation for reports to the coordinator.
 */
import type * as placementTypes from '../placement/types.js';
import type * as streamSegment from './streamSegment.js';

/**
 * Describes the run of a generation.
 *
 * @param segment - its open segment; undefined while it has no upstream
 * @param facts - its attributes; undefined if the stream does not run on engines
 * @param produced - number of output tokens delivered so far
 * @returns the state of the run; undefined while it has no upstream or does not run on engines
 * @example
 * ```ts
 * generationReport.describe(segment, attributes, 12)?.started; // true
 * ```
 */
export function describe(
  segment: streamSegment.StreamSegment | undefined,
  facts: placementTypes.GenerationAttributes | undefined,
  produced: number,
): placementTypes.RunningGeneration | undefined {
  if (segment === undefined || facts === undefined) {
    return undefined;
  }
  return {
    facts,
    instance: segment.instance.identity,
    produced,
    started: segment.eventCount > 0,
    ...(segment.copy !== undefined && { resumedFromCopy: true }),
    ...(segment.eventCount > 1 && { longestPause: Math.round(segment.longestPause) }),
  };
}
