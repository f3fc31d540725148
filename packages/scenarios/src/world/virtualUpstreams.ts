/**
 * Simulated engines and plain services on the virtual network. Their connections stall when a link is cut, break when
 * a process is killed, and are idle while it is frozen.
 */
import type * as kumquatfront from 'kumquatfront';
import * as standIns from 'kumquatfront-stand-ins';

import type * as host from './host.js';
import type * as network from './network.js';

/** Simulated engine and its host; the address contains the name of the host. */
export interface VirtualEngine {
  readonly host: host.Host;
  model: standIns.engineModel.EngineModel;
  readonly orderReceiver: standIns.orderReceiver.OrderReceiver;
  /** Called for every generation that starts. */
  readonly onStart: (request: standIns.engineTypes.EngineRequest) => void;
}

/** Simulated service and its host. */
export interface VirtualService {
  readonly host: host.Host;
  readonly model: standIns.serviceModel.ServiceModel;
  /** Duration of a call in milliseconds. */
  delay: number;
}

const ADDRESS_PREFIX = 'http://';

function hostOf(target: kumquatfront.streamTypes.UpstreamTarget): string {
  return target.address.slice(ADDRESS_PREFIX.length);
}

/** Connection between an entry and an engine. */
class EngineConnection
  implements kumquatfront.streamTypes.GenerationConnection, standIns.engineTypes.EngineReader
{
  private readonly network: network.Network;
  private readonly entryHost: host.Host;
  private readonly entryIncarnation: number;
  private readonly engine: VirtualEngine;
  private readonly generation: string;
  private readonly listener: kumquatfront.streamTypes.GenerationListener;
  private closed = false;
  /** Set once a message was lost: TCP delivers nothing after a gap. */
  private stalled = false;

  constructor(
    network: network.Network,
    entryHost: host.Host,
    engine: VirtualEngine,
    generation: string,
    listener: kumquatfront.streamTypes.GenerationListener,
  ) {
    this.network = network;
    this.entryHost = entryHost;
    this.entryIncarnation = entryHost.incarnation;
    this.engine = engine;
    this.generation = generation;
    this.listener = listener;
    entryHost.onExit(() => {
      this.engine.model.detach(this.generation, this);
    });
    engine.host.onExit(() => {
      this.deliverToEntry(() => {
        this.fail('broken');
      });
    });
  }

  /** Sends the initial request of the connection; `run` executes at the engine. */
  open(run: () => void): void {
    const { name } = this.engine.host;
    this.network.deliver(this.entryHost.name, name, run, (outcome) => {
      if (outcome === 'hostDown') {
        this.entryHost.runInProcess(this.entryIncarnation, () => {
          this.fail('neverSent');
        });
      }
    });
  }

  /** Delivers to the entry, unless the connection is closed or stalled. */
  deliverToEntry(run: () => void): void {
    if (this.stalled) {
      return;
    }
    this.network.deliver(
      this.engine.host.name,
      this.entryHost.name,
      () => {
        if (!this.closed && !this.stalled) {
          run();
        }
      },
      (outcome) => {
        this.stalled ||= outcome === 'cut';
      },
    );
  }

  accept(): void {
    this.deliverToEntry(() => {
      this.listener.onAccepted();
    });
  }

  refuse(reason: kumquatfront.streamTypes.ConnectionFailure): void {
    this.deliverToEntry(() => {
      this.fail(reason);
    });
  }

  private fail(reason: kumquatfront.streamTypes.ConnectionFailure): void {
    if (!this.closed) {
      this.closed = true;
      this.listener.onFailed(reason, reason);
    }
  }

  token(generation: string, index: number): void {
    this.deliverToEntry(() => {
      const text = standIns.engineModel.tokenText(generation, index);
      this.listener.onToken(generation, index, JSON.stringify({ choices: [{ text }] }));
    });
  }

  ended(generation: string, count: number): void {
    this.deliverToEntry(() => {
      this.closed = true;
      this.listener.onCompleted(generation, count);
    });
  }

  pause(): void {
    this.engine.model.setPaused(this.generation, this, true);
  }

  resume(): void {
    this.engine.model.setPaused(this.generation, this, false);
  }

  close(): void {
    this.closed = true;
    this.network.deliver(this.entryHost.name, this.engine.host.name, () => {
      this.engine.model.detach(this.generation, this);
    });
  }
}

/**
 * Creates the port to engines for one incarnation of an entry.
 *
 * @param entryHost - host of the entry
 * @param engines - looks up an engine by host name
 * @example
 * ```ts
 * const port = virtualUpstreams.createGenerationPort(network, host, (name) => engines.get(name));
 * ```
 */
