/**
 * Safeguards of fragile upstreams, which crash when they have to reject more than a few requests in a second.
 */
import type * as types from './types.js';

const SYSTEM = 'spec:callSlots/fragileUpstreams';
const LEDGER = 'spec:callSlots/slotLedger';

/** Safeguards, each with the spec that must fail without it. */
export const callSlotsSafeguards: readonly types.Safeguard[] = [
  {
    name: 'calls to a fragile service take a slot from the coordinator',
    file: 'callSlots/slotClient.js',
    find: 'return this.services.maximumRejectionsOf(service, this.options.timers.now()) !== undefined;',
    replace: 'return false;',
    scenario: SYSTEM,
  },
  {
    name: 'no more slots are granted than an upstream has',
    file: 'callSlots/slotLedger.js',
    find: 'if (held < capacity && (best === undefined || used < best.used)) {',
    replace: 'if (best === undefined || used < best.used) {',
    scenario: SYSTEM,
  },
  {
    name: 'a coordinator grants few slots while it does not know those of its predecessor',
    file: 'callSlots/slotLedger.js',
    find: 'now - this.activeSince >= UNKNOWN_CALLS_TIME',
    replace: 'true',
    scenario: LEDGER,
  },
  {
    name: 'an entry without a coordinator uses few slots of its own',
    file: 'callSlots/slotClient.js',
    find: '< this.ownSlots(instance)',
    replace: '< instance.slots',
    scenario: SYSTEM,
  },
  {
    name: 'a slot whose return is lost is free again when its call must be over',
    file: 'callSlots/slotLedger.js',
    find: 'if (now >= slot.until) {',
    replace: 'if (false) {',
    scenario: SYSTEM,
  },
  {
    name: 'a service is no longer fragile once its answers do not say so',
    file: 'callSlots/slotClient.js',
    find: 'maximumRejections ?? 0',
    replace: 'maximumRejections ?? 1',
    scenario: SYSTEM,
  },
  {
    name: 'an upstream that has rejected as much as it tolerates gets nothing for a second',
    file: 'callSlots/slotLedger.js',
    find: 'if (recent > 0 && recent >=',
    replace: 'if (false && recent >=',
    scenario: LEDGER,
  },
  {
    name: 'a call waits for a slot that is about to be free',
    file: 'callSlots/slotLedger.js',
    find: 'request.patience > 0 && ahead < capacity',
    replace: 'false',
    scenario: LEDGER,
  },
];
