/**
 * Relays one call to a service that answers without streaming. Idempotent calls may be retried on another
 * upstream; others run at most once, under a claim that is committed before the call is sent.
 */
import type * as agreedState from '../agreedState/types.js';
import type * as claimClient from '../claims/claimClient.js';
import type * as generationRelay from './generationRelay.js';
import * as quarantineRefusals from './quarantineRefusals.js';
import type * as types from './types.js';

/** The claim of a call that is not idempotent. */
export type CallClaim = Omit<agreedState.ClaimCommand, 'type'>;

/** Options of a service relay. */
export interface ServiceRelayOptions {
  readonly call: types.ServiceCall;
  /** Undefined for an idempotent call. */
  readonly claim: CallClaim | undefined;
  readonly claims: claimClient.ClaimClient;
  readonly services: types.ServicePort;
  /** Milliseconds a service has to answer. */
  readonly timeout: number;
  readonly caller: types.ServiceCaller;
  readonly host: Pick<
    generationRelay.RelayHost,
    'requestPlacement' | 'mayRetry' | 'onReleased' | 'otherEntries' | 'onFinished'
  >;
}

const MAXIMUM_OUTCOME_LENGTH = 16_384;
const RETRY_AFTER_DELAY = 200;

const RELEASE_REASONS = { neverSent: 'neverSent', broken: 'failure', timeout: 'stall' } as const;

/** Relays one call; see the module comment. */
export class ServiceRelay {
  private readonly options: ServiceRelayOptions;
  private readonly excludedUpstreams = new Set<string>();
  /** Number of upstreams that may have run the call. */
  private possibleRuns = 0;

  constructor(options: ServiceRelayOptions) {
    this.options = options;
  }

  /** Requests the claim, if the call needs one, and sends the call. */
  start(): void {
    const { claim } = this.options;
    if (claim === undefined) {
      this.requestPlacement();
      return;
    }
    this.options.claims.claim({ type: 'claim', ...claim }, (result) => {
      if (result.err) {
        this.refuse({
          kind: 'notRun',
          status: 503,
          message: 'The call was not run: its claim could not be recorded.',
          remedy: 'Retry with the same Idempotency-Key.',
          retryAfter: RETRY_AFTER_DELAY,
        });
        return;
      }
      this.onClaimAnswer(result.val);
    });
  }

  private onClaimAnswer(answer: agreedState.ClaimAnswer): void {
    switch (answer.state) {
      case 'granted':
        this.requestPlacement();
        break;
      case 'done':
        this.onRecordedOutcome(answer.outcome);
        break;
      case 'pending':
        this.refuseUnknownOutcome(
          'Another entry is handling the call; it has no outcome yet.',
          RETRY_AFTER_DELAY,
        );
        break;
      case 'unknown':
        this.refuseUnknownOutcome('The call was sent once; it is unknown whether it ran.');
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
          remedy: 'Retry after the given time.',
          retryAfter: answer.retryAfter,
        });
        break;
    }
  }

  private onRecordedOutcome(outcome: agreedState.RecordedOutcome | null): void {
    if (outcome === null) {
      this.refuseUnknownOutcome(
        'The call ran, but its answer is not stored: it was too large, or newer ones needed the room.',
      );
      return;
    }
    this.options.caller.respond(outcome, true);
    this.options.host.onFinished();
  }

  private refuseUnknownOutcome(message: string, retryAfter?: number): void {
    this.refuse({
      kind: 'outcomeUnknown',
      status: 409,
      message,
      remedy:
        retryAfter === undefined
          ? 'Check with the service whether it ran; it will not be run again under this key.'
          : 'Retry with the same Idempotency-Key after the given time.',
      retryAfter,
    });
  }

  private refuse(refusal: types.Refusal): void {
    const entries = refusal.retryAfter === undefined ? undefined : this.options.host.otherEntries();
    this.options.caller.refuse({ ...refusal, entries });
    this.options.host.onFinished();
  }

  private requestPlacement(): void {
    this.options.host.requestPlacement(this.excludedUpstreams, (placement) => {
      if (placement.type === 'granted') {
        const { name, address } = placement.upstream.announcement;
        this.dispatch({ name, address });
        return;
      }
      if (placement.refusal.reason === 'quarantined') {
        this.refuseQuarantined();
        return;
      }
      this.settleClaim('notRun', null);
      this.refuse({
        kind: 'notRun',
        status: 503,
        message: 'No upstream is available; the call was not run.',
        remedy: 'Retry after the given time.',
        retryAfter: placement.refusal.retryAfter,
      });
    });
  }

  private refuseQuarantined(): void {
    const mayHaveRun = this.possibleRuns > 0;
    this.settleClaim(mayHaveRun ? 'unknown' : 'notRun', null);
    this.refuse(mayHaveRun ? quarantineRefusals.outcomeUnknown : quarantineRefusals.notRun);
  }

  private settleClaim(
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
    this.possibleRuns += 1;
    services.call(target, call, timeout, {
      onAnswer: (answer) => {
        host.onReleased(target.name, 0, 'whole');
        this.settleClaim('done', answer.body.length <= MAXIMUM_OUTCOME_LENGTH ? answer : null);
        caller.respond(answer, false);
        host.onFinished();
      },
      onFailed: (reason) => {
        host.onReleased(target.name, 0, RELEASE_REASONS[reason]);
        this.excludedUpstreams.add(target.name);
        this.possibleRuns -= reason === 'neverSent' ? 1 : 0;
        this.onFailed(reason);
      },
    });
  }

  private onFailed(reason: 'neverSent' | 'broken' | 'timeout'): void {
    const { claim, host } = this.options;
    const isRepeatable = claim === undefined || reason === 'neverSent';
    if (isRepeatable && host.mayRetry()) {
      this.requestPlacement();
      return;
    }
    if (reason === 'neverSent') {
      this.settleClaim('notRun', null);
      this.refuse({
        kind: 'notRun',
        status: 503,
        message: 'The upstream could not be reached; the call was not run.',
        remedy: 'Retry after the given time.',
        retryAfter: RETRY_AFTER_DELAY,
      });
      return;
    }
    // The upstream may have received the call. A retry could run it twice, so the claim is settled as unknown.
    this.settleClaim('unknown', null);
    this.refuseUnknownOutcome(
      'The upstream did not answer after the call was sent.',
      claim === undefined ? RETRY_AFTER_DELAY : undefined,
    );
  }
}
