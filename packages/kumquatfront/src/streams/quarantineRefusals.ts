/**
 * What callers of the product's own interface are told where upstreams end under their request. No time to come back is
 * named: whoever comes back with the same content is turned away again.
 */
import * as quarantine from '../quarantine/quarantine.js';
import type * as types from './types.js';

/** Client libraries send again after a 503 by themselves; after this status they do not. */
const STATUS = 422;

const MESSAGE = `The request is not sent on: ${quarantine.QUARANTINED}.`;

/** For a request that has run nowhere. */
export const notRun: types.Refusal = {
  kind: 'notRun',
  status: STATUS,
  message: MESSAGE,
  remedy: 'Change the request, or ask the operators what it does to their upstreams.',
};

/** For a generation under which an engine has been lost. */
export const interrupted: types.Refusal = { ...notRun, kind: 'interrupted', status: 502 };

/** For a call that was sent and may have run. */
export const outcomeUnknown: types.Refusal = { ...notRun, kind: 'outcomeUnknown', status: 409 };
