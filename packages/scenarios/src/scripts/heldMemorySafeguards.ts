/**
 * Safeguards of an entry whose heap is nearly full.
 */
import type * as types from './types.js';

const SHEDDING = 'spec:heldMemory/heapShedding';
const HOLDERS = 'spec:heldMemory/holders';
const TRAFFIC = 'spec:adapters/trafficHttp';
const OWN = 'spec:adapters/entryHttp';
const ENDLESS = 'spec:relay/endlessResponses';
const PROTOCOL = 'spec:peerRelay/relayProtocol';
const STATUS = 'spec:trafficEntry/entryLoadStatus';

/** Safeguards, each with the spec that must fail without it. */
export const heldMemorySafeguards: readonly types.Safeguard[] = [
  {
    name: 'near the limit of the heap, new requests are refused',
    file: 'heldMemory/heapShedding.js',
    find: '!this.isNearLimit && share >= SHED_FROM',
    replace: 'false',
    scenario: SHEDDING,
  },
  {
    name: 'new requests are accepted again only well below the level',
    file: 'heldMemory/heapShedding.js',
    find: 'share < SHED_UNTIL',
    replace: 'share < SHED_FROM',
    scenario: SHEDDING,
  },
  {
    name: 'an entry does not go on refusing for garbage',
    file: 'heldMemory/heapShedding.js',
    find: 'this.options.collect();',
    replace: '',
    scenario: SHEDDING,
  },
  {
    name: 'the heap is not collected all the time while it is nearly full',
    file: 'heldMemory/heapShedding.js',
    find: '&& collectionAge >= COLLECTION_AGE',
    replace: '',
    scenario: SHEDDING,
  },
  {
    name: 'a holder that grows fast is seen before the next sample',
    file: 'heldMemory/heldMemory.js',
    find: 'this.growth += heapBytesOf(holder, growth);',
    replace: '',
    scenario: SHEDDING,
  },
  {
    name: 'the heap is not looked at for each growth',
    file: 'heldMemory/heldMemory.js',
    find: 'this.growth >= this.growthPerCheck',
    replace: 'true',
    scenario: SHEDDING,
  },
  {
    name: 'responses tell that they grow',
    file: 'relay/responseMemory.js',
    find: 'this.reportGrowth({ bytes: growth, pieces });',
    replace: '',
    scenario: HOLDERS,
  },
  {
    name: 'requests tell that they grow',
    file: 'callerBounds/heldRequests.js',
    find: 'this.requests.recordGrowth({ bytes, pieces: 1 });',
    replace: '',
    scenario: HOLDERS,
  },
  {
    name: 'unread streams tell that they grow',
    file: 'entryLoad/slowReaders.js',
    find: 'this.reportGrowth({ bytes: 0, pieces: 1 });',
    replace: '',
    scenario: HOLDERS,
  },
  {
    name: 'a request is refused at its head while the heap is nearly full',
    file: 'adapters/trafficHttp.js',
    find: 'createCaller(options, request, incoming, outgoing).refuse(NEAR_HEAP_LIMIT);\n        return;',
    replace: '',
    scenario: TRAFFIC,
  },
  {
    name: 'a request whose body arrived meanwhile is not sent on',
    file: 'adapters/trafficHttp.js',
    find: 'caller.refuse(NEAR_HEAP_LIMIT);',
    replace: 'options.handle(request, caller);',
    scenario: TRAFFIC,
  },
  {
    name: 'a caller refused near the limit of the heap goes to another entry',
    file: 'adapters/trafficHttp.js',
    find: 'closesConnection: true,',
    replace: 'closesConnection: false,',
    scenario: TRAFFIC,
  },
  {
    name: 'the own interface refuses while the heap is nearly full',
    file: 'adapters/entryHttp.js',
    find: 'if (state.refusesNew?.() !== true) {',
    replace: 'if (true) {',
    scenario: OWN,
  },
  {
    name: 'the own interface does not read bodies while the heap is nearly full',
    file: 'adapters/entryHttp.js',
    find: 'if (refuseNearHeapLimit(api, served.outgoing)) {',
    replace: 'if (false) {',
    scenario: OWN,
  },
  {
    name: 'the own interface does not run a request whose body arrived meanwhile',
    file: 'adapters/entryHttp.js',
    find: 'if (!refuseNearHeapLimit(api, served.outgoing)) {',
    replace: 'if (true) {',
    scenario: OWN,
  },
  {
    name: 'the own interface closes the connection of a caller that it refuses near the limit of the heap',
    file: 'adapters/entryHttp.js',
    find: 'response.shouldKeepAlive = false;\n    httpMessages.sendRefusal(',
    replace: 'httpMessages.sendRefusal(',
    scenario: OWN,
  },
  {
    name: 'the own interface takes up no stream while the heap is nearly full',
    file: 'adapters/entryHttp.js',
    find: 'if (refuseNearHeapLimit(api, response)) {',
    replace: 'if (false) {',
    scenario: OWN,
  },
  {
    name: 'near the limit of the heap, what has begun is given up as well',
    file: 'heldMemory/heapShedding.js',
    find: 'this.giveUpLargest(state);',
    replace: '',
    scenario: SHEDDING,
  },
  {
    name: 'no more is given up than brings the heap below the level',
    file: 'heldMemory/heapShedding.js',
    find: 'expected -= heapBytes;',
    replace: '',
    scenario: SHEDDING,
  },
  {
    name: 'what frees next to nothing is kept',
    file: 'heldMemory/heapShedding.js',
    find: 'largest.heapBytes < LEAST_GAIN',
    replace: 'false',
    scenario: SHEDDING,
  },
  {
    name: 'what was given up has time to leave the figures',
    file: 'heldMemory/heapShedding.js',
    find: '&& now - this.gaveUpAt >= SETTLE_TIME',
    replace: '',
    scenario: SHEDDING,
  },
  {
    name: 'the largest of all kinds is given up first',
    file: 'heldMemory/heldMemory.js',
    find: 'heapBytes > (largest?.heapBytes ?? 0)',
    replace: 'heapBytes > 0',
    scenario: SHEDDING,
  },
  {
    name: 'a request that may have run is not given up',
    file: 'callerBounds/heldRequests.js',
    find: 'connection.arriving > 0 && connection.served === 0',
    replace: 'true',
    scenario: HOLDERS,
  },
  {
    name: 'the request in part that takes the most heap is given up first',
    file: 'callerBounds/heldRequests.js',
    find: 'connection.heapBytes > (largest?.heapBytes ?? 0)',
    replace: 'connection.heapBytes > 0',
    scenario: HOLDERS,
  },
  {
    name: 'a stream whose caller keeps up is not given up',
    file: 'entryLoad/slowReaders.js',
    find: 'let bytes = BEHIND_FROM - 1;',
    replace: 'let bytes = 0;',
    scenario: HOLDERS,
  },
  {
    name: 'a complete answer is not given up',
    file: 'entryLoad/slowReaders.js',
    find: 'tracked.isStream ? tracked.reader.unreadBytes() : 0',
    replace: 'tracked.reader.unreadBytes()',
    scenario: HOLDERS,
  },
  {
    name: 'a response whose reader cannot tell that it was given up is kept',
    file: 'relay/responseMemory.js',
    find: 'buffer.shed !== undefined && ',
    replace: '',
    scenario: HOLDERS,
  },
  {
    name: 'a response that is given up for memory is not one of a faulty upstream',
    file: 'relay/bufferedAttempts.js',
    find: "endBy('givenUp')",
    replace: "endBy('garbled')",
    scenario: ENDLESS,
  },
  {
    name: 'a response that was given up for memory does not count against its upstream',
    file: 'relay/exchangeContext.js',
    find: "failure !== 'givenUp' &&",
    replace: '',
    scenario: ENDLESS,
  },
  {
    name: 'a request whose response was given up for memory is not sent to another upstream',
    file: 'relay/bufferedExchange.js',
    find: "&& cause !== 'givenUp'",
    replace: '',
    scenario: ENDLESS,
  },
  {
    name: 'a peer that gives a response up for memory says so',
    file: 'peerRelay/relayServer.js',
    find: "this.close(id, undefined, 'givenUp');",
    replace: 'this.close(id);',
    scenario: PROTOCOL,
  },
  {
    name: 'an upstream is not blamed for what a peer gave up',
    file: 'peerRelay/relayedExchange.js',
    find: 'answer.givenUp === true',
    replace: 'false',
    scenario: PROTOCOL,
  },
  {
    name: 'an entry whose heap is nearly full relays nothing for others',
    file: 'trafficEntry/trafficEntry.js',
    find: 'this.entryPorts.isShedding?.() === true',
    replace: 'false',
    scenario: STATUS,
  },
];
