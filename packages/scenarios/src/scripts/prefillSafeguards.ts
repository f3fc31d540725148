/**
 * Safeguards of prefill scheduling.
 */
import type * as types from './types.js';

const BURST = 'spec:prefill/prefillBurst';
const PLACEMENT = 'spec:prefill/prefillPlacement';

/** Safeguards, each with the spec that must fail without it. */
export const prefillSafeguards: readonly types.Safeguard[] = [
  {
    name: 'an urgent generation that cannot be in time is refused at once',
    file: 'prefill/prefillAdmission.js',
    find: "return isPrefillCause && requestClass === 'urgent' ? 'refuse' : 'wait';",
    replace: "return 'wait';",
    scenario: 'spec:prefill/prefillAdmission',
  },
  {
    name: 'placement takes into account the prompts that wait on each engine',
    file: 'prefill/prefillForecaster.js',
    find: 'wait: this.backlog.waitOf(engine, now)',
    replace: 'wait: 0',
    scenario: PLACEMENT,
  },
  {
    name: 'large prompts do not starve',
    file: 'prefill/sizeFairness.js',
    find: 'return isStarved ? allowance : 0;',
    replace: 'return 0;',
    scenario: BURST,
  },
  {
    name: 'a first event corrects the forecast of the prompts after it',
    file: 'prefill/prefillBacklog.js',
    find: 'Math.max(now - REPORT_DELAY, beganAt)',
    replace: 'beganAt',
    scenario: 'spec:prefill/prefillBacklog',
  },
  {
    name: 'a prompt that never reports a first event expires',
    file: 'prefill/prefillBacklog.js',
    find: '> OVERDUE_LIMIT',
    replace: '> Infinity',
    scenario: 'spec:prefill/prefillBacklog',
  },
  {
    name: 'reservations hold at most a tenth of the prefill capacity',
    file: 'prefill/retryReservations.js',
    find: 'this.reservedUntil.set(service, start + duration);',
    replace: '',
    scenario: 'spec:prefill/retryReservations',
  },
  {
    name: 'headroom for urgent work is released when none arrives',
    file: 'prefill/urgentDemand.js',
    find: 'arrivals.splice(0, firstRecent < 0 ? arrivals.length : firstRecent);',
    replace: '',
    scenario: 'spec:prefill/urgentDemand',
  },
  {
    name: 'patient prompts leave headroom for urgent ones',
    file: 'prefill/prefillAdmission.js',
    find: '(wait + work * sizeFactor <= patientLimit || wait <= IDLE_WAIT)',
    replace: 'true',
    scenario: PLACEMENT,
  },
  {
    name: 'a patient request waits for headroom as long as its objective allows',
    file: 'placement/coordinator.js',
    find: 'this.isScheduled && this.scheduler.mayWaitLonger(queued.request, now - queued.since)',
    replace: 'false',
    scenario: PLACEMENT,
  },
  {
    name: 'a stream on a busy engine is not sent twice',
    file: 'relay/idleTimeout.js',
    find: 'objective * FIRST_EVENT_OBJECTIVE_SHARE, forecastTimeout',
    replace: 'objective * FIRST_EVENT_OBJECTIVE_SHARE',
    scenario: 'spec:relay/idleTimeout',
  },
];