export function createGenerationPort(
  network: network.Network,
  entryHost: host.Host,
  engines: (name: string) => VirtualEngine | undefined,
): kumquatfront.streamTypes.GenerationPort {
  const entryIncarnation = entryHost.incarnation;
  const connect = (
    target: kumquatfront.streamTypes.UpstreamTarget,
    generation: string,
    listener: kumquatfront.streamTypes.GenerationListener,
    onConnected: (engine: VirtualEngine, connection: EngineConnection) => void,
  ): kumquatfront.streamTypes.GenerationConnection => {
    const engine = engines(hostOf(target));
    if (engine === undefined) {
      entryHost.runInProcess(entryIncarnation, () => {
        listener.onFailed('neverSent', 'no such host');
      });
      return { pause: () => undefined, resume: () => undefined, close: () => undefined };
    }
    const connection = new EngineConnection(network, entryHost, engine, generation, listener);
    connection.open(() => {
      onConnected(engine, connection);
    });
    return connection;
  };
  return {
    start: (target, request, listener) =>
      connect(target, request.generation, listener, (engine, connection) => {
        connection.accept();
        const engineRequest = standIns.requestParser.parse(request);
        engine.model.start(engineRequest, connection);
        engine.onStart(engineRequest);
      }),
    resume: (target, generation, fromIndex, listener) =>
      connect(target, generation, listener, (engine, connection) => {
        if (engine.model.hasGeneration(generation)) {
          connection.accept();
          engine.model.attach(generation, fromIndex, connection);
        } else {
          connection.refuse('unknownGeneration');
        }
      }),
    cancel: (target, generation, ifUnread) => {
      network.deliver(entryHost.name, hostOf(target), () => {
        engines(hostOf(target))?.model.cancel(generation, ifUnread);
      });
    },
  };
}

/**
 * Creates the port to services for one incarnation of an entry.
 *
 * @param services - looks up a service by host name
 * @param scheduler - timers on virtual time
 * @example
 * ```ts
 * const port = virtualUpstreams.createServicePort(network, host, (name) => services.get(name), time);
 * ```
 */
export function createServicePort(
  network: network.Network,
  entryHost: host.Host,
  services: (name: string) => VirtualService | undefined,
  scheduler: kumquatfront.ports.Scheduler,
): kumquatfront.streamTypes.ServicePort {
  const entryIncarnation = entryHost.incarnation;
  return {
    call: (target, call, timeout, listener) => {
      let isPending = true;
      const complete = (run: () => void): void => {
        entryHost.runInProcess(entryIncarnation, () => {
          if (isPending) {
            isPending = false;
            run();
          }
        });
      };
      const fail = (reason: 'neverSent' | 'broken' | 'timeout'): void => {
        complete(() => {
          listener.onFailed(reason);
        });
      };
      scheduler.after(timeout, () => {
        fail('timeout');
      });
      const service = services(hostOf(target));
      if (service === undefined) {
        fail('neverSent');
        return;
      }
      const { name } = service.host;
      const serve = (): void => {
        const body = service.model.run(call.method, call.path, call.idempotencyKey);
        service.host.onExit(() => {
          network.deliver(name, entryHost.name, () => {
            fail('broken');
          });
        });
        scheduler.after(service.delay, () => {
          if (service.host.isUp && !service.host.isFrozen) {
            network.deliver(name, entryHost.name, () => {
              complete(() => {
                listener.onAnswer({ status: 200, contentType: 'application/json', body });
              });
            });
          }
        });
      };
      network.deliver(entryHost.name, name, serve, (outcome) => {
        if (outcome === 'hostDown') {
          fail('neverSent');
        }
      });
    },
  };
}

/**
 * Creates the connection check of upstream addresses for one incarnation of an entry.
 *
 * @param entryHost - host of the entry
 * @returns the check
 * @example
 * ```ts
 * const checkUpstream = virtualUpstreams.createUpstreamCheck(network, host);
 * ```
 */
export function createUpstreamCheck(
  network: network.Network,
  entryHost: host.Host,
): kumquatfront.streamTypes.CheckUpstream {
  const entryIncarnation = entryHost.incarnation;
  return (address, done) => {
    const name = hostOf({ name: '', address });
    const report = (result: kumquatfront.relayTypes.ConnectionCheckResult): void => {
      entryHost.runInProcess(entryIncarnation, () => {
        done(result);
      });
    };
    network.deliver(
      entryHost.name,
      name,
      () => {
        network.deliver(name, entryHost.name, () => {
          report('accepted');
        });
      },
      (outcome) => {
        if (outcome !== 'delivered') {
          report(outcome === 'hostDown' ? 'refused' : 'unknown');
        }
      },
    );
  };
}
