/**
 * Safeguards against input that ends a process.
 */
import type * as types from './types.js';

const ANNOUNCEMENTS = 'spec:instances/announcementCheck';
const LISTS = 'spec:trafficControl/unusableInstances';
const CONNECTIONS = 'spec:adapters/singleUseConnection';
const PEERS = 'spec:adapters/jsonRpcTransport';

/** Safeguards, each with the spec that must fail without it. */
export const outsideInputSafeguards: readonly types.Safeguard[] = [
  {
    name: 'the name of an announced instance can be sent in a header',
    file: 'instances/announcementCheck.js',
    find: 'return NAME.test(name) ?',
    replace: 'return true ?',
    scenario: ANNOUNCEMENTS,
  },
  {
    name: 'the address of an announced instance can be connected to',
    file: 'instances/announcementCheck.js',
    find: 'return port >= 1 && port <= MAXIMUM_PORT;',
    replace: 'return true;',
    scenario: ANNOUNCEMENTS,
  },
  {
    name: 'the other texts of an announcement hold no control characters',
    file: 'instances/announcementCheck.js',
    find: '!UNREADABLE.test(text)',
    replace: 'true',
    scenario: ANNOUNCEMENTS,
  },
  {
    name: 'an entry leaves out listed instances that cannot be used',
    file: 'trafficControl/controlWatch.js',
    find: 'announcementCheck.usableRecords(update.records, address, log)',
    replace: 'update.records',
    scenario: LISTS,
  },
  {
    name: 'a replica leaves out instances of other replicas that cannot be used',
    file: 'trafficControl/instanceGossip.js',
    find: "announcementCheck.usableRecords(records, 'replica', log)",
    replace: 'records',
    scenario: LISTS,
  },
  {
    name: 'a request that cannot be encoded fails alone',
    file: 'adapters/singleUseConnection.js',
    find: 'return failAsWithheld(error, scheduler, listener);',
    replace: 'throw error;',
    scenario: CONNECTIONS,
  },
  {
    name: 'a call of the own interface that cannot be encoded is reported as never sent',
    file: 'relay/responseClassification.js',
    find: " || failure === 'withheld'",
    replace: '',
    scenario: 'spec:adapters/httpUpstreams',
  },
  {
    name: 'a first line of a peer that is no object is no proof',
    file: 'adapters/peerAuthentication.js',
    find: '(parsed ?? {})',
    replace: 'parsed',
    scenario: PEERS,
  },
  {
    name: 'a proof that is no text is no proof',
    file: 'adapters/peerAuthentication.js',
    find: "typeof proof === 'string' ? proof : ''",
    replace: 'proof',
    scenario: PEERS,
  },
  {
    name: 'an address that cannot exist is not checked',
    file: 'adapters/connectionCheck.js',
    find: "done('unknown');",
    replace: "throw new Error('unknown');",
    scenario: 'spec:adapters/connectionCheck',
  },
  {
    name: 'memory that cannot be read ends no process',
    file: 'adapters/processLoad.js',
    find: 'lastResidentBytes = residentBytes();\n            }\n            catch {',
    replace: 'lastResidentBytes = residentBytes();\n            }\n            catch (error) { throw error;',
    scenario: 'spec:adapters/processLoad',
  },
  {
    name: 'no line is read after the one that closed its connection',
    file: 'adapters/lineSocket.js',
    find: 'this.socket.destroyed || !this.checkLength',
    replace: '!this.checkLength',
    scenario: PEERS,
  },
];
