/**
 * Safeguards against bytes of other processes that are held in more memory than is counted.
 */
import type * as types from './types.js';

const COLLECTOR = 'spec:buffers/byteCollector';
const WHOLE = 'spec:adapters/wholeResponse';
const EVENTS = 'spec:relay/eventSplitter';
const UPSTREAMS = 'spec:adapters/httpUpstreams';
const MEMORY = 'spec:relay/responseMemory';
const ANSWERS = 'spec:adapters/generationResponses';
const LINES = 'spec:adapters/lineSocket';
const PEERS = 'spec:adapters/jsonRpcTransport';
const SERVER = 'spec:adapters/boundedServer';
const CLIENT = 'spec:client/responseBody';
const ENDLESS = 'spec:relay/endlessResponses';
const CHUNKS = 'spec:streams/completionChunk';
const GENERATIONS = 'spec:streams/generationRelay';

/** Safeguards, each with the spec that must fail without it. */
export const collectedBytesSafeguards: readonly types.Safeguard[] = [
  {
    name: 'a small part of a larger memory is copied',
    file: 'buffers/byteCollector.js',
    find: 'bytes.length === bytes.buffer.byteLength && bytes.length > 0',
    replace: 'bytes.length > 0',
    scenario: COLLECTOR,
  },
  {
    name: 'a block is no larger than what was collected before it',
    file: 'buffers/byteCollector.js',
    find: 'Math.max(needed, this.size, SMALLEST_BLOCK)',
    replace: 'LARGEST_BLOCK',
    scenario: COLLECTOR,
  },
  {
    name: 'a body in one piece is not copied',
    file: 'buffers/byteCollector.js',
    find: '(isFirst || bytes.length >= LARGE_PIECE)',
    replace: 'bytes.length >= LARGE_PIECE',
    scenario: COLLECTOR,
  },
  {
    name: 'the memory of a piece that is kept is counted',
    file: 'buffers/byteCollector.js',
    find: 'this.memory += bytes.length;',
    replace: '',
    scenario: COLLECTOR,
  },
  {
    name: 'a response that was given up or has ended holds nothing more',
    file: 'relay/responseMemory.js',
    find: 'if (this.responses.holds(this)) {',
    replace: 'if (true) {',
    scenario: MEMORY,
  },
  {
    name: 'the objects of held responses are counted until they are released',
    file: 'relay/responseMemory.js',
    find: 'this.pieces -= buffer.pieces;',
    replace: '',
    scenario: MEMORY,
  },
  {
    name: 'the memory of a response that was given up is released',
    file: 'relay/responseMemory.js',
    find: 'buffer.clear();',
    replace: '',
    scenario: MEMORY,
  },
  {
    name: 'a response that is read as a whole is collected in blocks',
    file: 'adapters/wholeResponse.js',
    find: 'collected.append(bytes);',
    replace: '(collected.kept ??= []).push(bytes); collected.size += bytes.length;',
    scenario: WHOLE,
  },
  {
    name: 'the bytes of an incomplete event are collected in blocks',
    file: 'relay/eventSplitter.js',
    find: 'this.incomplete.append(bytes);',
    replace: '(this.kept ??= []).push(bytes); this.incomplete.append(bytes);',
    scenario: EVENTS,
  },
  {
    name: 'a terminator is found that is spread over pieces',
    file: 'relay/eventSplitter.js',
    find: 'Buffer.concat([this.tail, bytes])',
    replace: 'Buffer.from(bytes)',
    scenario: EVENTS,
  },
  {
    name: 'an event of an engine is parsed when it is complete',
    file: 'adapters/generationConnection.js',
    find: 'this.splitter.pushTogether(bytes)',
    replace: 'bytes',
    scenario: UPSTREAMS,
  },
  {
    name: 'an answer that is not streamed is held within the bounds on responses',
    file: 'adapters/generationResponses.js',
    find: 'new completionAggregator.CompletionAggregator(path, this.buffer)',
    replace:
      'new completionAggregator.CompletionAggregator(path, { parts: [], add(b) { this.parts.push(b); }, content() { return Buffer.concat(this.parts); } })',
    scenario: ANSWERS,
  },
  {
    name: 'an answer that is given up ends its generation',
    file: 'adapters/generationResponses.js',
    find: 'this.onGivenUp(reason);',
    replace: '',
    scenario: ANSWERS,
  },
  {
    name: 'the room of a generation is given back at its restart',
    file: 'adapters/generationResponses.js',
    find: 'sendRestart() {\n        this.buffer.release();',
    replace: 'sendRestart() {',
    scenario: ANSWERS,
  },
  {
    name: 'the room of an answer is given back when its caller leaves',
    file: 'adapters/generationResponses.js',
    find: "response.on('close', () => {\n            this.buffer.release();",
    replace: "response.on('close', () => {",
    scenario: ANSWERS,
  },
  {
    name: 'a long finish reason is no part of an answer',
    file: 'streams/completionChunk.js',
    find: 'String(finishReason).length <= MAXIMUM_FINISH_REASON_LENGTH',
    replace: 'true',
    scenario: CHUNKS,
  },
  {
    name: 'the text of each chunk is escaped, so that pairs of surrogates may be split',
    file: 'streams/completionAggregator.js',
    find: 'JSON.stringify(text).slice(1, -1)',
    replace: 'text',
    scenario: CHUNKS,
  },
  {
    name: 'the generation of an answer that is given up is cancelled',
    file: 'streams/generationRelay.js',
    find: 'engines.cancel(target, generation, false);',
    replace: '',
    scenario: GENERATIONS,
  },
  {
    name: 'an engine that was released is not released again with its answer',
    file: 'streams/generationRelay.js',
    find: 'target !== undefined && connection !== undefined',
    replace: 'target !== undefined',
    scenario: GENERATIONS,
  },
  {
    name: 'a relay that gives up its answer as it sends a token waits for nothing more',
    file: 'streams/generationRelay.js',
    find: '!this.flow.isPaused && !this.isFinished',
    replace: '!this.flow.isPaused',
    scenario: GENERATIONS,
  },
  {
    name: 'a line that arrives in part is collected in blocks',
    file: 'adapters/lineSocket.js',
    find: 'this.partialLine.append(bytes);',
    replace:
      '(this.kept ??= []).push(bytes); this.held = () => ({ bytes: 0, pieces: this.kept.length }); this.partialLine.append(bytes);',
    scenario: LINES,
  },
  {
    name: 'a line has a bound on its bytes',
    file: 'adapters/lineSocket.js',
    find: 'this.partialLine.size + added <= maximum',
    replace: 'true',
    scenario: LINES,
  },
  {
    name: 'messages that wait for a connection have a bound on their bytes',
    file: 'adapters/lineSocket.js',
    find: 'this.queuedBytes + bytes > MAXIMUM_UNSENT_BYTES',
    replace: 'false',
    scenario: PEERS,
  },
  {
    name: 'messages that wait for a connection have a bound on their number',
    file: 'adapters/lineSocket.js',
    find: 'this.queued.length >= MAXIMUM_UNSENT_LINES',
    replace: 'false',
    scenario: PEERS,
  },
  {
    name: 'messages that are dropped are logged once a second',
    file: 'adapters/countedWarnings.js',
    find: 'if (!this.isWaiting) {',
    replace: 'if (true) {',
    scenario: PEERS,
  },
  {
    name: 'bytes that a caller sends ahead are collected in blocks',
    file: 'adapters/connectionGate.js',
    find: 'this.behind.append(bytes);',
    replace: '(this.kept ??= []).push(bytes); this.behind.append(bytes);',
    scenario: SERVER,
  },
  {
    name: 'the memory of what a caller sends ahead is counted',
    file: 'adapters/connectionGate.js',
    find: 'length + this.behind.memory',
    replace: 'length',
    scenario: SERVER,
  },
  {
    name: 'the free room of a block is not passed on with it',
    file: 'buffers/byteCollector.js',
    find: '(this.blocks.length === 1 ? this.free : 0)',
    replace: '0',
    scenario: COLLECTOR,
  },
  {
    name: 'no free room is left where the last block was taken',
    file: 'buffers/byteCollector.js',
    find: 'if (this.blocks.length === 0) {\n            this.free = 0;',
    replace: 'if (this.blocks.length === 0) {',
    scenario: COLLECTOR,
  },
  {
    name: 'a body that a client reads has a bound',
    file: 'client/responseBody.js',
    find: 'collected.size + bytes.length > maximumBytes',
    replace: 'collected.size > 50 * maximumBytes',
    scenario: CLIENT,
  },
  {
    name: 'a body that a client reads is collected in blocks',
    file: 'client/responseBody.js',
    find: 'collected.append(bytes);',
    replace: '(collected.kept ??= []).push(bytes); collected.append(bytes);',
    scenario: CLIENT,
  },
  {
    name: 'an event that a client reads has a bound',
    file: 'client/callerClient.js',
    find: 'splitter.incompleteBytes > responseBody.MAXIMUM_BYTES',
    replace: 'false',
    scenario: CLIENT,
  },
  {
    name: 'an answer that is too large is not asked for again',
    file: 'client/callerClient.js',
    find: '!(error instanceof responseBody.TooLargeError)',
    replace: 'true',
    scenario: CLIENT,
  },
  {
    name: 'events that have not ended count with the responses that are held',
    file: 'relay/streamSegment.js',
    find: 'new eventSplitter.EventSplitter(this.incomplete)',
    replace: 'new eventSplitter.EventSplitter()',
    scenario: ENDLESS,
  },
  {
    name: 'the room of an event is given back when it has ended',
    file: 'relay/heldBytes.js',
    find: 'this.clear();\n        return content;',
    replace: 'return content;',
    scenario: ENDLESS,
  },
  {
    name: 'the room of an event is given back when its stream is closed',
    file: 'relay/streamSegment.js',
    find: 'this.incomplete.clear();',
    replace: '',
    scenario: ENDLESS,
  },
  {
    name: 'no event of a read is passed on whose rest was given up',
    file: 'relay/streamSegment.js',
    find: 'if (!this.open) {\n                return undefined;',
    replace: 'if (false) {\n                return undefined;',
    scenario: ENDLESS,
  },
  {
    name: 'answers of services are counted with all responses',
    file: 'adapters/wholeResponse.js',
    find: 'responses === undefined',
    replace: 'true',
    scenario: UPSTREAMS,
  },
  {
    name: 'answers to orders are counted with all responses',
    file: 'adapters/httpUpstreams.js',
    find: 'timeout, responses };\n            const refuse',
    replace: 'timeout };\n            const refuse',
    scenario: UPSTREAMS,
  },
  {
    name: 'answers to cancellations are counted with all responses',
    file: 'adapters/httpUpstreams.js',
    find: '{ ...CANCELLATION_BOUNDS, responses }',
    replace: 'CANCELLATION_BOUNDS',
    scenario: UPSTREAMS,
  },
  {
    name: 'an entry counts the responses that the port to its upstreams holds',
    file: 'trafficEntry/trafficEntry.js',
    find: 'entryPorts.responses ?? ',
    replace: '',
    scenario: 'spec:trafficEntry/entryLoadStatus',
  },
  {
    name: 'events of engines that have not ended are counted with all responses',
    file: 'adapters/generationConnection.js',
    find: 'this.incomplete = hold(',
    replace: 'this.incomplete = new byteCollector.ByteCollector(); hold(',
    scenario: UPSTREAMS,
  },
  {
    name: 'bytes that are given up are no longer held',
    file: 'relay/heldBytes.js',
    find: 'this.buffer?.release();',
    replace: '',
    scenario: UPSTREAMS,
  },
  {
    name: 'the lines that a peer does not read are bounded, whatever their bytes',
    file: 'adapters/lineSocket.js',
    find: 'this.unsentLines >= MAXIMUM_UNSENT_LINES',
    replace: 'false',
    scenario: 'spec:adapters/lineSocket',
  },
  {
    name: 'lines that were sent make room for others',
    file: 'adapters/lineSocket.js',
    find: 'this.unsentLines -= 1;',
    replace: '',
    scenario: 'spec:adapters/lineSocket',
  },
  {
    name: 'bytes that were taken are no part of the content any more',
    file: 'buffers/byteCollector.js',
    find: 'this.taken === 0 ? first : first.subarray(this.taken)',
    replace: 'first',
    scenario: COLLECTOR,
  },
  {
    name: 'events that wait during a pause count with all responses',
    file: 'adapters/generationConnection.js',
    find: 'this.unparsed = hold(',
    replace: 'this.unparsed = new byteCollector.ByteCollector(); hold(',
    scenario: UPSTREAMS,
  },
  {
    name: 'a generation whose waiting events are given up goes on after its pause',
    file: 'adapters/generationConnection.js',
    find: "this.reportEnd = () => {\n                this.fail('broken', reason);\n            };",
    replace: "this.fail('broken', reason);",
    scenario: UPSTREAMS,
  },
  {
    name: 'the room of events that were taken is given back',
    file: 'relay/responseMemory.js',
    find: 'this.used -= bytes;\n            this.pieces -= pieces;',
    replace: '',
    scenario: UPSTREAMS,
  },
];
