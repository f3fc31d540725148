/**
 * Claims from an entry's side. Claims made within a few milliseconds travel together, so that one sync of
 * the log serves them all.
 */
import type * as agreedState from '../agreedState/types.js';
import type * as controlClient from '../controlClient/controlClient.js';
import * as methods from '../controlNode/methods.js';
import type * as failures from '../kernel/failures.js';
import * as results from '../kernel/results.js';
import type * as timerService from '../kernel/timerService.js';

/** Times in milliseconds. */
export interface ClaimClientSettings {
  readonly batchWindow: number;
  /** Time within which a claim must be committed; afterwards the call is refused as not run. */
  readonly claimDeadline: number;
  /** Time for which the outcome is offered to control. */
  readonly settleDeadline: number;
}

type ClaimDone = (result: results.Result<agreedState.ClaimAnswer, failures.Failure>) => void;

interface WaitingClaim {
  readonly command: agreedState.ClaimCommand;
  readonly done: ClaimDone;
}

const BATCH_LIMIT = 64;

/** The client; see the module comment. */
export class ClaimClient {
  private readonly control: controlClient.ControlClient;
  private readonly timers: timerService.TimerService;
  private readonly settings: ClaimClientSettings;
  private waiting: WaitingClaim[] = [];

  constructor(
    control: controlClient.ControlClient,
    timers: timerService.TimerService,
    settings: ClaimClientSettings,
  ) {
    this.control = control;
    this.timers = timers;
    this.settings = settings;
  }

  /** Claims; `done` gets the answer, or a failure after which the caller may be told that nothing was run. */
  claim(command: agreedState.ClaimCommand, done: ClaimDone): void {
    this.waiting.push({ command, done });
    if (this.waiting.length >= BATCH_LIMIT) {
      this.flush();
    } else if (this.waiting.length === 1) {
      this.timers.after(this.settings.batchWindow, () => {
        this.flush();
      });
    }
  }

  private flush(): void {
    const batch = this.waiting;
    this.waiting = [];
    if (batch.length === 0) {
      return;
    }
    const request: methods.ClaimsRequest = { claims: batch.map((waiting) => waiting.command) };
    this.control.callLeader(methods.methods.claims, request, this.settings.claimDeadline, (result) => {
      for (const [position, waiting] of batch.entries()) {
        this.finish(waiting, position, result);
      }
    });
  }

  private finish(
    waiting: WaitingClaim,
    position: number,
    result: results.Result<unknown, failures.Failure>,
  ): void {
    if (result.ok) {
      const answer = (result.val as methods.ClaimsAnswer).answers[position];
      if (answer !== undefined) {
        waiting.done(results.Ok(answer));
        return;
      }
    }
    // The claim may be committed though its answer was lost. It was not dispatched and never will be, so
    // control is told that this attempt is void; the caller's next try can then be granted.
    const { account, key, attempt } = waiting.command;
    this.settle({ type: 'settleClaim', account, key, attempt, result: 'notRun', outcome: null });
    if (result.err) {
      waiting.done(result);
    }
  }

  /** Records what became of a claimed call; repeats it until control has it or the deadline ends. */
  settle(command: agreedState.SettleClaimCommand, done: (recorded: boolean) => void = () => undefined): void {
    this.control.callLeader(methods.methods.settleClaim, command, this.settings.settleDeadline, (result) => {
      done(result.ok);
    });
  }
}
