/**
 * Safeguards against heads of upstreams that are not sound, and at the readers of the own interface.
 */
import type * as types from './types.js';

const HEADS = 'spec:adapters/responseHead';
const CONNECTIONS = 'spec:adapters/singleUseConnection';
const OWN_INTERFACE = 'spec:adapters/httpUpstreams';
const SERVICE_ANSWERS = 'spec:adapters/serviceAnswers';
const STOPPED_ANSWERS = 'spec:adapters/stoppedAnswers';
const STATED_LENGTHS = 'spec:adapters/statedLengths';
const FILE = 'adapters/responseHead.js';

/** Safeguards, each with the spec that must fail without it. */
export const responseHeadSafeguards: readonly types.Safeguard[] = [
  {
    name: 'a version that HTTP does not have is refused',
    file: FILE,
    find: 'if (!VERSIONS.has(httpVersion)) {',
    replace: 'if (false) {',
    scenario: HEADS,
  },
  {
    name: 'a status below all final ones is refused',
    file: FILE,
    find: 'status < FINAL_STATUS.first',
    replace: 'false',
    scenario: CONNECTIONS,
  },
  {
    name: 'a status above all that HTTP has is refused',
    file: FILE,
    find: 'status > FINAL_STATUS.last',
    replace: 'false',
    scenario: CONNECTIONS,
  },
  {
    name: 'a reason with control characters is refused',
    file: FILE,
    find: '!VALUE.test(reason)',
    replace: 'false',
    scenario: HEADS,
  },
  {
    name: 'a name that is no token is refused',
    file: FILE,
    find: '!NAME.test(name)',
    replace: 'false',
    scenario: HEADS,
  },
  {
    name: 'a value with control characters is refused',
    file: FILE,
    find: '!VALUE.test(value)',
    replace: 'false',
    scenario: HEADS,
  },
  {
    name: 'more fields than any response needs are refused',
    file: FILE,
    find: 'headers.length > MAXIMUM_FIELDS',
    replace: 'false',
    scenario: CONNECTIONS,
  },
  {
    name: 'the environment of a process does not loosen its parser',
    file: 'adapters/singleUseConnection.js',
    find: 'insecureHTTPParser: false',
    replace: '',
    scenario: CONNECTIONS,
  },
  {
    name: 'a length that is no number, or is there twice, is refused',
    file: FILE,
    find: 'lengths.length > 1 || lengths.some((length) => !LENGTH.test(length))',
    replace: 'false',
    scenario: HEADS,
  },
  {
    name: 'a body in a coding other than chunks is refused',
    file: FILE,
    find: 'if (!isChunked) {',
    replace: 'if (false) {',
    scenario: CONNECTIONS,
  },
  {
    name: 'chunks under HTTP/1.0 are refused',
    file: FILE,
    find: "if (version === '1.0') {",
    replace: 'if (false) {',
    scenario: CONNECTIONS,
  },
  {
    name: 'chunks together with a length are refused',
    file: FILE,
    find: 'lengths.length > 0 ?',
    replace: 'false ?',
    scenario: HEADS,
  },
  {
    name: 'a response without a body does not wait for the end of its connection',
    file: FILE,
    find: "method === 'HEAD' || STATUSES_WITHOUT_BODY.has(status)",
    replace: 'false',
    scenario: HEADS,
  },
  {
    name: 'the connection of a generation is closed with its last event',
    file: 'adapters/generationConnection.js',
    find: 'if (event.data === END_OF_STREAM) {\n            this.finish();',
    replace: 'if (event.data === END_OF_STREAM) {\n            this.finished = true;',
    scenario: OWN_INTERFACE,
  },
  {
    name: 'a response that is read as a whole has a bound on its bytes',
    file: 'adapters/wholeResponse.js',
    find: 'length > maximumBytes',
    replace: 'false',
    scenario: OWN_INTERFACE,
  },
  {
    name: 'an event that is no chunk of a completion breaks the stream',
    file: 'adapters/generationConnection.js',
    find: 'completionChunk.parse(event.data) === undefined',
    replace: 'false',
    scenario: OWN_INTERFACE,
  },
  {
    name: 'a chunk of a completion has the shape that is read',
    file: 'streams/completionChunk.js',
    find: 'return isChunk(value) ? value : undefined;',
    replace: 'return value;',
    scenario: 'spec:streams/completionChunk',
  },
  {
    name: 'what is no receipt confirms no order',
    file: 'orders/orderReceipt.js',
    find: "Number.isSafeInteger(fencingNumber) && typeof target === 'string'",
    replace: 'true',
    scenario: OWN_INTERFACE,
  },
  {
    name: 'an answer of a service without a length or chunks is passed on as such',
    file: 'adapters/entryHttp.js',
    find: 'if (answer.endsWithConnection === true) {',
    replace: 'if (false) {',
    scenario: SERVICE_ANSWERS,
  },
  {
    name: 'a recorded answer of a service without a length or chunks is replayed as such',
    file: 'adapters/httpUpstreams.js',
    find: '{ ...answer, endsWithConnection: true }',
    replace: 'answer',
    scenario: SERVICE_ANSWERS,
  },
  {
    name: 'an entry tells the bytes of an answer whose framing does not',
    file: 'adapters/entryHttp.js',
    find: 'response.setHeader(wholeBody.RECEIVED_HEADER, length);',
    replace: '',
    scenario: SERVICE_ANSWERS,
  },
  {
    name: 'the caller client takes no part of an answer without a length or chunks for a whole one',
    file: 'client/wholeBody.js',
    find: 'headers[RECEIVED_HEADER] !== String(bytes.length)',
    replace: 'false',
    scenario: 'spec:client/cutAnswers',
  },
  {
    name: 'an unread answer that only its connection ends is reset before the process is killed',
    file: 'adapters/trafficHttp.js',
    find: 'abortBeforeStop();',
    replace: '',
    scenario: STOPPED_ANSWERS,
  },
  {
    name: 'an answer that states its end goes on until the process is killed',
    file: 'adapters/trafficHttp.js',
    find: "if (!outgoing.chunkedEncoding && !outgoing.hasHeader('content-length')) {",
    replace: 'if (true) {',
    scenario: STOPPED_ANSWERS,
  },
  {
    name: 'an answer that has been sent is not reset before the process is killed',
    file: 'adapters/trafficHttp.js',
    find: 'cancelStop?.();',
    replace: '',
    scenario: STOPPED_ANSWERS,
  },
  {
    name: 'a service answer to a caller without chunks states its length',
    file: 'adapters/entryHttp.js',
    find: "response.setHeader('content-length', length);",
    replace: '',
    scenario: STATED_LENGTHS,
  },
  {
    name: 'a generation in one body to a caller without chunks states its length',
    file: 'adapters/generationResponses.js',
    find: "'content-length': body.length",
    replace: '',
    scenario: STATED_LENGTHS,
  },
  {
    name: 'a response of the own servers to a caller without chunks states its length',
    file: 'adapters/httpMessages.js',
    find: "'content-length': body.length,",
    replace: '',
    scenario: STATED_LENGTHS,
  },
];
