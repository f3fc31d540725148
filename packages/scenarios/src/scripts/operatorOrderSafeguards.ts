/**
 * Safeguards against orders of operators that are carried out late, after newer ones.
 */
import type * as types from './types.js';

const LATE_ORDERS = 'spec:trafficControl/lateOrders';
const CALLERS = 'spec:adapters/callerConnections';

/** Safeguards, each with the spec that must fail without it. */
export const operatorOrderSafeguards: readonly types.Safeguard[] = [
  {
    name: 'an order whose caller has left is refused',
    file: 'operatorOrders/callerCheck.js',
    find: 'done(isPresent',
    replace: 'done(true',
    scenario: LATE_ORDERS,
  },
  {
    name: 'an order that may have waited during a pause is refused',
    file: 'operatorOrders/callerCheck.js',
    find: 'if (pause > 0) {',
    replace: 'if (false) {',
    scenario: LATE_ORDERS,
  },
  {
    name: 'a pause counts before the timer has noticed it',
    file: 'kernel/pauseMonitor.js',
    find: 'if (current > 0) {',
    replace: 'if (false) {',
    scenario: 'spec:kernel/pauseMonitor',
  },
  {
    name: 'a pause counts until all that has waited is read',
    file: 'kernel/pauseMonitor.js',
    find: 'this.options.clock.now() < endedAt + BACKLOG_TIME',
    replace: 'false',
    scenario: LATE_ORDERS,
  },
  {
    name: 'the pause of a suspended machine counts, whose monotonic clock stands still',
    file: 'kernel/pauseMonitor.js',
    find: 'Math.max(clock.now() - this.tickedAt, clock.wall() - this.tickedAtWall)',
    replace: 'clock.now() - this.tickedAt',
    scenario: 'spec:kernel/pauseMonitor',
  },
  {
    name: 'an order is void after a newer one that its replica did not know',
    file: 'agreedState/evacuationTable.js',
    find: 'knownIndex < lastOrder',
    replace: 'false',
    scenario: LATE_ORDERS,
  },
  {
    name: 'orders that change nothing make older ones void',
    file: 'agreedState/evacuationTable.js',
    find: 'this.recordOrder(dataCentre, index);',
    replace: 'if (changesState) this.recordOrder(dataCentre, index);',
    scenario: LATE_ORDERS,
  },
  {
    name: 'snapshots contain the last order of each data centre',
    file: 'agreedState/evacuationTable.js',
    find: '...(lastOrders.size === 0 ? {} : { dataCentreOrders: { lastOrders: [...lastOrders], droppedIndex } }),',
    replace: '',
    scenario: 'spec:agreedState/evacuationTable',
  },
  {
    name: 'a caller is watched before its order is tried again after a newer one',
    file: 'operatorOrders/dataCentreOrders.js',
    find: 'const PRESENCE_WAIT = 50;',
    replace: 'const PRESENCE_WAIT = 0;',
    scenario: LATE_ORDERS,
  },
  {
    name: 'an order of a present caller is tried again after a newer one',
    file: 'operatorOrders/dataCentreOrders.js',
    find: 'const RESUBMISSION_TIME = 250;',
    replace: 'const RESUBMISSION_TIME = 0;',
    scenario: LATE_ORDERS,
  },
  {
    name: 'an order that was refused late is not tried again',
    file: 'operatorOrders/dataCentreOrders.js',
    find: 'const RESUBMISSION_TIME = 250;',
    replace: 'const RESUBMISSION_TIME = 10_000;',
    scenario: LATE_ORDERS,
  },
  {
    name: 'a void order is rejected before it is written to the log',
    file: 'operatorOrders/dataCentreOrders.js',
    find: 'if (rejection === undefined) {',
    replace: 'if (true) {',
    scenario: LATE_ORDERS,
  },
  {
    name: 'an order that may have waited behind its connection is not tried again at once',
    file: 'adapters/callerConnections.js',
    find: 'answers === 0 && age <= NEW_CONNECTION_AGE',
    replace: 'answers === 0',
    scenario: CALLERS,
  },
  {
    name: 'an order on a reused connection is newer only than what was known with the last answer',
    file: 'adapters/callerConnections.js',
    find: 'const { knownIndex, openedAt, answers } = this.recordOf(incoming.socket);',
    replace:
      'const { openedAt, answers } = this.recordOf(incoming.socket); const knownIndex = this.options.appliedIndex();',
    scenario: CALLERS,
  },
  {
    name: 'the end of a connection is read before its order is carried out',
    file: 'adapters/eventLoop.js',
    find: 'setImmediate(() => {\n        setImmediate(run);\n    });',
    replace: 'run();',
    scenario: CALLERS,
  },
  {
    name: 'a request that an entry reads after a pause is relayed only if its caller has not left',
    file: 'adapters/requestsAfterPause.js',
    find: 'if (socket.destroyed || socket.readableEnded) {',
    replace: 'if (false) {',
    scenario: 'spec:adapters/trafficHttp',
  },
  {
    name: 'calls on the interface of the product are dropped after a pause if their caller has left',
    file: 'adapters/entryHttp.js',
    find: 'requestsAfterPause.whileCallerWaits(api.state, served.incoming, () => {\n            if (!refuseNearHeapLimit(api, served.outgoing)) {\n                done(body);\n            }\n        });',
    replace: 'done(body);',
    scenario: 'spec:adapters/entryHttp',
  },
  {
    name: 'a caller may close its sending side and wait for the answer',
    file: 'adapters/callerConnections.js',
    find: 'Object.assign(server, { httpAllowHalfOpen: true });',
    replace: '',
    scenario: CALLERS,
  },
  {
    name: 'a closed connection is told from a half-closed one by its reset',
    file: 'adapters/callerConnections.js',
    find: 'done(outgoing.socket?.destroyed === false);',
    replace: 'done(true);',
    scenario: CALLERS,
  },
];
