/**
 * Composition root of the control daemon: creates a control replica and its adapters from settings.
 */
import * as kumquatfront from 'kumquatfront';

/** A running control replica. */
export interface RunningControl {
  readonly log: kumquatfront.ports.Log;
  readonly node: kumquatfront.controlNode.ControlNode;
  readonly transport: kumquatfront.jsonRpcTransport.JsonRpcTransport;
  /** Waits for operators' requests in flight, closes everything, then calls back. */
  stop(done: () => void): void;
}

/**
 * Starts a control replica.
 *
 * @param onFatal - called when the disk fails; the process must exit
 * @returns the running replica, or the failure to open its data folder
 * @example
 * ```ts
 * const started = controlDaemon.start(settings, () => process.exit(1));
 * ```
 */
export function start(
  settings: kumquatfront.settingsLoader.ControlDaemonSettings,
  onFatal: (reason: string) => void,
): kumquatfront.results.Result<RunningControl, kumquatfront.failures.Failure> {
  const { control } = settings;
  const log = kumquatfront.keyValueLog.create(control.name, settings.logLevel);
  const { scheduler, clock } = kumquatfront.systemTime;
  const transport = kumquatfront.jsonRpcTransport.create({ clusterKey: settings.clusterKey, scheduler, log });
  const disk = kumquatfront.fileDisk.open(settings.dataFolder, (error) => {
    onFatal(error instanceof Error ? error.message : String(error));
  });
  const metrics = kumquatfront.statsdMetrics.create(settings.metrics, control.name);
  return kumquatfront.controlNode
    .create(control, {
      clock,
      scheduler,
      random: kumquatfront.seededRandom.createUnpredictable(),
      peers: transport,
      log,
      metrics,
      disk,
    })
    .map((node) => {
      const { operatorKeyHash } = settings;
      const requests = new kumquatfront.heldRequests.HeldRequests({
        ...{ clock, scheduler, log, metrics, bounds: settings.callerBounds },
      });
      const watched = kumquatfront.processMemory.watch({ log, metrics, requests, transport });
      const server = kumquatfront.controlHttp.createServer({
        node,
        peers: transport,
        operatorKeyHash,
        controlAddresses: control.control,
        requests,
      });
      const [host = '', port = ''] = settings.operatorListen.split(':');
      server.listen(Number(port), host, () => {
        log.info('listening', { operators: settings.operatorListen, peers: control.peerAddress });
      });
      transport.listen(control.peerAddress, () => undefined);
      return {
        log,
        node,
        transport,
        stop: (done) => {
          // Operators' requests in flight are completed first. Entries need no such care: they retry on another replica.
          server.close(() => {
            node.stop();
            watched.stop();
            transport.close();
            done();
          });
          server.closeIdleConnections();
        },
      };
    });
}
