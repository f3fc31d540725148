/**
 * Safeguards of upstreams that send faster than their callers read.
 */
import type * as types from './types.js';

const SOCKET = 'spec:adapters/pausableSocket';
const CLASS = 'spec:flowControl/flowControl';
const STREAM = 'spec:relay/slowCallers';
const CHECK = 'spec:streamOrigins/incarnationCheck';
const PROTOCOL = 'spec:peerRelay/relayProtocol';
const LOOPBACK = 'spec:adapters/slowCallers';

/** Safeguards, each with the spec that must fail without it. */
export const flowControlSafeguards: readonly types.Safeguard[] = [
  {
    name: 'a pause stops the reads of the connection, not only those of the response',
    file: 'adapters/pausableSocket.js',
    find: 'return takesMore && !this.areReadsPaused;',
    replace: 'return takesMore;',
    scenario: SOCKET,
  },
  {
    name: 'a paused connection is not read again by its stream',
    file: 'adapters/pausableSocket.js',
    find: 'if (!this.areReadsPaused) {',
    replace: 'if (true) {',
    scenario: SOCKET,
  },
  {
    name: 'a connection that was paused is read again',
    file: 'adapters/pausableSocket.js',
    find: 'this._read(0);',
    replace: '',
    scenario: SOCKET,
  },
  {
    name: 'the chunks of one read are passed on as one piece',
    file: 'adapters/readPieces.js',
    find: 'this.join(piece);',
    replace: 'this.passOn(piece);',
    scenario: SOCKET,
  },
  {
    name: 'the clock of reading stands still during a pause',
    file: 'flowControl/flowControl.js',
    find: 'return this.options.now() - this.pausedTime;',
    replace: 'return this.options.now();',
    scenario: CLASS,
  },
  {
    name: 'a source that has stopped is read to its end',
    file: 'flowControl/flowControl.js',
    find: 'this.isLifted = true;',
    replace: '',
    scenario: CLASS,
  },
  {
    name: 'a receiver that takes nothing is let go',
    file: 'flowControl/stallWatch.js',
    find: 'now - takenAt >= limit',
    replace: 'false',
    scenario: CLASS,
  },
  {
    name: 'a receiver that takes a little is kept',
    file: 'flowControl/stallWatch.js',
    find: 'latest !== taken',
    replace: 'false',
    scenario: CLASS,
  },
  {
    name: 'a stream waits while its caller cannot take more',
    file: 'relay/streamExchange.js',
    find: 'this.flow.recordWrite(canTakeMore);',
    replace: '',
    scenario: STREAM,
  },
  {
    name: 'the events of one read are written together',
    file: 'relay/streamDelivery.js',
    find: 'pending.byteOffset + pending.length === bytes.byteOffset',
    replace: 'false',
    scenario: STREAM,
  },
  {
    name: 'the events before a fault of the same read are written',
    file: 'relay/streamSegment.js',
    find: 'listener.readEnded();',
    replace: 'if (problem === undefined) listener.readEnded();',
    scenario: STREAM,
  },
  {
    name: 'no other upstream is searched for a stream that is not read',
    file: 'relay/streamExchange.js',
    find: 'if (this.flow.isPaused) {',
    replace: 'if (false) {',
    scenario: STREAM,
  },
  {
    name: 'what a stopped source still has is read before its stream moves',
    file: 'relay/streamMove.js',
    find: 'this.host.readToEnd();',
    replace: '',
    scenario: STREAM,
  },
  {
    name: 'an event is not timed out while its stream is not read, nor is its upstream reported as silent',
    file: 'relay/streamExchange.js',
    find: '() => this.flow.readingTime()',
    replace: '() => this.context.timers.now()',
    scenario: STREAM,
  },
  {
    name: 'a caller that takes nothing frees its upstream',
    file: 'relay/streamExchange.js',
    find: 'this.stopStallWatch = stallWatch.start({',
    replace: 'this.stopStallWatch = (() => () => undefined)({',
    scenario: STREAM,
  },
  {
    name: 'a caller that reads slowly keeps its stream after it has drained',
    file: 'relay/streamExchange.js',
    find: 'onCallerDrained() {\n        this.stopStallWatch();',
    replace: 'onCallerDrained() {',
    scenario: STREAM,
  },
  {
    name: 'a pause during the check of an upstream holds for the call',
    file: 'relay/successiveExchanges.js',
    find: 'if (this.isPaused) {',
    replace: 'if (false) {',
    scenario: CHECK,
  },
  {
    name: 'the upstream of a relayed stream waits while too much is not acknowledged',
    file: 'peerRelay/relayServer.js',
    find: 'relayed.flow.recordWrite(size <= relayed.window);',
    replace: '',
    scenario: PROTOCOL,
  },
  {
    name: 'the upstream of a relayed stream goes on when enough is acknowledged',
    file: 'peerRelay/relayServer.js',
    find: 'relayed.flow.recordDrain();',
    replace: '',
    scenario: PROTOCOL,
  },
  {
    name: 'an entry that takes nothing more is sent no events',
    file: 'peerRelay/relayServer.js',
    find: 'events: isHeld ? [] : unacknowledged.send()',
    replace: 'events: unacknowledged.send()',
    scenario: PROTOCOL,
  },
  {
    name: 'the events that an earlier release sends to an entry which takes nothing more stay unacknowledged',
    file: 'peerRelay/relayedExchange.js',
    find: 'if (this.isHolding) {\n            // A peer',
    replace: 'if (false) {\n            // A peer',
    scenario: PROTOCOL,
  },
  {
    name: 'a relayed stream asks again at once when it is resumed',
    file: 'peerRelay/relayedExchange.js',
    find: 'this.isPaused = false;\n        if (this.isHolding) {',
    replace: 'this.isPaused = false;\n        if (false) {',
    scenario: PROTOCOL,
  },
  {
    name: 'an answer to an earlier question leads to no further question',
    file: 'peerRelay/relayedExchange.js',
    find: 'question !== this.question || ',
    replace: '',
    scenario: PROTOCOL,
  },
  {
    name: 'an event that has been sent keeps its content',
    file: 'peerRelay/unacknowledgedEvents.js',
    find: 'this.held = this.held.map(',
    replace: 'this.held.map(',
    scenario: PROTOCOL,
  },
  {
    name: 'the connection of the caller tells when it is full',
    file: 'adapters/trafficHttp.js',
    find: 'return reader === undefined ? send() : reader.write(send);',
    replace: 'if (reader === undefined) { send(); } else { reader.write(send); } return true;',
    scenario: LOOPBACK,
  },
  {
    name: 'the connection of the caller tells when it has drained',
    file: 'adapters/trafficHttp.js',
    find: "outgoing.on('drain', callback);",
    replace: '',
    scenario: LOOPBACK,
  },
];
