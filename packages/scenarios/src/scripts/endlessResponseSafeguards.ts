/**
 * Safeguards against upstreams whose bytes do not end.
 */
import type * as types from './types.js';

const RESPONSES = 'spec:relay/endlessResponses';
const MEMORY = 'spec:relay/responseMemory';
const CONNECTIONS = 'spec:adapters/singleUseConnection';

/** Safeguards, each with the spec that must fail without it. */
export const endlessResponseSafeguards: readonly types.Safeguard[] = [
  {
    name: 'a held response has a bound on its bytes',
    file: 'relay/responseMemory.js',
    find: 'if (buffer.size > this.bounds.perResponse) {',
    replace: 'if (false) {',
    scenario: RESPONSES,
  },
  {
    name: 'all held responses together have a bound on their bytes',
    file: 'relay/responseMemory.js',
    find: 'this.used > this.bounds.total',
    replace: 'false',
    scenario: MEMORY,
  },
  {
    name: 'above the bound the largest response is given up',
    file: 'relay/responseMemory.js',
    find: '({ memory }) => memory',
    replace: '({ memory }) => 1 / memory',
    scenario: MEMORY,
  },
  {
    name: 'a response whose body is not needed is closed after its head',
    file: 'relay/bufferedAttempts.js',
    find: "!== 'answer'",
    replace: "=== 'never'",
    scenario: RESPONSES,
  },
  {
    name: 'the body of a server error has a bound on its time',
    file: 'relay/heldResponse.js',
    find: 'if (head.status >= FIRST_SERVER_ERROR) {',
    replace: 'if (false) {',
    scenario: RESPONSES,
  },
  {
    name: 'an event has a bound on its bytes',
    file: 'relay/streamSegment.js',
    find: 'incompleteBytes + this.comments.bytes > MAXIMUM_EVENT_BYTES',
    replace: 'false',
    scenario: RESPONSES,
  },
  {
    name: 'an event has a bound on its time',
    file: 'relay/streamSegment.js',
    find: 'now - this.eventBeganAt > timeout',
    replace: 'false',
    scenario: RESPONSES,
  },
  {
    name: 'comments without an event have a bound on their number',
    file: 'relay/streamSegment.js',
    find: 'this.comments.count > MAXIMUM_COMMENTS',
    replace: 'false',
    scenario: RESPONSES,
  },
  {
    name: 'a head with its interim responses has a bound on its bytes',
    file: 'adapters/responseMonitor.js',
    find: 'this.receivedBytes > MAXIMUM_HEAD_BYTES',
    replace: 'false',
    scenario: CONNECTIONS,
  },
  {
    name: 'a head has a bound on its time',
    file: 'adapters/responseMonitor.js',
    find: 'if (!this.hadInterimResponse) {',
    replace: 'if (false) {',
    scenario: CONNECTIONS,
  },
  {
    name: 'an interim response shows that the upstream works',
    file: 'adapters/responseMonitor.js',
    find: 'this.hadInterimResponse = true;\n        this.stop();',
    replace: '',
    scenario: CONNECTIONS,
  },
  {
    name: 'framing without a body has a bound on its bytes',
    file: 'adapters/responseMonitor.js',
    find: 'framingBytes > MAXIMUM_FRAMING_BYTES + FRAMING_BYTES_PER_BODY_BYTE * this.bodyBytes',
    replace: 'false',
    scenario: CONNECTIONS,
  },
  {
    name: 'responses that are relayed for other entries have a bound on their bytes together',
    file: 'peerRelay/relayServer.js',
    find: 'this.totalBytes > MAXIMUM_TOTAL_BYTES',
    replace: 'false',
    scenario: 'spec:peerRelay/relayProtocol',
  },
  {
    name: 'the lines of a handshake have a bound on their length',
    file: 'adapters/lineSocket.js',
    find: 'this.isProven ? MAXIMUM_LINE_BYTES : MAXIMUM_HANDSHAKE_BYTES',
    replace: 'MAXIMUM_LINE_BYTES',
    scenario: 'spec:adapters/lineSocket',
  },
];
