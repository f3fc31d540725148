/**
 * Safeguards of the verdict on whether an answer is complete.
 */
import type * as types from './types.js';

const RAW = 'spec:relay/brokenAnswers';
const ENDS = 'spec:relay/unconfirmedEnds';
const PROPERTIES = 'spec:relay/answerCompletion';

/** Safeguards, each with the spec that must fail without it. */
export const completionSafeguards: readonly types.Safeguard[] = [
  {
    name: 'a stream that ends within an event is cut off',
    file: 'relay/answerCompletion.js',
    find: 'if (this.events?.isWithinEvent === true) {',
    replace: 'if (false) {',
    scenario: RAW,
  },
  {
    name: 'an upstream is checked when only its connection ends an answer',
    file: 'relay/answerCompletion.js',
    find: "isConfirmed ? 'complete' : 'unconfirmed'",
    replace: "'complete'",
    scenario: RAW,
  },
  {
    name: 'an answer of an upstream that leaves is not cut off when it is gone at its end',
    file: 'quarantine/crashDetector.js',
    find: 'run === undefined || this.options.isTerminating(identity)',
    replace: 'run === undefined',
    scenario: ENDS,
  },
  {
    name: 'an answer that was cut off voids no crashes',
    file: 'quarantine/guardedUpstreams.js',
    find: "listener.failed('broken', 'the stream ended within an event');",
    replace: 'this.options.quarantine.recordAnswer(this.causes.content);',
    scenario: ENDS,
  },
  {
    name: 'the closed stream of a source that may have stopped is not taken for complete',
    file: 'relay/streamMove.js',
    find: 'unconfirmed !== undefined && unconfirmed.source === this.possiblyStopped',
    replace: 'false',
    scenario: ENDS,
  },
  {
    name: 'a close during a stop without a result is not taken for complete',
    file: 'relay/streamMove.js',
    find: 'unconfirmed?.handleStopped ?? handleClose',
    replace: 'handleClose',
    scenario: ENDS,
  },
  {
    name: 'an aborted answer without chunks ends with a reset',
    file: 'adapters/connectionReset.js',
    find: 'reset(socket);',
    replace: '',
    scenario: RAW,
  },
  {
    name: 'a connection whose end is being sent is closed instead of reset',
    file: 'adapters/connectionReset.js',
    find: 'if (isEnding)',
    replace: 'if (false)',
    scenario: 'spec:adapters/connectionReset',
  },
  {
    name: 'a plain answer that only its connection ends is given no length',
    file: 'adapters/trafficHttp.js',
    find: "head.framing === 'connection' ? headers : [...headers, length], head.framing",
    replace: "[...headers, length], 'length'",
    scenario: RAW,
  },
  {
    name: 'streams are sent to callers in chunks',
    file: 'adapters/trafficHttp.js',
    find: "writeHead(head.status, withoutLength(head.headers), 'chunked', false);",
    replace: 'writeHead(head.status, withoutLength(head.headers), head.framing, false);',
    scenario: RAW,
  },
  {
    name: 'comments do not count as events',
    file: 'relay/eventBoundary.js',
    find: 'this.isAtLineStart && !isLineEnd && byte !== COLON',
    replace: 'this.isAtLineStart && !isLineEnd',
    scenario: PROPERTIES,
  },
  {
    name: 'a CR that may be half of CR LF does not complete an event',
    file: 'relay/eventBoundary.js',
    find: String.raw`/(?:\n\n|\n\r\n|\r\r\n?)$/`,
    replace: String.raw`/(?:\n\n|\n\r\n?|\r\r\n?)$/`,
    scenario: PROPERTIES,
  },
  {
    name: 'a call whose service is gone as its connection ends has no answer',
    file: 'adapters/httpUpstreams.js',
    find: 'if (isListening) {',
    replace: 'if (true) {',
    scenario: 'spec:adapters/httpUpstreams',
  },
];
