/** Test transport between simulated processes on virtual time, which loses, delays and cuts messages. */
import * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import type * as virtualTime from '../kernel/virtualTime.js';

const LATENCY: ports.Milliseconds = 1;

/** What happens to a message: it arrives, it or its answer is lost, or it arrives after a delay. */
export type Fate = 'arrives' | 'isLost' | 'answerIsLost' | { readonly delay: ports.Milliseconds };

/** Delivers messages between processes; a process that was stopped neither sends nor receives. */
export class RelayTestTransport {
  /** Decides what happens to each message. */
  fateOf: (method: string, to: string, count: number) => Fate = () => 'arrives';
  private readonly handlers = new Map<string, Map<string, ports.PeerHandler>>();
  private readonly counts = new Map<string, number>();

  constructor(private readonly time: virtualTime.VirtualTime) {}

  /** Stops a process; a new one may start at its address. */
  stop(address: string): void {
    this.handlers.delete(address);
  }

  /** Transport of the process at an address. */
  portOf(address: string): ports.PeerTransport {
    const own = new Map<string, ports.PeerHandler>();
    this.handlers.set(address, own);
    const isRunning = (): boolean => this.handlers.get(address) === own;
    const deliver = (to: string, method: string, parameters: unknown, reply: ports.Reply): void => {
      const count = (this.counts.get(method) ?? 0) + 1;
      this.counts.set(method, count);
      const fate = this.fateOf(method, to, count);
      if (fate === 'isLost') {
        return;
      }
      this.time.after(typeof fate === 'object' ? fate.delay : LATENCY, () => {
        const receiver = this.handlers.get(to);
        receiver?.get(method)?.(JSON.parse(JSON.stringify(parameters)), (result) => {
          this.time.after(LATENCY, () => {
            if (fate !== 'answerIsLost' && isRunning() && this.handlers.get(to) === receiver) {
              reply(result);
            }
          });
        });
      });
    };
    return {
      request: (to, method, parameters, timeout, done) => {
        let isOpen = true;
        const finish: ports.Reply = (result) => {
          if (isOpen && isRunning()) {
            isOpen = false;
            done(result);
          }
        };
        this.time.after(timeout, () => {
          finish(results.Err(failures.create('timeout', 'The peer did not answer in time.', 'Retry.')));
        });
        deliver(to, method, parameters, finish);
      },
      notify: (to, method, parameters) => {
        deliver(to, method, parameters, () => undefined);
      },
      serve: (method, handler) => {
        own.set(method, handler);
      },
    };
  }
}
