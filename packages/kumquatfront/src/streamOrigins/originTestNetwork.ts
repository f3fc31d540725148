/**
 * Test harness of processes that keep origins for each other: messages on virtual time, and processes that do not answer.
 */
import * as seededRandom from '../adapters/seededRandom.js';
import * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import * as timerService from '../kernel/timerService.js';
import * as virtualTime from '../kernel/virtualTime.js';
import * as rendezvousHashing from '../utils/rendezvousHashing.js';
import * as messages from './messages.js';
import * as originKeeper from './originKeeper.js';
import type * as originStore from './originStore.js';
import * as streamOrigins from './streamOrigins.js';

const LATENCY: ports.Milliseconds = 2;

const noop = (): void => undefined;

/** Processes of the harness; see the module comment. */
export class OriginTestNetwork {
  readonly time = new virtualTime.VirtualTime();
  readonly timers = timerService.create(this.time.clock, this.time);
  readonly log: ports.Log = { debug: noop, info: noop, warn: noop, error: noop };
  readonly metrics: ports.Metrics = { count: noop, gauge: noop, timing: noop };
  readonly random = seededRandom.create(4);
  /** Addresses of processes that do not answer. */
  readonly silent = new Set<string>();
  /** Methods called, with the address. */
  readonly calls: string[] = [];
  private readonly handlers = new Map<string, Map<string, ports.PeerHandler>>();

  /** Transport of the process at an address. */
  transportOf(own: string): ports.PeerTransport {
    const send = (address: string, method: string, parameters: unknown, reply: ports.Reply): void => {
      this.calls.push(`${method} ${address}`);
      this.time.after(LATENCY, () => {
        if (!this.silent.has(address) && !this.silent.has(own)) {
          this.handlers.get(address)?.get(method)?.(JSON.parse(JSON.stringify(parameters)), (result) => {
            this.time.after(LATENCY, () => {
              reply(result);
            });
          });
        }
      });
    };
    return {
      request: (address, method, parameters, timeout, done) => {
        let isDone = false;
        const finish: ports.Reply = (result) => {
          if (!isDone) {
            isDone = true;
            done(result);
          }
        };
        this.time.after(timeout, () => {
          finish(results.Err(failures.create('timeout', 'The process did not answer.', 'Ask again.')));
        });
        send(address, method, parameters, finish);
      },
      notify: (address, method, parameters) => {
        send(address, method, parameters, noop);
      },
      serve: (method, handler) => {
        const served = this.handlers.get(own) ?? new Map<string, ports.PeerHandler>();
        this.handlers.set(own, served.set(method, handler));
      },
    };
  }

  /** Starts a control replica that lists entries; replaces one at its address. */
  startReplica(address: string, entries: () => readonly string[] = () => []): originStore.OriginStore {
    this.handlers.delete(address);
    const peers = this.transportOf(address);
    const { timers, metrics } = this;
    peers.serve(messages.methods.entries, (parameters, reply) => {
      const { digest } = parameters as messages.EntriesRequest;
      const addresses = entries();
      reply(results.Ok(rendezvousHashing.digestOf(addresses) === digest ? {} : { addresses }));
    });
    return originKeeper.serve({ timers, peers, metrics, capacity: 1_000 });
  }

  /** Starts an entry; replaces one at its address. */
  startEntry(address: string, replicas: readonly string[]): streamOrigins.StreamOrigins {
    this.handlers.delete(address);
    const { timers, random, log, metrics } = this;
    return new streamOrigins.StreamOrigins({
      ...{ timers, random, log, metrics, peerAddress: address },
      peers: this.transportOf(address),
      replicas: () => replicas,
    });
  }
}
