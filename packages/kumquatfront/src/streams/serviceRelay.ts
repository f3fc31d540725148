/**
 * Relays one call to a plain service. Idempotent calls may be tried again elsewhere; others run at most
 * once, under a claim that is committed before the call goes out.
 */
import type * as agreedState from '../agreedState/types.js';
import type * as claimClient from '../claims/claimClient.js';
import type * as generationRelay from './generationRelay.js';
import * as quarantineRefusals from './quarantineRefusals.js';
import type * as types from './types.js';

/** The claim of a call that is not idempotent. */
export type CallClaim = Omit<agreedState.ClaimCommand, 'type'>;

/** What a relay is made from. */
export interface ServiceRelayOptions {
  readonly call: types.ServiceCall;
  /** Absent for an idempotent call. */
  readonly claim: CallClaim | undefined;
  readonly claims: claimClient.ClaimClient;
  readonly services: types.ServicePort;
  /** Milliseconds a service has to answer. */
  readonly timeout: number;
  readonly caller: types.ServiceCaller;
  readonly host: Pick<generationRelay.RelayHost, 'place' | 'mayRetry' | 'left' | 'otherEntries' | 'finished'>;
}

const OUTCOME_KEPT_LENGTH = 16_384;
const PENDING_RETRY_AFTER = 200;

const LEAVE_REASONS = { neverSent: 'neverSent', broken: 'failure', timeout: 'stall' } as const;

/** One call; see the module comment. */
export class ServiceRelay {
  private readonly options: ServiceRelayOptions;
  private readonly exclude = new Set<string>();
  /** Upstreams that may have run the call. */
  private sends = 0;

  constructor(options: ServiceRelayOptions) {
    this.options = options;
  }

  start(): void {
    const { claim } = this.options;
    if (claim === undefined) {
      this.placeAgain();
      return;
    }
    this.options.claims.claim({ type: 'claim', ...claim }, (result) => {
      if (result.err) {
        this.refuse({
          kind: 'notRun',
          status: 503,
          message: 'The call was not run: its claim could not be recorded.',
          remedy: 'Send it again with the same Idempotency-Key.',
          retryAfter: PENDING_RETRY_AFTER,
        });
        return;
      }
      this.onClaim(result.val);
    });
  }

  private onClaim(answer: agreedState.ClaimAnswer): void {
    switch (answer.state) {
      case 'granted':
        this.placeAgain();
        break;
      case 'done':
        this.onRecorded(answer.outcome);
        break;
      case 'pending':
        this.refuseUnknown('The call is with another entry and has no outcome yet.', PENDING_RETRY_AFTER);
        break;
      case 'unknown':
        this.refuseUnknown('The call was sent once and nobody can know whether it ran.');
        break;
      case 'keyReused':
        this.refuse({
          kind: 'invalid',
          status: 422,
          message: 'The Idempotency-Key was used for another request; this one was not run.',
          remedy: 'Use a fresh key for each request.',
        });
        break;
      case 'full':
        this.refuse({
          kind: 'notRun',
          status: 429,
          message: 'This client account has too many recent keys; the call was not run.',
          remedy: 'Come back after the given time.',
          retryAfter: answer.retryAfter,
        });
        break;
    }
  }

  private onRecorded(outcome: agreedState.RecordedOutcome | null): void {
    if (outcome === null) {
      this.refuseUnknown('The call ran; its answer was too large to be kept.');
      return;
    }
    this.options.caller.answered(outcome, true);
    this.options.host.finished();
  }

  private refuseUnknown(message: string, retryAfter?: number): void {
    this.refuse({
      kind: 'outcomeUnknown',
      status: 409,
      message,
      remedy:
        retryAfter === undefined
          ? 'Look up in the service whether it ran; it will not be run again under this key.'
          : 'Ask again with the same Idempotency-Key after the given time.',
      retryAfter,
    });
  }

  private refuse(refusal: types.Refusal): void {
    const entries = refusal.retryAfter === undefined ? undefined : this.options.host.otherEntries();
    this.options.caller.refused({ ...refusal, entries });
    this.options.host.finished();
  }

  private placeAgain(): void {
    this.options.host.place(this.exclude, (placement) => {
      if (placement.type === 'granted') {
        const { name, address } = placement.upstream.announcement;
        this.dispatch({ name, address });
        return;
      }
      if (placement.refusal.reason === 'quarantined') {
        this.refuseQuarantined();
        return;
      }
      this.settle('notRun', null);
      this.refuse({
        kind: 'notRun',
        status: 503,
        message: 'No upstream can take the call; it was not run.',
        remedy: 'Send it again after the given time.',
        retryAfter: placement.refusal.retryAfter,
      });
    });
  }

  private refuseQuarantined(): void {
    const mayHaveRun = this.sends > 0;
    this.settle(mayHaveRun ? 'unknown' : 'notRun', null);
    this.refuse(mayHaveRun ? quarantineRefusals.outcomeUnknown : quarantineRefusals.notRun);
  }

  private settle(
    result: agreedState.SettleClaimCommand['result'],
    outcome: agreedState.RecordedOutcome | null,
  ): void {
    const { claim, claims } = this.options;
    if (claim !== undefined) {
      const { account, key, attempt } = claim;
      claims.settle({ type: 'settleClaim', account, key, attempt, result, outcome });
    }
  }

  private dispatch(target: types.UpstreamTarget): void {
    const { services, call, timeout, host, caller } = this.options;
    this.sends += 1;
    services.call(target, call, timeout, {
      answered: (answer) => {
        host.left(target.name, 0, 'whole');
        this.settle('done', answer.body.length <= OUTCOME_KEPT_LENGTH ? answer : null);
        caller.answered(answer, false);
        host.finished();
      },
      failed: (reason) => {
        host.left(target.name, 0, LEAVE_REASONS[reason]);
        this.exclude.add(target.name);
        this.sends -= reason === 'neverSent' ? 1 : 0;
        this.onFailed(reason);
      },
    });
  }

  private onFailed(reason: 'neverSent' | 'broken' | 'timeout'): void {
    const { claim, host } = this.options;
    const repeatable = claim === undefined || reason === 'neverSent';
    if (repeatable && host.mayRetry()) {
      this.placeAgain();
      return;
    }
    if (reason === 'neverSent') {
      this.settle('notRun', null);
      this.refuse({
        kind: 'notRun',
        status: 503,
        message: 'The upstream could not be reached; the call was not run.',
        remedy: 'Send it again after the given time.',
        retryAfter: PENDING_RETRY_AFTER,
      });
      return;
    }
    // Bytes may have arrived. Sending them again could run the call twice, so the claim stays spent.
    this.settle('unknown', null);
    this.refuseUnknown(
      'The upstream was lost after the call was sent.',
      claim === undefined ? PENDING_RETRY_AFTER : undefined,
    );
  }
}
