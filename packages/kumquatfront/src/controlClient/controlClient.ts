/**
 * Client of an entry for calls to control. It finds the leader, follows leader hints and retries on other
 * replicas until an answer arrives or the timeout of the call expires.
 */
import * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import type * as timerService from '../kernel/timerService.js';

/** Options of a control client. */
export interface ControlClientOptions {
  readonly addresses: readonly string[];
  readonly peers: ports.PeerTransport;
  readonly timers: timerService.TimerService;
  /** Milliseconds that one replica has to answer before the call is sent to the next. */
  readonly attemptTimeout: number;
}

const ROUND_RETRY_DELAY = 100;

function leaderHint(failure: failures.Failure): string | undefined {
  const leader = failure.kind === 'notLeader' ? failure.detail?.leader : undefined;
  return typeof leader === 'string' ? leader : undefined;
}

/** True for failures after which another replica may answer. */
function isRetryable(failure: failures.Failure): boolean {
  return ['notLeader', 'noQuorum', 'timeout', 'unreachable', 'stale'].includes(failure.kind);
}

/** Calls the leader of control; see the module comment. */
export class ControlClient {
  private readonly options: ControlClientOptions;
  private addressIndex = 0;

  constructor(options: ControlClientOptions) {
    this.options = options;
  }

  get addresses(): readonly string[] {
    return this.options.addresses;
  }

  private currentAddress(): string {
    const { addresses } = this.options;
    return addresses[this.addressIndex % addresses.length] ?? '';
  }

  /**
   * Calls the leader. The call may be delivered more than once, so it must be idempotent: claims carry their
   * attempt, changes their change id.
   */
  callLeader(method: string, parameters: unknown, timeout: number, done: ports.Reply): void {
    const { peers, timers, attemptTimeout } = this.options;
    const deadlineAt = timers.now() + timeout;
    let failedAttempts = 0;
    const attempt = (address: string): void => {
      const remaining = deadlineAt - timers.now();
      if (remaining <= 0) {
        done(results.Err(this.noLeaderFailure()));
        return;
      }
      peers.request(address, method, parameters, Math.min(attemptTimeout, remaining), (result) => {
        if (result.ok || !isRetryable(result.val)) {
          this.preferAddress(address);
          done(result);
          return;
        }
        failedAttempts += 1;
        this.tryNextAddress(address, result.val, failedAttempts, attempt);
      });
    };
    attempt(this.currentAddress());
  }

  private preferAddress(address: string): void {
    const index = this.options.addresses.indexOf(address);
    this.addressIndex = index >= 0 ? index : this.addressIndex;
  }

  private tryNextAddress(
    failed: string,
    failure: failures.Failure,
    failedAttempts: number,
    attempt: (address: string) => void,
  ): void {
    const hint = leaderHint(failure);
    if (hint !== undefined && hint !== failed) {
      attempt(hint);
      return;
    }
    this.addressIndex += 1;
    // If no replica led in a complete round, an election is probably in progress.
    const delay = failedAttempts % this.options.addresses.length === 0 ? ROUND_RETRY_DELAY : 0;
    this.options.timers.after(delay, () => {
      attempt(this.currentAddress());
    });
  }

  private noLeaderFailure(): failures.Failure {
    return failures.create(
      'noQuorum',
      'No leading control replica could be reached.',
      'Try again later; `kumquatfront status` shows which control VMs answer.',
    );
  }
}
