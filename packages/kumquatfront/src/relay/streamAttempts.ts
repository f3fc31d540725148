/**
 * Counts the attempts of one stream, and decides whether it may be sent again.
 */
import * as quarantineTypes from '../quarantine/types.js';
import * as exchangeContext from './exchangeContext.js';

/** Attempts of one stream; see the module comment. */
export class StreamAttempts {
  /** Number of attempts that may have run the request, including resumptions. */
  possibleRuns = 0;
  /** Number of sends to upstreams. */
  sends = 0;
  /** Number of resumptions from a memory copy. */
  moves = 0;

  constructor(
    private readonly context: exchangeContext.ExchangeContext,
    private readonly routed: exchangeContext.RoutedRequest,
  ) {}

  /** Counts a send. */
  recordSend(isFromCopy: boolean): void {
    this.sends += 1;
    if (!isFromCopy) {
      this.possibleRuns += 1;
    }
  }

  /** Takes back the last attempt, which has not run. */
  recordNotRun(): void {
    this.possibleRuns -= 1;
  }

  /** True if the route permits another attempt. */
  get areLeft(): boolean {
    const { route } = this.routed;
    return route.resumable && this.possibleRuns < route.maximumAttempts;
  }

  /** Takes one retry from the shared budget if the stream may be sent again; false otherwise. */
  takeResumption(): boolean {
    const { retryBudget, timers } = this.context;
    const verdict = exchangeContext.quarantineVerdictOf(this.context, this.routed);
    return (
      this.areLeft &&
      quarantineTypes.allowsSending(verdict) &&
      retryBudget.take(this.routed.service.name, timers.now())
    );
  }
}
