/**
 * Safeguards of the choice of upstreams by pace.
 */
import type * as types from './types.js';

/** Safeguards, each with the scenario or spec that must fail without it. */
export const upstreamPaceSafeguards: readonly types.Safeguard[] = [
  {
    name: 'an upstream that is predicted to be slow is avoided',
    file: 'upstreamPace/upstreamPaces.js',
    find: 'return near;',
    replace: 'return candidates;',
    scenario: 'spec:upstreamPace/paceFleet',
  },
  {
    name: 'an upstream that is avoided is probed',
    file: 'upstreamPace/upstreamPaces.js',
    find: 'mayProbe && random.next() < PROBE_SHARE',
    replace: 'false',
    scenario: 'spec:upstreamPace/paceFleet',
  },
  {
    name: 'paces that differ by chance do not change the choice',
    file: 'upstreamPace/upstreamPaces.js',
    find: 'Math.max(EQUAL_FACTOR, 1 + SIGNIFICANT_ERRORS * error)',
    replace: '1',
    scenario: 'spec:upstreamPace/paceFleet',
  },
  {
    name: 'an upstream that was slow when it was last heard counts as slow for a time',
    file: 'upstreamPace/upstreamPaces.js',
    find: '? SUSPECTED_SLOWDOWN : 0',
    replace: '? 0 : 0',
    scenario: 'spec:upstreamPace/upstreamPaces',
  },
  {
    name: 'an upstream that turns calls away does not attract more',
    file: 'upstreamPace/completionForecast.js',
    find: ' / (1 - share)',
    replace: '',
    scenario: 'spec:upstreamPace/paceFleet',
  },
  {
    name: 'a false slowdown below normal is not believed',
    file: 'upstreamPace/slowdown.js',
    find: 'Math.max(MINIMUM_SLOWDOWN, reported)',
    replace: 'reported',
    scenario: 'spec:upstreamPace/slowdown',
  },
  {
    name: 'the pace of an upstream without observations is the mean of its service',
    file: 'upstreamPace/paceEstimator.js',
    find: '(sample?.mean ?? mean) * weight + mean * priorWeight',
    replace: '(sample?.mean ?? 0) * weight',
    scenario: 'spec:upstreamPace/paceEstimator',
  },
  {
    name: 'one observation changes a pace by a bounded amount',
    file: 'upstreamPace/paceEstimator.js',
    find: 'Math.min(current * MAXIMUM_CHANGE_FACTOR,',
    replace: 'Math.min(Infinity,',
    scenario: 'spec:upstreamPace/paceEstimator',
  },
  {
    name: 'calls that an upstream rejects as invalid do not make it look fast',
    file: 'relay/bufferedExchange.js',
    find: 'if (head.status < 300 && head.relayed !== true) {',
    replace: 'if (head.relayed !== true) {',
    scenario: 'spec:relay/plainCallTimes',
  },
  {
    name: 'calls that are given up count for the pace of their upstream',
    file: 'relay/bufferedAttempts.js',
    find: 'balancer.recordGivenUp(attempt.instance, timers.now() - attempt.sentAt);',
    replace: '',
    scenario: 'spec:relay/plainCallTimes',
  },
  {
    name: 'entries learn paces from each other',
    file: 'relay/placementClient.js',
    find: 'paces.adopt(answer?.paces);',
    replace: '',
    scenario: 'spec:trafficEntry/sharedPaces',
  },
];
