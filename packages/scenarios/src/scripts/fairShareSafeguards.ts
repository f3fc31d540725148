/**
 * Safeguards of the shares of client accounts.
 */
import type * as types from './types.js';

/** Safeguards, each with the scenario or spec that must fail without it. */
export const fairShareSafeguards: readonly types.Safeguard[] = [
  {
    name: 'the account furthest below its share goes first',
    file: 'fairShare/shareOrder.js',
    find: 'return left.key - right.key || ',
    replace: 'return ',
    scenario: 'spec:fairShare/coordinatorShares',
  },
  {
    name: 'the debt of an account is bounded',
    file: 'fairShare/accountShares.js',
    find: 'known.average = Math.min(known.average, maximum);',
    replace: '',
    scenario: 'spec:fairShare/accountShares',
  },
  {
    name: 'a new coordinator takes what accounts hold as their use',
    file: 'fairShare/accountShares.js',
    find: '(averagingTime > 0 ? known.held : heldNow) * (1 - kept)',
    replace: '(averagingTime > 0 ? known.held : 0) * (1 - kept)',
    scenario: 'spec:fairShare/accountShares',
  },
  {
    name: 'a grant counts as use before the next report',
    file: 'fairShare/accountShares.js',
    find: 'known.held += tokens;',
    replace: '',
    scenario: 'spec:fairShare/accountShares',
  },
  {
    name: 'a full queue refuses the account furthest above its share',
    file: 'fairShare/refusalOrder.js',
    find: 'if (key > selectedKey || (key === selectedKey && length > selectedCount)) {',
    replace: 'if (false) {',
    scenario: 'spec:fairShare/shareOrder',
  },
  {
    name: 'an engine is kept for a request that does not fit while its account is below its share',
    file: 'placement/placementQueue.js',
    find: 'if (competes && late === 0) {',
    replace: 'if (false) {',
    scenario: 'spec:fairShare/largeRequests',
  },
  {
    name: 'the engine that is kept changes only for one that is clearly earlier',
    file: 'fairShare/engineReservations.js',
    find: 'const PREFERENCE = 0.5;',
    replace: 'const PREFERENCE = 1;',
    scenario: 'spec:fairShare/largeRequests',
  },
  {
    name: 'shares decide only where the configuration states a weight',
    file: 'placement/coordinator.js',
    find: "return this.isEnabled('accountShares') && (this.options.sharesEnabled?.() ?? true);",
    replace: "return this.isEnabled('accountShares');",
    scenario: 'spec:fairShare/sharesActivation',
  },
  {
    name: 'a control replica takes the weights from the configuration in force',
    file: 'traffic/routeTable.js',
    find: 'this.hasWeights = configuration.accounts?.some(({ weight }) => weight !== undefined) ?? false;',
    replace: 'this.hasWeights = true;',
    scenario: 'spec:fairShare/sharesActivation',
  },
];
