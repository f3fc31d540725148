/**
 * Decides on one queued generation: place it on an engine, wait, or refuse it now. Addresses bursts in which prompts
 * wait on the engines, where each prompt whose answer comes late delays all prompts behind it.
 */
import type * as ports from '../kernel/ports.js';

/** Forecast for one prompt on one engine. */
export interface PrefillForecast {
  /** Time until the engine begins the prompt. */
  readonly wait: ports.Milliseconds;
  /** Time that the engine takes for it. */
  readonly work: ports.Milliseconds;
}

/** Whether an engine with this forecast may receive the prompt. */
export type AcceptsForecast = (forecast: PrefillForecast) => boolean;

/** Class of a request: late ones cannot meet their objective; reserved ones return at their retry time. */
export type RequestClass = 'urgent' | 'patient' | 'late' | 'reserved' | 'unattainable';

/** Forecast wait below which an engine counts as idle: about one decoding step. */
const IDLE_WAIT: ports.Milliseconds = 20;

/** Bounds that a forecast must meet. */
export interface AdmissionLimits {
  readonly requestClass: RequestClass;
  /** Remaining time of the objective, without the time to the first event that is not prefill. */
  readonly timeLeft: ports.Milliseconds;
  /** Latest end of a patient prompt that leaves headroom for urgent ones. */
  readonly patientLimit: ports.Milliseconds;
  /** Factor on the time of the prompt, above 1 while larger prompts are served too rarely. */
  readonly sizeFactor: number;
}

/**
 * Returns the condition that an engine must meet to receive a prompt.
 *
 * @example
 * ```ts
 * const accepts = prefillAdmission.conditionOf({ requestClass: 'urgent', timeLeft: 900, patientLimit: 700, sizeFactor: 1 });
 * accepts({ wait: 500, work: 330 }); // true
 * ```
 */
export function conditionOf(limits: AdmissionLimits): AcceptsForecast {
  const { requestClass, timeLeft, patientLimit, sizeFactor } = limits;
  switch (requestClass) {
    case 'urgent':
      return ({ wait, work }) =>
        wait + work * sizeFactor <= timeLeft || (wait <= IDLE_WAIT && work <= timeLeft);
    case 'patient':
      // A prompt larger than the headroom limit is accepted by an idle engine; it would otherwise never be placed.
      return ({ wait, work }) =>
        wait + work <= timeLeft && (wait + work * sizeFactor <= patientLimit || wait <= IDLE_WAIT);
    case 'reserved':
      return ({ wait, work }) => wait <= IDLE_WAIT || wait + work <= patientLimit;
    case 'late':
      return ({ wait }) => wait <= IDLE_WAIT;
    case 'unattainable':
      return () => true;
  }
}

/** Decision on a request for which no engine meets the condition. */
export type Decision = 'wait' | 'refuse';

/**
 * Decides whether a request that no engine accepts may wait. The forecast wait of an engine decreases no faster than
 * the remaining time, so waiting only helps where the headroom or memory is the cause.
 *
 * @param isPrefillCause - true if an engine would accept the request but for its prefill forecast
 * @example
 * ```ts
 * prefillAdmission.withoutEngine('urgent', true); // 'refuse'
 * ```
 */
export function withoutEngine(requestClass: RequestClass, isPrefillCause: boolean): Decision {
  return isPrefillCause && requestClass === 'urgent' ? 'refuse' : 'wait';
}
