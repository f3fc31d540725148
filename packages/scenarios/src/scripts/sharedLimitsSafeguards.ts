/**
 * Safeguards of limits that all entries share.
 */
import type * as types from './types.js';

/** Safeguards, each with the scenario or spec that must fail without it. */
export const sharedLimitsSafeguards: readonly types.Safeguard[] = [
  {
    name: 'an entry without control has no share of a common limit after a time',
    file: 'sharedLimits/windowedShare.js',
    find: 'isNew || isOutOfContact',
    replace: 'isNew',
    scenario: 'spec:sharedLimits/windowedShare',
  },
  {
    name: 'a new process has no share of the retry budget for one window',
    file: 'sharedLimits/windowedShare.js',
    find: 'isNew || isOutOfContact',
    replace: 'isOutOfContact',
    scenario: 'spec:sharedLimits/windowedShare',
  },
  {
    name: 'an entry cut off from control divides the retry budget by the last known number of entries',
    file: 'sharedLimits/entryCountHistory.js',
    find: 'return this.maximum.entries;',
    replace: 'return Math.max(1, entries);',
    scenario: 'spec:relay/retryBudgetSharing',
  },
  {
    name: 'the number of entries that a minority of the replicas reports is not used',
    file: 'trafficControl/controlWatch.js',
    find: 'if (responding.length <= this.watched.size / 2) {',
    replace: 'if (false) {',
    scenario: 'spec:trafficControl/trafficControl',
  },
  {
    name: 'a holder of leases that starts waits until what a former one lent counts no more',
    file: 'sharedLimits/leaseLedger.js',
    find: 'if (now - since < leaseMessages.withDrift(',
    replace: 'if (now - since < 0 * leaseMessages.withDrift(',
    scenario: 'spec:sharedLimits/leases',
  },
  {
    name: 'what was spent of a lease counts for one window',
    file: 'sharedLimits/leaseLedger.js',
    find: 'until: now + leaseMessages.withDrift(limit.window)',
    replace: 'until: now',
    scenario: 'spec:sharedLimits/sharedLimits',
  },
  {
    name: 'a lease without a report counts as spent until one window after its expiry',
    file: 'sharedLimits/leaseLedger.js',
    find: 'limit.spent.push({ amount: borrower.lent, until });',
    replace: '',
    scenario: 'spec:sharedLimits/leases',
  },
  {
    name: 'a holder whose clock steps lends nothing until its former leases count no more',
    file: 'sharedLimits/leaseLedger.js',
    find: 'if (!mayLend() || hasJumped) {',
    replace: 'if (!mayLend()) {',
    scenario: 'spec:sharedLimits/sharedLimits',
  },
  {
    name: 'a request that a later one has overtaken is granted nothing',
    file: 'sharedLimits/leaseLedger.js',
    find: 'if (request.sequence <= borrower.sequence) {',
    replace: 'if (false) {',
    scenario: 'spec:sharedLimits/leases',
  },
  {
    name: 'the answer to an older request of a lease is ignored',
    file: 'sharedLimits/leaseClient.js',
    find: 'if (sequence === this.sequence) {',
    replace: 'if (true) {',
    scenario: 'spec:sharedLimits/leases',
  },
  {
    name: 'a lease ends by the clock of the entry, counted from its request',
    file: 'sharedLimits/leaseClient.js',
    find: 'limit.expiresAt = sentAt +',
    replace: 'limit.expiresAt = now +',
    scenario: 'spec:sharedLimits/leases',
  },
  {
    name: 'an entry does not use what it has offered',
    file: 'sharedLimits/leaseClient.js',
    find: 'return offered === 0',
    replace: 'return true',
    scenario: 'spec:sharedLimits/leases',
  },
  {
    name: 'a new process does not use what its former one may have offered',
    file: 'sharedLimits/leaseClient.js',
    find: 'return kept === 0 ? share : kept;',
    replace: 'return share;',
    scenario: 'spec:sharedLimits/leases',
  },
  {
    name: 'a holder keeps a margin for entries that round their shares',
    file: 'sharedLimits/leaseLedger.js',
    find: 'Math.max(0, reserve - margin)',
    replace: '0',
    scenario: 'spec:sharedLimits/leases',
  },
  {
    name: 'a share below one is used on average',
    file: 'relay/serviceRetryBudget.js',
    find: 'now - counts.refusedAt > this.settings.window',
    replace: 'false',
    scenario: 'spec:sharedLimits/sharedLimits',
  },
  {
    name: 'entries lend each other unused retries',
    file: 'trafficEntry/sharedRetryBudget.js',
    find: "('sharedLimits') ? createLeases(options) : undefined",
    replace: "('sharedLimits') ? undefined : undefined",
    scenario: 'spec:trafficEntry/borrowedRetries',
  },
];
