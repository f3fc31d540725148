/**
 * Links between hosts: a latency for each pair, cuts in one or both directions, and loss.
 */
import * as kumquatfront from 'kumquatfront';

import type * as host from './host.js';

/** Latencies one way, in milliseconds. */
export interface NetworkOptions {
  readonly withinDataCentre: number;
  readonly betweenDataCentres: number;
  /** Share of one-way messages that get lost. */
  readonly loss: number;
}

/** What a delivery meets. */
export type DeliveryOutcome = 'delivered' | 'cut' | 'dead';

/** The network; see the module comment. */
export class Network {
  readonly hosts = new Map<string, host.Host>();
  /** JSON characters sent by each host, where counting is on. */
  readonly sent = new Map<string, { messages: number; bytes: number }>();
  countBytes = false;
  private readonly time: kumquatfront.virtualTime.VirtualTime;
  private readonly random: kumquatfront.ports.Random;
  private readonly options: NetworkOptions;
  private readonly lags = new Map<string, number>();
  private readonly cuts = new Set<string>();
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

  /** Makes a link slow in one direction. */
  lag(from: string, to: string, latency: number): void {
    this.lags.set(`${from}>${to}`, latency);
  }

  latency(from: string, to: string): number {
    const lagging = this.lags.get(`${from}>${to}`);
    if (lagging !== undefined) {
      return lagging;
    }
    const same = this.hosts.get(from)?.dataCentre === this.hosts.get(to)?.dataCentre;
    return same ? this.options.withinDataCentre : this.options.betweenDataCentres;
  }

  /** Cuts the link in one direction. */
  cutOneWay(from: string, to: string): void {
    this.cuts.add(`${from}>${to}`);
  }

  cut(left: string, right: string): void {
    this.cutOneWay(left, right);
    this.cutOneWay(right, left);
  }

  heal(): void {
    this.cuts.clear();
  }

  isCut(from: string, to: string): boolean {
    return this.cuts.has(`${from}>${to}`);
  }

  /** Runs something at another host after the latency; `done` tells what the delivery met there. */
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
        done('dead');
      } else {
        target.enter(target.currentLife, run);
        done('delivered');
      }
    });
  }

  private count(from: string, method: string, parameters: unknown): void {
    if (this.countBytes) {
      const counter = this.sent.get(from) ?? { messages: 0, bytes: 0 };
      this.sent.set(from, counter);
      counter.messages += 1;
      counter.bytes += JSON.stringify({ jsonrpc: '2.0', method, params: parameters }).length + 1;
    }
  }

  /** The transport of the present life of a host. */
  transportOf(own: host.Host): kumquatfront.ports.PeerTransport {
    const { name } = own;
    const life = own.currentLife;
    const served = new Map<string, kumquatfront.ports.PeerHandler>();
    this.handlers.set(name, served);
    return {
      serve: (method, handler) => {
        served.set(method, handler);
      },
      notify: (address, method, parameters) => {
        this.count(name, method, parameters);
        if (this.random.next() >= this.options.loss) {
          const copy = clone(parameters);
          this.deliver(name, address, () => {
            this.handlers.get(address)?.get(method)?.(copy, () => undefined);
          });
        }
      },
      request: (address, method, parameters, timeout, done) => {
        this.count(name, method, parameters);
        this.request(own, life, { address, method, parameters: clone(parameters), timeout }, done);
      },
    };
  }

  private request(
    own: host.Host,
    life: number,
    call: { address: string; method: string; parameters: unknown; timeout: number },
    done: kumquatfront.ports.Reply,
  ): void {
    let open = true;
    const finish: kumquatfront.ports.Reply = (result) => {
      own.enter(life, () => {
        if (open) {
          open = false;
          cancel();
          done(result);
        }
      });
    };
    const { address, method, parameters, timeout } = call;
    const cancel = this.time.after(timeout, () => {
      finish(kumquatfront.results.Err(kumquatfront.failures.create('timeout', 'No answer.', 'Ask again.')));
    });
    this.deliver(
      own.name,
      address,
      () => {
        const answer: kumquatfront.ports.Reply = (result) => {
          this.count(address, 'answer', result.val);
          this.deliver(address, own.name, () => {
            finish(cloneResult(result));
          });
        };
        this.handlers.get(address)?.get(method)?.(parameters, answer);
      },
      (outcome) => {
        if (outcome === 'dead') {
          finish(
            kumquatfront.results.Err(kumquatfront.failures.create('unreachable', 'Refused.', 'Ask another.')),
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
