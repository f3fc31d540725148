/**
 * Safeguards of rate limits, pauses and termination notices of upstreams.
 */
import type * as types from './types.js';

/** Safeguards, each with the scenario or spec that must fail without it. */
export const backPressureSafeguards: readonly types.Safeguard[] = [
  {
    name: 'requests to an upstream stay within its rate limit',
    file: 'backPressure/sendPolicy.js',
    find: 'return this.exclusionFromRelay(instance, now) ?? this.rateLimitExclusionOf(instance, now);',
    replace: 'return this.exclusionFromRelay(instance, now);',
    scenario: 'spec:backPressure/rateLimitedUpstream',
  },
  {
    name: 'a paused upstream receives no requests',
    file: 'backPressure/sendPolicy.js',
    find: 'if (now < pausedUntil) {',
    replace: 'if (false) {',
    scenario: 'spec:backPressure/pausedUpstream',
  },
  {
    name: 'an upstream whose response carries a termination notice receives no new requests',
    file: 'backPressure/signalRegistry.js',
    find: 'if (leaving && this.options.recordTerminationNotice(instance.identity)) {',
    replace: 'if (false) {',
    scenario: 'spec:backPressure/pausedUpstream',
  },
  {
    name: 'a termination notice is not undone by an older record of the instance',
    file: 'instances/instanceView.js',
    find: ' || this.terminationNotices.has(record.identity)',
    replace: '',
    scenario: 'spec:instances/notices',
  },
  {
    name: 'a request whose upstream was selected before its termination notice is not sent',
    file: 'backPressure/sendPolicy.js',
    find: 'if (instances.isTerminating(instance.identity)) {',
    replace: 'if (false) {',
    scenario: 'spec:backPressure/sendPolicy',
  },
  {
    name: 'a generation resumes from its memory copy although the engine is paused',
    file: 'quarantine/guardedUpstreams.js',
    find: "return copy !== undefined && reason !== 'evacuated';",
    replace: 'return false;',
    scenario: 'spec:backPressure/sendPolicy',
  },
  {
    name: 'entries divide a rate limit among themselves',
    file: 'backPressure/sendPolicy.js',
    find: 'rateLimitShare.requestsPerWindow(perSecond, entries)',
    replace: 'entries * rateLimitShare.requestsPerWindow(perSecond, 1)',
    scenario: 'spec:backPressure/rateLimitedUpstream',
  },
  {
    name: 'entries without a share of a rate limit probe whether it was lifted',
    file: 'backPressure/sendPolicy.js',
    find: ' || this.mayProbe(identity, entries, now)',
    replace: '',
    scenario: 'spec:backPressure/sendPolicy',
  },
  {
    name: 'the response to an earlier request does not lift a rate limit',
    file: 'backPressure/signalRegistry.js',
    find: 'known?.perSecond !== undefined && sentAt >= known.receivedAt',
    replace: 'known?.perSecond !== undefined',
    scenario: 'spec:backPressure/signalRegistry',
  },
  {
    name: 'entries publish rate limits to each other',
    file: 'backPressure/signalRegistry.js',
    find: 'publishRateLimit(identity, local.perSecond);',
    replace: '',
    scenario: 'spec:backPressure/rateLimitedUpstream',
  },
  {
    name: 'a placement request lists the engines that the entry temporarily excludes',
    file: 'relay/upstreamSelector.js',
    find: '...temporarilyExcluded.map((instance) => instance.identity)',
    replace: '',
    scenario: 'spec:backPressure/sendPolicy',
  },
  {
    name: 'no generation is moved to an excluded engine',
    file: 'relay/streamExchange.js',
    find: 'exchangeContext.isExcluded(this.context, target)',
    replace: 'false',
    scenario: 'spec:backPressure/sendPolicy',
  },
];
