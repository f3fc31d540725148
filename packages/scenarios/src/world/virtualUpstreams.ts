/**
 * Engines and plain services on the virtual network: connections that hang when a link is cut, break when a
 * process dies, and stay silent when it is frozen.
 */
import type * as kumquatfront from 'kumquatfront';
import * as standIns from 'kumquatfront-stand-ins';

import type * as host from './host.js';
import type * as network from './network.js';

/** An engine with the host it runs on; its address is the host's name. */
export interface VirtualEngine {
  readonly host: host.Host;
  model: standIns.engineModel.EngineModel;
  readonly orders: standIns.orderBook.OrderBook;
  /** Called with every generation that begins. */
  readonly onStart: (order: standIns.engineTypes.EngineOrder) => void;
}

/** A service with the host it runs on. */
export interface VirtualService {
  readonly host: host.Host;
  readonly model: standIns.serviceModel.ServiceModel;
  /** Milliseconds a call takes. */
  delay: number;
}

const ADDRESS_PREFIX = 'http://';

function hostOf(target: kumquatfront.streamTypes.UpstreamTarget): string {
  return target.address.slice(ADDRESS_PREFIX.length);
}

/** One connection between an entry and an engine. */
class Connection implements kumquatfront.streamTypes.GenerationConnection, standIns.engineTypes.EngineReader {
  private readonly net: network.Network;
  private readonly own: host.Host;
  private readonly life: number;
  private readonly engine: VirtualEngine;
  private readonly generation: string;
  private readonly listener: kumquatfront.streamTypes.GenerationListener;
  private closed = false;
  /** Set once something was lost on the way: TCP delivers nothing behind a gap. */
  private hung = false;

  constructor(
    net: network.Network,
    own: host.Host,
    engine: VirtualEngine,
    generation: string,
    listener: kumquatfront.streamTypes.GenerationListener,
  ) {
    this.net = net;
    this.own = own;
    this.life = own.currentLife;
    this.engine = engine;
    this.generation = generation;
    this.listener = listener;
    own.whenDead(() => {
      this.engine.model.detach(this.generation, this);
    });
    engine.host.whenDead(() => {
      this.toEntry(() => {
        this.fail('broken');
      });
    });
  }

  /** Sends the first request of the connection; `run` acts at the engine. */
  open(run: () => void): void {
    const { name } = this.engine.host;
    this.net.deliver(this.own.name, name, run, (outcome) => {
      if (outcome === 'dead') {
        this.own.enter(this.life, () => {
          this.fail('neverSent');
        });
      }
    });
  }

  toEntry(run: () => void): void {
    if (this.hung) {
      return;
    }
    this.net.deliver(
      this.engine.host.name,
      this.own.name,
      () => {
        if (!this.closed && !this.hung) {
          run();
        }
      },
      (outcome) => {
        this.hung ||= outcome === 'cut';
      },
    );
  }

  accept(): void {
    this.toEntry(() => {
      this.listener.opened();
    });
  }

  refuse(reason: kumquatfront.streamTypes.ConnectionFailure): void {
    this.toEntry(() => {
      this.fail(reason);
    });
  }

  private fail(reason: kumquatfront.streamTypes.ConnectionFailure): void {
    if (!this.closed) {
      this.closed = true;
      this.listener.failed(reason, reason);
    }
  }

  token(generation: string, index: number): void {
    this.toEntry(() => {
      const text = standIns.engineModel.tokenText(generation, index);
      this.listener.token(generation, index, JSON.stringify({ choices: [{ text }] }));
    });
  }

