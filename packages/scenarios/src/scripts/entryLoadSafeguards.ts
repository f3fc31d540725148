/**
 * Safeguards of the capacity and utilization of entries.
 */
import type * as types from './types.js';

/** Safeguards, each with the spec that must fail without it. */
export const entryLoadSafeguards: readonly types.Safeguard[] = [
  {
    name: 'equal entries with low utilization are drawn uniformly',
    file: 'trafficControl/entryDirectory.js',
    find: 'if (this.weights.areNeeded(usable.map(({ name }) => name))) {',
    replace: 'if (true) {',
    scenario: 'spec:entryLoad/entryWeights',
  },
  {
    name: 'entries are drawn in proportion to their stated capacity',
    file: 'entryLoad/entryCapacity.js',
    find: 'return [name, Number.isFinite(strength) ? bounded : 1];',
    replace: 'return [name, 1];',
    scenario: 'spec:entryLoad/entryWeights',
  },
  {
    name: 'a weight changes by a bounded factor',
    file: 'entryLoad/entryWeights.js',
    find: 'Math.min(MAXIMUM_REDUCTION, ratio)',
    replace: 'ratio ** 8',
    scenario: 'spec:entryLoad/entryWeights',
  },
  {
    name: 'the weight of an entry does not fall to zero',
    file: 'entryLoad/entryWeights.js',
    find: 'Math.max(MINIMUM_FACTOR, entry.factor / reduction ** intervals)',
    replace: '(entry.factor / reduction ** intervals)',
    scenario: 'spec:entryLoad/entryWeights',
  },
  {
    name: 'the weight of an entry falls with the age of its status',
    file: 'entryLoad/entryWeights.js',
    find: 'entry.factor * freshness',
    replace: 'entry.factor',
    scenario: 'spec:entryLoad/entryWeights',
  },
  {
    name: 'callers are sent to other data centres when their own is short of capacity',
    file: 'trafficControl/entryDirectory.js',
    find: 'localShare: this.demand.localShare(dataCentre, capacities, pressure, now)',
    replace: 'localShare: 1',
    scenario: 'spec:entryLoad/fleet',
  },
  {
    name: 'the connection of a stream is not closed near a limit',
    file: 'adapters/trafficHttp.js',
    find: 'if (isComplete && outgoing.shouldKeepAlive',
    replace: 'if (outgoing.shouldKeepAlive',
    scenario: 'spec:adapters/trafficHttp',
  },
  {
    name: 'a caller that leaves too much unread is disconnected',
    file: 'adapters/trafficHttp.js',
    find: 'reader.write(send);',
    replace: 'send();',
    scenario: 'spec:adapters/trafficHttp',
  },
  {
    name: 'unread bytes of all callers are bounded',
    file: 'entryLoad/entryLoad.js',
    find: 'this.readers.check();',
    replace: '',
    scenario: 'spec:entryLoad/entryLoad',
  },
  {
    name: 'an entry that runs out of memory refuses new generations',
    file: 'relay/trafficRelay.js',
    find: 'if (refusal !== undefined) {',
    replace: 'if (false) {',
    scenario: 'spec:trafficEntry/entryLoadStatus',
  },
  {
    name: 'generations are not refused for memory that no longer grows',
    file: 'entryLoad/overloadResponse.js',
    find: 'return this.growthToRefuse.hasGrownWithin(REFUSE_AFTER_GROWTH, now);',
    replace: 'return this.growthToRefuse.maximum > 0;',
    scenario: 'spec:entryLoad/entryLoad',
  },
  {
    name: 'the capacity of a data centre under pressure is bounded from below',
    file: 'trafficControl/entryDirectory.js',
    find: 'Math.max(sum, MINIMUM_CAPACITY_SHARE * (strengthSums.get(place) ?? 0))',
    replace: 'sum',
    scenario: 'spec:entryLoad/entryWeights',
  },
  {
    name: 'a restarted process does not inherit the factor of its predecessor',
    file: 'entryLoad/entryWeights.js',
    find: 'readyFor < predecessor.readyFor ? undefined : predecessor',
    replace: 'false ? undefined : predecessor',
    scenario: 'spec:entryLoad/entryWeights',
  },
];
