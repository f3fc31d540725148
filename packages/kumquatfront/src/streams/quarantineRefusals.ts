/**
 * Refusals of requests whose content is quarantined because upstreams crashed while running it. They have no
 * `retryAfter`, since a retry with the same content is refused again.
 */
import * as quarantine from '../quarantine/quarantine.js';
import type * as types from './types.js';

/** Client libraries retry a 503 automatically, but not this status. */
const STATUS = 422;

const MESSAGE = `The request was not forwarded: ${quarantine.QUARANTINED_MESSAGE}.`;

/** For a request that no upstream has run. */
export const notRun: types.Refusal = {
  kind: 'notRun',
  status: STATUS,
  message: MESSAGE,
  remedy: 'Change the request, or ask the operators why its content is quarantined.',
};

/** For a generation whose engine was lost. */
export const interrupted: types.Refusal = { ...notRun, kind: 'interrupted', status: 502 };

/** For a call that was sent and may have run. */
export const outcomeUnknown: types.Refusal = { ...notRun, kind: 'outcomeUnknown', status: 409 };