  ended(generation: string, count: number): void {
    this.toEntry(() => {
      this.closed = true;
      this.listener.ended(generation, count);
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
    this.net.deliver(this.own.name, this.engine.host.name, () => {
      this.engine.model.detach(this.generation, this);
    });
  }
}

/**
 * The port to engines for one life of an entry.
 *
 * @param net - the network
 * @param own - the entry's host
 * @param engines - finds an engine by its host's name
 * @returns the port
 * @example
 * ```ts
 * const port = virtualUpstreams.createEngines(net, host, (name) => engines.get(name));
 * ```
 */
export function createEngines(
  net: network.Network,
  own: host.Host,
  engines: (name: string) => VirtualEngine | undefined,
): kumquatfront.streamTypes.GenerationPort {
  const life = own.currentLife;
  const connect = (
    target: kumquatfront.streamTypes.UpstreamTarget,
    generation: string,
    listener: kumquatfront.streamTypes.GenerationListener,
    act: (engine: VirtualEngine, connection: Connection) => void,
  ): kumquatfront.streamTypes.GenerationConnection => {
    const engine = engines(hostOf(target));
    if (engine === undefined) {
      own.enter(life, () => {
        listener.failed('neverSent', 'no such host');
      });
      return { pause: () => undefined, resume: () => undefined, close: () => undefined };
    }
    const connection = new Connection(net, own, engine, generation, listener);
    connection.open(() => {
      act(engine, connection);
    });
    return connection;
  };
  return {
    start: (target, order, listener) =>
      connect(target, order.generation, listener, (engine, connection) => {
        connection.accept();
        const read = standIns.orderReader.read(order);
        engine.model.start(read, connection);
        engine.onStart(read);
      }),
    resume: (target, generation, fromIndex, listener) =>
      connect(target, generation, listener, (engine, connection) => {
        if (engine.model.knows(generation)) {
          connection.accept();
          engine.model.attach(generation, fromIndex, connection);
        } else {
          connection.refuse('unknownGeneration');
        }
      }),
    cancel: (target, generation, ifUnread) => {
      net.deliver(own.name, hostOf(target), () => {
        engines(hostOf(target))?.model.cancel(generation, ifUnread);
      });
    },
  };
}

/**
 * The port to services for one life of an entry.
 *
 * @param net - the network
 * @param own - the entry's host
 * @param services - finds a service by its host's name
 * @param scheduler - the world's timers
 * @returns the port
 * @example
 * ```ts
 * const port = virtualUpstreams.createServices(net, host, (name) => services.get(name), time);
 * ```
 */
export function createServices(
  net: network.Network,
  own: host.Host,
  services: (name: string) => VirtualService | undefined,
  scheduler: kumquatfront.ports.Scheduler,
): kumquatfront.streamTypes.ServicePort {
  const life = own.currentLife;
  return {
    call: (target, call, timeout, listener) => {
      let open = true;
      const finish = (run: () => void): void => {
        own.enter(life, () => {
          if (open) {
            open = false;
            run();
          }
        });
      };
      const fail = (reason: 'neverSent' | 'broken' | 'timeout'): void => {
        finish(() => {
          listener.failed(reason);
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
        service.host.whenDead(() => {
          net.deliver(name, own.name, () => {
            fail('broken');
          });
        });
        scheduler.after(service.delay, () => {
          if (service.host.isUp && !service.host.isFrozen) {
            net.deliver(name, own.name, () => {
              finish(() => {
                listener.answered({ status: 200, contentType: 'application/json', body });
              });
            });
          }
        });
      };
      net.deliver(own.name, name, serve, (outcome) => {
        if (outcome === 'dead') {
          fail('neverSent');
        }
      });
    },
  };
}

/**
 * The check of upstreams' addresses for one life of an entry.
 *
 * @param net - the network
 * @param own - the entry's host
 * @returns the check
 * @example
 * ```ts
 * const checkUpstream = virtualUpstreams.createCheck(net, host);
 * ```
 */
export function createCheck(net: network.Network, own: host.Host): kumquatfront.streamTypes.CheckUpstream {
  const life = own.currentLife;
  return (address, done) => {
    const name = hostOf({ name: '', address });
    const tell = (sign: kumquatfront.relayTypes.ConnectionSign): void => {
      own.enter(life, () => {
        done(sign);
      });
    };
    net.deliver(
      own.name,
      name,
      () => {
        net.deliver(name, own.name, () => {
          tell('accepted');
        });
      },
      (outcome) => {
        if (outcome !== 'delivered') {
          tell(outcome === 'dead' ? 'refused' : 'unknown');
        }
      },
    );
  };
}
