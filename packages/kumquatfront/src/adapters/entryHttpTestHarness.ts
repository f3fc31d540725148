/**
 * The server of the own interface before parts of an entry that a test gives, on a loopback connection.
 */
import * as events from 'node:events';
import type * as http from 'node:http';
import type * as net from 'node:net';
import type * as test from 'node:test';

import * as unboundedRequests from '../callerBounds/unboundedRequests.js';
import type * as entryNode from '../entryNode/entryNode.js';
import type * as entryTypes from '../entryNode/types.js';
import * as slowReaders from '../entryLoad/slowReaders.js';
import type * as ports from '../kernel/ports.js';
import * as serviceRegistry from '../kernel/serviceRegistry.js';
import * as responseMemory from '../relay/responseMemory.js';
import * as defaultConfig from '../settings/defaultConfig.js';
import * as entryHttp from './entryHttp.js';
import * as statsdMetrics from './statsdMetrics.js';

const LOCAL = '127.0.0.1';

const settings: entryTypes.EntrySettings = {
  ...defaultConfig.entryDefaults,
  ...{ name: 'e', dataCentre: 'c', callerAddress: '', peerAddress: '', control: [] },
  ...{ signingKey: 'k', upstreamKeyHash: '' },
};

const noop = (): void => undefined;
const silentLog: ports.Log = { debug: noop, info: noop, warn: noop, error: noop };

/** Parts of an entry node, as far as a test needs them. */
export interface EntryParts {
  /** Functions of the request handler. */
  readonly requests: object;
  readonly addresses?: () => readonly string[];
}

/** Creates what counts the streams of callers; its clock stands still, unless another one is given. */
export function createReaders(
  options: Partial<slowReaders.SlowReadersOptions> = {},
): slowReaders.SlowReaders {
  return new slowReaders.SlowReaders({
    ...{ now: () => 0, log: silentLog, metrics: statsdMetrics.noop, memoryMegabytes: undefined },
    ...options,
  });
}

/**
 * Creates the server, not yet listening.
 *
 * @param parts - what takes the place of the entry
 * @param state - state of the process; by default it has made no pause, and logs nothing
 * @param readers - counts the streams of callers; checked by the test alone
 * @example
 * ```ts
 * const port = await entryHttpTestHarness.listen(entryHttpTestHarness.createServer({ requests: { generate } }));
 * ```
 */
export function createServer(
  parts: EntryParts,
  state: entryHttp.ProcessState = { recentPause: () => 0, log: silentLog },
  readers = createReaders(),
): http.Server {
  const services = serviceRegistry.create<entryNode.EntryServices>();
  const node = { services, ...parts } as unknown as entryNode.EntryNode;
  const responses = new responseMemory.ResponseMemory(state.log, statsdMetrics.noop);
  return entryHttp.createServer(settings, node, state, unboundedRequests.create(), { responses, readers });
}

/** Lets a server listen; returns its port. */
export async function listen(server: net.Server): Promise<number> {
  server.listen(0, LOCAL);
  await events.EventEmitter.once(server, 'listening');
  return (server.address() as net.AddressInfo).port;
}

/**
 * Starts a server that is closed after a test.
 *
 * @returns its port
 * @example
 * ```ts
 * const port = await entryHttpTestHarness.start(context, { requests: { callService } });
 * ```
 */
export async function start(context: test.TestContext, parts: EntryParts): Promise<number> {
  const server = createServer(parts);
  context.after(() => {
    server.closeAllConnections();
    server.close();
  });
  return listen(server);
}
