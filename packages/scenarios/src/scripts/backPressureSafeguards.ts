/**
 * Safeguards of upstreams that tell their senders to send less.
 */
import type * as types from './types.js';

/** Each with what must fail without it. */
export const backPressureSafeguards: readonly types.Safeguard[] = [
  {
    name: 'an upstream is sent no more than its rate limit',
    file: 'backPressure/sendPolicy.js',
    find: 'return this.rateLimitExclusionOf(instance, now);',
    replace: 'return undefined;',
    scenario: 'spec:backPressure/rateLimitedUpstream',
  },
  {
    name: 'an upstream that asks for a pause is left alone',
    file: 'backPressure/sendPolicy.js',
    find: 'if (now < pausedUntil) {',
    replace: 'if (false) {',
    scenario: 'spec:backPressure/pausedUpstream',
  },
  {
    name: 'an upstream that says in an answer that it leaves gets nothing new',
    file: 'backPressure/signalRegistry.js',
    find: 'if (leaving && this.options.recordTerminationNotice(instance.identity)) {',
    replace: 'if (false) {',
    scenario: 'spec:backPressure/pausedUpstream',
  },
  {
    name: 'an upstream that left does not come back by hearsay',
    file: 'instances/instanceView.js',
    find: ' || this.terminationNotices.has(record.identity)',
    replace: '',
    scenario: 'spec:instances/notices',
  },
  {
    name: 'the gate holds what was chosen before an upstream gave notice',
    file: 'backPressure/sendPolicy.js',
    find: 'if (instances.isTerminating(instance.identity)) {',
    replace: 'if (false) {',
    scenario: 'spec:backPressure/sendPolicy',
  },
  {
    name: 'a generation goes on from its copy though the engine asks for a pause',
    file: 'quarantine/guardedUpstreams.js',
    find: "return copy !== undefined && reason !== 'evacuated';",
    replace: 'return false;',
    scenario: 'spec:backPressure/sendPolicy',
  },
  {
    name: 'entries share a rate limit',
    file: 'backPressure/sendPolicy.js',
    find: 'rateLimitShare.requestsPerWindow(perSecond, entries)',
    replace: 'entries * rateLimitShare.requestsPerWindow(perSecond, 1)',
    scenario: 'spec:backPressure/rateLimitedUpstream',
  },
  {
    name: 'entries without a share find out whether a limit is over',
    file: 'backPressure/sendPolicy.js',
    find: ' || this.mayProbe(identity, entries, now)',
    replace: '',
    scenario: 'spec:backPressure/sendPolicy',
  },
  {
    name: 'an answer to an earlier request does not lift a limit',
    file: 'backPressure/signalRegistry.js',
    find: 'known?.perSecond !== undefined && sentAt >= known.receivedAt',
    replace: 'known?.perSecond !== undefined',
    scenario: 'spec:backPressure/signalRegistry',
  },
  {
    name: 'entries tell each other of rate limits',
    file: 'backPressure/signalRegistry.js',
    find: 'publishRateLimit(identity, local.perSecond);',
    replace: '',
    scenario: 'spec:backPressure/rateLimitedUpstream',
  },
  {
    name: 'a coordinator is told which engines this entry may send nothing',
    file: 'relay/upstreamSelector.js',
    find: '...temporarilyExcluded.map((instance) => instance.identity)',
    replace: '',
    scenario: 'spec:backPressure/sendPolicy',
  },
  {
    name: 'no generation is moved to an engine that may be sent nothing',
    file: 'relay/streamExchange.js',
    find: ' || this.isExcluded(target)',
    replace: '',
    scenario: 'spec:backPressure/sendPolicy',
  },
];
