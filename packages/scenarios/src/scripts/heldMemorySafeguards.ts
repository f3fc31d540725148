/**
 * Safeguards of an entry whose heap is nearly full.
 */
import type * as types from './types.js';

const SHEDDING = 'spec:heldMemory/heapShedding';
const HOLDERS = 'spec:heldMemory/holders';
const TRAFFIC = 'spec:adapters/trafficHttp';
const OWN = 'spec:adapters/entryHttp';
const STATUS = 'spec:trafficEntry/entryLoadStatus';

/** Safeguards, each with the spec that must fail without it. */
export const heldMemorySafeguards: readonly types.Safeguard[] = [
  {
    name: 'near the limit of the heap, new requests are refused',
    file: 'heldMemory/heapShedding.js',
    find: 'share >= SHED_FROM',
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
    name: 'an entry whose heap is nearly full relays nothing for others',
    file: 'trafficEntry/trafficEntry.js',
    find: 'this.entryPorts.isShedding?.() === true',
    replace: 'false',
    scenario: STATUS,
  },
];
