/**
 * Safeguards of streams that go on only at the software that began them.
 */
import type * as types from './types.js';

const SYSTEM = 'spec:streamOrigins/softwareVersions';
const FAULTS = 'spec:streamOrigins/streamsGoOn';
const GATE = 'spec:quarantine/guardedUpstreams';
const CONTINUATION = 'spec:relay/streamContinuation';

/** Safeguards, each with the spec that must fail without it. */
export const streamOriginsSafeguards: readonly types.Safeguard[] = [
  {
    name: 'every send and copy passes one gate that compares the software',
    file: 'streamOrigins/software.js',
    find: 'return origin.service === instance.service && origin.software === of(instance);',
    replace: 'return true;',
    scenario: SYSTEM,
  },
  {
    name: 'the gate rejects a stream that goes on at other software',
    file: 'quarantine/guardedUpstreams.js',
    find: 'if (!mayTakeStream(call)) {',
    replace: 'if (false) {',
    scenario: GATE,
  },
  {
    name: 'the gate rejects a stream that goes on without an origin',
    file: 'quarantine/guardedUpstreams.js',
    find: '? lastEvent === undefined && copy === undefined',
    replace: '? true',
    scenario: GATE,
  },
  {
    name: 'the gate rejects a memory copy to other software',
    file: 'quarantine/guardedUpstreams.js',
    find: 'if (software.mayContinue(software.originAt(source), target)) {',
    replace: 'if (true) {',
    scenario: GATE,
  },
  {
    name: 'an upstream whose address another process has taken is sent nothing more',
    file: 'quarantine/guardedUpstreams.js',
    find: 'if (responseClassification.isMisdirected(head)) {',
    replace: 'if (false) {',
    scenario: GATE,
  },
  {
    name: 'upstreams without a version are not taken for alike',
    file: 'streamOrigins/software.js',
    find: '`incarnation ${identity}`',
    replace: "'version'",
    scenario: 'spec:streamOrigins/software',
  },
  {
    name: 'an incarnation keeps its version',
    file: 'instances/announcement.js',
    find: '(known.softwareVersion !== undefined && known.softwareVersion !== softwareVersion)',
    replace: 'false',
    scenario: 'spec:instances/softwareVersion',
  },
  {
    name: 'a generation is moved only to an engine of the same software',
    file: 'placement/evacuation.js',
    find: 'software: source.software,',
    replace: '',
    scenario: 'spec:placement/evacuation',
  },
  {
    name: 'the coordinator places a stream with events only at its software',
    file: 'placement/coordinator.js',
    find: '...(request.software !== undefined && { software: request.software }),',
    replace: '',
    scenario: 'spec:placement/resumedStreams',
  },
  {
    name: 'a stream with events may use the memory that is kept for moves',
    file: 'placement/coordinator.js',
    find: "return 'resumed';",
    replace: "return 'late';",
    scenario: 'spec:placement/resumedStreams',
  },
  {
    name: 'a stream with events is placed as if it had just arrived',
    file: 'relay/upstreamSelector.js',
    find: 'this.continuation.origin === undefined ? request.arrivedAt : now',
    replace: 'request.arrivedAt',
    scenario: CONTINUATION,
  },
  {
    name: 'a stream whose origin nobody knows is refused',
    file: 'relay/streamContinuation.js',
    find: "if (found.state === 'unknown') {",
    replace: 'if (false) {',
    scenario: CONTINUATION,
  },
  {
    name: 'a stream whose version is gone is refused at once',
    file: 'relay/exchangeContext.js',
    find: 'return SOFTWARE_GONE;',
    replace: '',
    scenario: CONTINUATION,
  },
  {
    name: 'the origin is unknown only if every process has answered',
    file: 'streamOrigins/originLookup.js',
    find: 'areAllAnswered &&= result.ok;',
    replace: '',
    scenario: 'spec:streamOrigins/originLookup',
  },
  {
    name: 'origins are copied to other processes',
    file: 'streamOrigins/streamOrigins.js',
    find: 'for (const address of originHolders.toKeep(record, this.directory.candidates)) {',
    replace: 'for (const address of []) {',
    scenario: FAULTS,
  },
  {
    name: 'copies at entries outlive the loss of control',
    file: 'streamOrigins/originHolders.js',
    find: 'const ENTRY_COPIES = 2;',
    replace: 'const ENTRY_COPIES = 0;',
    scenario: 'spec:streamOrigins/streamOrigins',
  },
  {
    name: 'a replica that has started again receives the origins of the entries',
    file: 'streamOrigins/streamOrigins.js',
    find: 'if (originHolders.toKeep(record, candidates).includes(address)) {',
    replace: 'if (false) {',
    scenario: 'spec:streamOrigins/streamOrigins',
  },
  {
    name: 'an entry that stops hands over what it keeps',
    file: 'streamOrigins/streamOrigins.js',
    find: 'for (const record of [...this.own.records(now), ...this.kept.records(now)]) {',
    replace: 'for (const record of []) {',
    scenario: 'spec:streamOrigins/streamOrigins',
  },
  {
    name: 'a copy is repeated until it is received',
    file: 'streamOrigins/originPublisher.js',
    find: 'holder.waiting.set(key, waiting);',
    replace: '',
    scenario: 'spec:streamOrigins/originPublisher',
  },
  {
    name: 'a flood of one account displaces only its own records',
    file: 'streamOrigins/originStore.js',
    find: 'candidate[1].size > largest[1].size',
    replace: 'false',
    scenario: 'spec:streamOrigins/originStore',
  },
  {
    name: 'an attempt with two origins has none',
    file: 'streamOrigins/originStore.js',
    find: 'origin: isContradicted ? undefined : { service, software }',
    replace: 'origin: { service, software }',
    scenario: 'spec:streamOrigins/originStore',
  },
  {
    name: 'a stream with events goes on only at the process that was announced',
    file: 'streamOrigins/incarnationCheck.js',
    find: 'born === undefined || born === instance.born',
    replace: 'true',
    scenario: 'spec:streamOrigins/incarnationCheck',
  },
  {
    name: 'a call that is cancelled during the check of its upstream is not sent',
    file: 'streamOrigins/incarnationCheck.js',
    find: 'if (exchanges.wasCancelled) {',
    replace: 'if (false) {',
    scenario: 'spec:streamOrigins/incarnationCheck',
  },
];
