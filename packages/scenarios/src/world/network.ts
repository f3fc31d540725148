/**
 * Simulated network: latency for each pair of hosts, cut links in one or both directions, and message loss.
 */
import * as kumquatfront from 'kumquatfront';

import type * as host from './host.js';

/** Latencies are one-way, in milliseconds. */
export interface NetworkOptions {
  readonly withinDataCentre: number;
  readonly betweenDataCentres: number;
  /** Share of notifications that are lost. */
  readonly loss: number;
}

/** Result of a delivery; `hostDown` when no process runs at the target. */
export type DeliveryOutcome = 'delivered' | 'cut' | 'hostDown';

/** Simulated network. */
export class Network {
  readonly hosts = new Map<string, host.Host>();
  /** Messages and JSON characters sent by each host; recorded only with `countBytes`. */
  readonly sent = new Map<string, { messages: number; bytes: number }>();
  countBytes = false;
  private readonly time: kumquatfront.virtualTime.VirtualTime;
  private readonly random: kumquatfront.ports.Random;
  private readonly options: NetworkOptions;
  private readonly latencyOverrides = new Map<string, number>();
  private readonly cutLinks = new Set<string>();
  private readonly handlers = new Map<string, Map<string, kumquatfront.ports.PeerHandler>>();

  constructor(
    time: kumquatfront.virtualTime.VirtualTime,
    random: kumquatfront.ports.Random,
    options: NetworkOptions,
  ) {
    this.time = time;
    this.random = random;
    this.options = options;
  }

  /** Overrides the latency of a link in one direction. */
  setLatency(from: string, to: string, latency: number): void {
    this.latencyOverrides.set(`${from}>${to}`, latency);
  }

  latency(from: string, to: string): number {
    const override = this.latencyOverrides.get(`${from}>${to}`);
    if (override !== undefined) {
      return override;
    }
    const isSameDataCentre = this.hosts.get(from)?.dataCentre === this.hosts.get(to)?.dataCentre;
    return isSameDataCentre ? this.options.withinDataCentre : this.options.betweenDataCentres;
  }

  /** Cuts the link in one direction. */
  cutOneWay(from: string, to: string): void {
    this.cutLinks.add(`${from}>${to}`);
  }

  cut(left: string, right: string): void {
    this.cutOneWay(left, right);
    this.cutOneWay(right, left);
  }

  heal(): void {
    this.cutLinks.clear();
  }

  isCut(from: string, to: string): boolean {
    return this.cutLinks.has(`${from}>${to}`);
  }

  /** Runs a callback at another host after the latency and reports the outcome to `done`. */
  deliver(
    from: string,
    to: string,
    run: () => void,
    done: (outcome: DeliveryOutcome) => void = () => undefined,
  ): void {
    if (this.isCut(from, to)) {
      done('cut');
      return;
    }
    this.time.after(this.latency(from, to), () => {
      const target = this.hosts.get(to);
      if (this.isCut(from, to)) {
        done('cut');
      } else if (target?.isUp !== true) {
        done('hostDown');
      } else {
        target.runInProcess(target.incarnation, run);
        done('delivered');
      }
    });
  }

  private recordSent(from: string, method: string, parameters: unknown): void {
    if (this.countBytes) {
      const counter = this.sent.get(from) ?? { messages: 0, bytes: 0 };
      this.sent.set(from, counter);
      counter.messages += 1;
      counter.bytes += JSON.stringify({ jsonrpc: '2.0', method, params: parameters }).length + 1;
    }
  }

  /** Creates the transport of the current incarnation of a host. */
  transportOf(localHost: host.Host): kumquatfront.ports.PeerTransport {
    const { name } = localHost;
    const incarnation = localHost.incarnation;
    const hostHandlers = new Map<string, kumquatfront.ports.PeerHandler>();
    this.handlers.set(name, hostHandlers);
    return {
      serve: (method, handler) => {
        hostHandlers.set(method, handler);
      },
      notify: (address, method, parameters) => {
        this.recordSent(name, method, parameters);
        if (this.random.next() >= this.options.loss) {
          const copy = clone(parameters);
          this.deliver(name, address, () => {
            this.handlers.get(address)?.get(method)?.(copy, () => undefined);
          });
        }
      },
      request: (address, method, parameters, timeout, done) => {
        this.recordSent(name, method, parameters);
        this.request(
          localHost,
          incarnation,
          { address, method, parameters: clone(parameters), timeout },
          done,
        );
      },
    };
  }

  private request(
    localHost: host.Host,
    incarnation: number,
    call: { address: string; method: string; parameters: unknown; timeout: number },
    done: kumquatfront.ports.Reply,
  ): void {
    let isPending = true;
    const complete: kumquatfront.ports.Reply = (result) => {
      localHost.runInProcess(incarnation, () => {
        if (isPending) {
          isPending = false;
          cancel();
          done(result);
        }
      });
    };
    const { address, method, parameters, timeout } = call;
    const cancel = this.time.after(timeout, () => {
      complete(
        kumquatfront.results.Err(
          kumquatfront.failures.create('timeout', 'No response within the timeout.', 'Retry the request.'),
        ),
      );
    });
    this.deliver(
      localHost.name,
      address,
      () => {
        const respond: kumquatfront.ports.Reply = (result) => {
          this.recordSent(address, 'answer', result.val);
          this.deliver(address, localHost.name, () => {
            complete(cloneResult(result));
          });
        };
        this.handlers.get(address)?.get(method)?.(parameters, respond);
      },
      (outcome) => {
        if (outcome === 'hostDown') {
          complete(
            kumquatfront.results.Err(
              kumquatfront.failures.create('unreachable', 'Connection refused.', 'Retry at another replica.'),
            ),
          );
        }
      },
    );
  }
}

function clone(value: unknown): unknown {
  return value === undefined ? undefined : JSON.parse(JSON.stringify(value));
}

function cloneResult(
  result: kumquatfront.results.Result<unknown, kumquatfront.failures.Failure>,
): kumquatfront.results.Result<unknown, kumquatfront.failures.Failure> {
  return result.ok
    ? kumquatfront.results.Ok(clone(result.val))
    : kumquatfront.results.Err(clone(result.val) as kumquatfront.failures.Failure);
}
