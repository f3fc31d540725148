/**
 * Safeguards of entries that are cut off from upstreams and send requests through other entries.
 */
import type * as types from './types.js';

const SYSTEM = 'spec:peerRelay/cutOffEntries';
const PROTOCOL = 'spec:peerRelay/relayProtocol';

/** Safeguards, each with the spec that must fail without it. */
export const peerRelaySafeguards: readonly types.Safeguard[] = [
  {
    name: 'an entry that reaches no upstream sends through others at once',
    file: 'peerRelay/upstreamPaths.js',
    find: 'this.unreached.size >= Math.min(CUT_OFF_UPSTREAMS, known)',
    replace: 'false',
    scenario: SYSTEM,
  },
  {
    name: 'an upstream that others reach is reached through them',
    file: 'peerRelay/upstreamPaths.js',
    find: 'if (!this.cutPaths.has(identity)) {',
    replace: 'if (false) {',
    scenario: SYSTEM,
  },
  {
    name: 'a refused connection is reported as a crash only with the word of other entries',
    file: 'peerRelay/witnesses.js',
    find: "if (result !== 'refused' || this.options.entryCount() === 1) {",
    replace: 'if (true) {',
    scenario: SYSTEM,
  },
  {
    name: 'the word of an entry counts only if it reaches another upstream',
    file: 'peerRelay/witnesses.js',
    find: "result === 'refused' && reachesAnother === false ? 'unknown' : result",
    replace: 'result',
    scenario: SYSTEM,
  },
  {
    name: 'own links are used again once probes are accepted',
    file: 'peerRelay/upstreamPaths.js',
    find: 'if (this.acceptedInARow >= required) {',
    replace: 'if (false) {',
    scenario: SYSTEM,
  },
  {
    name: 'a cut-off entry that nobody relays for says so',
    file: 'relay/exchangeContext.js',
    find: 'candidates.length > 0 && context.isCutOff?.() === true',
    replace: 'false',
    scenario: SYSTEM,
  },
  {
    name: 'a request that was declared not to have arrived is declined when it does',
    file: 'peerRelay/relayServer.js',
    find: "this.past.has(id) ? 'void'",
    replace: "false ? 'void'",
    scenario: PROTOCOL,
  },
  {
    name: 'a request that may have arrived is asked about, not sent again',
    file: 'peerRelay/relayedExchange.js',
    find: 'if (question === this.question) {',
    replace: "if (this.next === 0) { this.onDeclined(peer, 'lost'); } else {",
    scenario: PROTOCOL,
  },
  {
    name: 'a new process at the address of a peer does not pass for the old one',
    file: 'peerRelay/relayServer.js',
    find: 'if (epoch !== this.options.epoch) {',
    replace: 'if (false) {',
    scenario: PROTOCOL,
  },
  {
    name: 'a run that nobody asks for is cancelled',
    file: 'peerRelay/relayServer.js',
    find: 'if (waiting === undefined && now - lastAskedAt > limit) {',
    replace: 'if (false) {',
    scenario: PROTOCOL,
  },
  {
    name: 'a request whose peer does not answer any more ends',
    file: 'peerRelay/relayedExchange.js',
    find: 'else if (now - this.lastAnswerAt >= CONTACT_TIMEOUT) {',
    replace: 'else if (false) {',
    scenario: PROTOCOL,
  },
  {
    name: 'the time left at the upstream counts from when the request was chosen',
    file: 'peerRelay/relayedExchange.js',
    find: 'call.timeLeft - (now - this.startedAt)',
    replace: 'call.timeLeft',
    scenario: PROTOCOL,
  },
  {
    name: 'a peer that declines is not asked again for the same request',
    file: 'peerRelay/relayServer.js',
    find: 'return this.options.declineReason();',
    replace: 'return undefined;',
    scenario: PROTOCOL,
  },
  {
    name: 'answers through another entry count for no pace',
    file: 'relay/bufferedExchange.js',
    find: 'head.status < 300 && head.relayed !== true',
    replace: 'head.status < 300',
    scenario: 'spec:relay/plainCallTimes',
  },
  {
    name: 'calls given up by a cut-off entry count for no pace',
    file: 'relay/bufferedAttempts.js',
    find: 'if (isCutOff?.() !== true) {',
    replace: 'if (true) {',
    scenario: 'spec:relay/plainCallTimes',
  },
  {
    name: 'the cut links of an entry eject no upstream',
    file: 'relay/exchangeContext.js',
    find: "!(failure === 'notSent' && context.isCutOff?.() === true)",
    replace: 'true',
    scenario: 'spec:relay/bufferedExchange',
  },
  {
    name: 'a cancellation that was lost is repeated',
    file: 'peerRelay/relayedExchange.js',
    find: 'if (result.err && timers.now() - startedAt < CONTACT_TIMEOUT) {',
    replace: 'if (false) {',
    scenario: PROTOCOL,
  },
  {
    name: 'a peer that was slow for a moment is asked again if there is no other',
    file: 'peerRelay/peerList.js',
    find: 'answering.length > 0 ? answering : eligible',
    replace: 'answering',
    scenario: PROTOCOL,
  },
];
