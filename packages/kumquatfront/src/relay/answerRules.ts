/**
 * What an upstream's answer means for the request that it answers.
 */
import type * as types from './types.js';

/** `retry`: not run, so it may go elsewhere; `garbled`: nobody knows what ran; `answer`: hand it over. */
export type Verdict = 'notRun' | 'garbled' | 'answer';

/** Statuses that promise callers that nothing ran; an upstream's own does not, unless it says so besides. */
const PROMISING = new Set([408, 421, 429, 503]);

const MISDIRECTED = 421;

/**
 * Judges the head of an answer.
 *
 * A promising status without the upstream's own word for it must not reach the caller of a call that may not
 * be repeated: the caller would send it again although it may have run.
 *
 * @param head - the answer's head
 * @param repeatable - true where a second run does no harm
 * @returns the verdict
 * @example
 * ```ts
 * if (answerRules.judge(head, false) === 'notRun') tryAnother();
 * ```
 */
export function judge(head: types.UpstreamHead, repeatable: boolean): Verdict {
  if (head.notRun || head.status === MISDIRECTED) {
    return 'notRun';
  }
  if (!head.belongs || head.status < 200) {
    return 'garbled';
  }
  if (PROMISING.has(head.status) && !repeatable) {
    return 'garbled';
  }
  const success = head.status < 300;
  return success && !head.signed ? 'garbled' : 'answer';
}
