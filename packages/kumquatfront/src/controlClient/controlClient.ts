/**
 * Calls to control from an entry: it finds the leader, follows hints and turns to other replicas. A call
 * ends in an answer or, at its deadline, in a failure.
 */
import * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import type * as timerService from '../kernel/timerService.js';

/** What the client is made from. */
export interface ControlClientOptions {
  readonly addresses: readonly string[];
  readonly peers: ports.PeerTransport;
  readonly timers: timerService.TimerService;
  /** Milliseconds one replica has to answer before the next is asked. */
  readonly attemptTimeout: number;
}

const PAUSE_BETWEEN_ROUNDS = 100;

function leaderHint(failure: failures.Failure): string | undefined {
  const leader = failure.kind === 'notLeader' ? failure.detail?.leader : undefined;
  return typeof leader === 'string' ? leader : undefined;
}

/** Failures after which another replica may do better. */
function isWorthRetrying(failure: failures.Failure): boolean {
  return ['notLeader', 'noQuorum', 'timeout', 'unreachable', 'stale'].includes(failure.kind);
}

/** The client; see the module comment. */
export class ControlClient {
  private readonly options: ControlClientOptions;
  private position = 0;

  constructor(options: ControlClientOptions) {
    this.options = options;
  }

  get addresses(): readonly string[] {
    return this.options.addresses;
  }

  private current(): string {
    const { addresses } = this.options;
    return addresses[this.position % addresses.length] ?? '';
  }

  /**
   * Calls the leader. The call may reach more than one replica or the same one twice, so it must be safe to
   * repeat: claims carry their attempt, changes their change id.
   */
  callLeader(method: string, parameters: unknown, deadline: number, done: ports.Reply): void {
    const { peers, timers, attemptTimeout } = this.options;
    const endsAt = timers.now() + deadline;
    let tries = 0;
    const attempt = (address: string): void => {
      const left = endsAt - timers.now();
      if (left <= 0) {
        done(results.Err(this.unavailable()));
        return;
      }
      peers.request(address, method, parameters, Math.min(attemptTimeout, left), (result) => {
        if (result.ok || !isWorthRetrying(result.val)) {
          this.remember(address);
          done(result);
          return;
        }
        tries += 1;
        this.next(address, result.val, tries, attempt);
      });
    };
    attempt(this.current());
  }

  private remember(address: string): void {
    const position = this.options.addresses.indexOf(address);
    this.position = position >= 0 ? position : this.position;
  }

  private next(
    failed: string,
    failure: failures.Failure,
    tries: number,
    attempt: (address: string) => void,
  ): void {
    const hint = leaderHint(failure);
    if (hint !== undefined && hint !== failed) {
      attempt(hint);
      return;
    }
    this.position += 1;
    // After a whole round without a leader an election is probably under way.
    const pause = tries % this.options.addresses.length === 0 ? PAUSE_BETWEEN_ROUNDS : 0;
    this.options.timers.after(pause, () => {
      attempt(this.current());
    });
  }

  private unavailable(): failures.Failure {
    return failures.create(
      'noQuorum',
      'No control replica that leads could be reached.',
      'Try again later; `kumquatfront status` shows which control VMs answer.',
    );
  }
}
