/**
 * Composition root of the entry daemon: creates an entry and its adapters from settings.
 */
import type * as http from 'node:http';

import * as kumquatfront from 'kumquatfront';

/** A running entry. */
export interface RunningEntry {
  readonly log: kumquatfront.ports.Log;
  readonly node: kumquatfront.entryNode.EntryNode;
  readonly transport: kumquatfront.jsonRpcTransport.JsonRpcTransport;
  /** Drains the entry, closes everything, then calls back. */
  drain(done: () => void): void;
}

function createPorts(
  settings: kumquatfront.settingsLoader.EntryDaemonSettings,
  transport: kumquatfront.jsonRpcTransport.JsonRpcTransport,
  log: kumquatfront.ports.Log,
  onDrainRequest: () => void,
): {
  readonly ports: kumquatfront.entryTypes.EntryPorts;
  readonly responses: kumquatfront.responseMemory.ResponseMemory;
} {
  const metrics = kumquatfront.statsdMetrics.create(settings.metrics, settings.entry.name);
  const responses = new kumquatfront.responseMemory.ResponseMemory(log, metrics);
  const ports = {
    clock: kumquatfront.systemTime.clock,
    scheduler: kumquatfront.systemTime.scheduler,
    random: kumquatfront.seededRandom.createUnpredictable(),
    peers: transport,
    log,
    metrics,
    engines: kumquatfront.httpUpstreams.createGenerationPort(responses),
    services: kumquatfront.httpUpstreams.createServicePort(responses),
    checkUpstream: kumquatfront.httpUpstreams.createConnectionCheck(kumquatfront.systemTime.scheduler),
    orders: kumquatfront.httpUpstreams.createOrderPort(responses),
    onDrainRequest,
  };
  return { ports, responses };
}

function closeServer(server: http.Server, done: () => void): void {
  server.close(() => {
    done();
  });
  server.closeIdleConnections();
}

/**
 * Starts an entry.
 *
 * @param onDrainRequest - called when an operator requests a drain through control
 * @returns the running entry
 * @example
 * ```ts
 * const running = entryDaemon.start(settings, drain);
 * process.on('SIGTERM', () => running.drain(() => process.exit(0)));
 * ```
 */
export function start(
  settings: kumquatfront.settingsLoader.EntryDaemonSettings,
  onDrainRequest: () => void,
): RunningEntry {
  const log = kumquatfront.keyValueLog.create(settings.entry.name, settings.logLevel);
  const transport = kumquatfront.jsonRpcTransport.create({
    clusterKey: settings.clusterKey,
    scheduler: kumquatfront.systemTime.scheduler,
    log,
  });
  const { ports, responses } = createPorts(settings, transport, log, onDrainRequest);
  const node = kumquatfront.entryNode.create(settings.entry, ports);
  const timers = node.services.find('timers');
  const pauses = new kumquatfront.pauseMonitor.PauseMonitor({ ...ports, timers });
  const recentPause = (): number => pauses.recentPause();
  const requests = new kumquatfront.heldRequests.HeldRequests({ ...ports, bounds: settings.callerBounds });
  const watched = kumquatfront.processMemory.watch({ log, metrics: ports.metrics, requests, transport });
  watched.held.register(kumquatfront.heldMemoryHolders.of('responses', responses));
  // The settings of this daemon state no memory.
  const readers = kumquatfront.slowReaders.startChecked({ ...ports, timers, memoryMegabytes: undefined });
  watched.held.register(kumquatfront.heldMemoryHolders.of('unread', readers));
  const shedding = kumquatfront.processMemory.shed(watched.held, ports);
  const refusesNew = (): boolean => shedding.refusesNew();
  const state = { log, recentPause, refusesNew };
  const answers = { responses, readers };
  const server = kumquatfront.entryHttp.createServer(settings.entry, node, state, requests, answers);
  const [host = '', port = ''] = settings.callerListen.split(':');
  server.listen(Number(port), host, () => {
    log.info('listening', { callers: settings.callerListen, peers: settings.entry.peerAddress });
  });
  transport.listen(settings.entry.peerAddress, () => undefined);
  return {
    log,
    node,
    transport,
    drain: (done) => {
      node.drain(() => {
        closeServer(server, () => {
          node.stop();
          watched.stop();
          transport.close();
          done();
        });
      });
    },
  };
}
