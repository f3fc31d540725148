/**
 * Entry-side client for claims. Claims made within the batch window are sent in one request, so that control commits
 * them with a single log sync.
 */
import type * as agreedState from '../agreedState/types.js';
import type * as controlClient from '../controlClient/controlClient.js';
import * as methods from '../controlNode/methods.js';
import type * as failures from '../kernel/failures.js';
import * as results from '../kernel/results.js';
import type * as timerService from '../kernel/timerService.js';

/** Times in milliseconds. */
export interface ClaimClientSettings {
  /** Time for which claims are collected before a batch is sent. */
  readonly batchWindow: number;
  /** Time within which a claim must be committed; after that the call is refused as not run. */
  readonly claimDeadline: number;
  /** Time for which recording an outcome is retried. */
  readonly settleDeadline: number;
}

type ClaimCallback = (result: results.Result<agreedState.ClaimAnswer, failures.Failure>) => void;

interface PendingClaim {
  readonly command: agreedState.ClaimCommand;
  readonly done: ClaimCallback;
}

const BATCH_LIMIT = 64;

/** Batches claims and records their outcomes. */
export class ClaimClient {
  private readonly control: controlClient.ControlClient;
  private readonly timers: timerService.TimerService;
  private readonly settings: ClaimClientSettings;
  private pending: PendingClaim[] = [];

  constructor(
    control: controlClient.ControlClient,
    timers: timerService.TimerService,
    settings: ClaimClientSettings,
  ) {
    this.control = control;
    this.timers = timers;
    this.settings = settings;
  }

  /** Queues a claim; a failure passed to `done` means that the call was not run and never will be. */
  claim(command: agreedState.ClaimCommand, done: ClaimCallback): void {
    this.pending.push({ command, done });
    if (this.pending.length >= BATCH_LIMIT) {
      this.flush();
    } else if (this.pending.length === 1) {
      this.timers.after(this.settings.batchWindow, () => {
        this.flush();
      });
    }
  }

  private flush(): void {
    const batch = this.pending;
    this.pending = [];
    if (batch.length === 0) {
      return;
    }
    const request: methods.ClaimsRequest = { claims: batch.map((pending) => pending.command) };
    this.control.callLeader(methods.methods.claims, request, this.settings.claimDeadline, (result) => {
      for (const [index, pending] of batch.entries()) {
        this.complete(pending, index, result);
      }
    });
  }

  private complete(
    pending: PendingClaim,
    index: number,
    result: results.Result<unknown, failures.Failure>,
  ): void {
    if (result.ok) {
      const answer = (result.val as methods.ClaimsAnswer).answers[index];
      if (answer !== undefined) {
        pending.done(results.Ok(answer));
        return;
      }
    }
    // The claim may have been committed although the response was lost. Since the call is never dispatched, the
    // attempt is settled as not run, so that the caller's next attempt can be granted.
    const { account, key, attempt } = pending.command;
    this.settle({ type: 'settleClaim', account, key, attempt, result: 'notRun', outcome: null });
    if (result.err) {
      pending.done(result);
    }
  }

  /** Records the outcome of a claimed call, with retries until control confirms it or the deadline expires. */
  settle(command: agreedState.SettleClaimCommand, done: (recorded: boolean) => void = () => undefined): void {
    this.control.callLeader(methods.methods.settleClaim, command, this.settings.settleDeadline, (result) => {
      done(result.ok);
    });
  }
}
