/**
 * Wraps the upstream port of an entry with checks that apply to every send: first attempts, retries, hedges, resumed
 * streams and generations that continue from a copy. Rejects quarantined contents, temporarily excluded upstreams,
 * upstreams in regions where the request may not run, and upstreams whose software did not begin the stream; decides whether
 * each answer is complete, and reports the outcome of every run to the crash detector.
 *
 * If a run of a suspected content breaks, its failure is passed on only after the connection check: an exchange would
 * otherwise resend it before the crash that quarantines the content is recorded.
 */
import type * as slotClient from '../callSlots/slotClient.js';
import type * as sendPolicy from '../backPressure/sendPolicy.js';
import type * as signalRegistry from '../backPressure/signalRegistry.js';
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import * as answerCompletion from '../relay/answerCompletion.js';
import * as responseClassification from '../relay/responseClassification.js';
import type * as relayTypes from '../relay/types.js';
import * as unsentExchange from '../relay/unsentExchange.js';
import * as incarnationCheck from '../streamOrigins/incarnationCheck.js';
import * as software from '../streamOrigins/software.js';
import * as residency from '../traffic/residency.js';
import * as quarantine from './quarantine.js';
import * as requestCauses from './requestCauses.js';

/** The wrapped port and the components that decide what may be sent. */
export interface GuardedUpstreamsOptions {
  readonly upstreams: relayTypes.UpstreamPort;
  readonly timers: timerService.TimerService;
  readonly log: ports.Log;
  readonly quarantine: quarantine.Quarantine;
  /** Receives the back-pressure signals in answers of upstreams. */
  readonly signals: signalRegistry.SignalRegistry;
  /** Receives what answers state of fragile services; nothing if absent. */
  readonly slots?: slotClient.SlotClient;
  /** Decides whether an upstream may be sent a request now. */
  readonly policy: Pick<sendPolicy.SendPolicy, 'exclusionOf' | 'recordSent' | 'messageOf'>;
}

/** Reports the outcome of one run to the crash detector. */
class TrackedRun {
  private finished = false;
  private readonly sentAt: ports.Milliseconds;
  private readonly runId: number;
  private succeeded = false;
  private readonly completion: answerCompletion.AnswerCompletion;

  constructor(
    private readonly options: GuardedUpstreamsOptions,
    private readonly call: relayTypes.UpstreamCall,
    private readonly causes: requestCauses.RequestCauses,
  ) {
    const { instance, request } = call;
    this.completion = new answerCompletion.AnswerCompletion(call.isStream);
    this.sentAt = options.timers.now();
    this.runId = options.quarantine.detector.runStarted(instance.identity, causes, request.identity);
  }

  /** Wraps a listener so that this run observes its events. */
  wrapListener(listener: relayTypes.ExchangeListener): relayTypes.ExchangeListener {
    return {
      head: (head) => {
        this.completion.recordHead(head);
        this.succeeded = head.signed && head.status >= 200 && head.status < 300;
        if (responseClassification.isMisdirected(head)) {
          this.options.signals.recordReplaced(this.call.instance);
        }
        if (head.signals !== undefined) {
          this.options.signals.applySignals(this.call.instance, head.signals, this.sentAt);
          const { service } = this.call.instance;
          this.options.slots?.recordAnswer(service, head.signals.maximumRejections, this.sentAt);
        }
        listener.head(head);
      },
      data: (bytes) => {
        this.onData(bytes);
        listener.data(bytes);
      },
      held: (isHeld) => {
        listener.held?.(isHeld);
      },
      end: () => {
        this.onEnd(listener);
      },
      failed: (failure, reason) => {
        if (failure === 'notSent') {
          this.options.quarantine.detector.instanceUnreachable(this.call.instance);
        }
        this.finish(failure === 'broken', () => {
          listener.failed(failure, reason);
        });
      },
    };
  }

  private onData(bytes: Uint8Array): void {
    const { quarantine: quarantineState } = this.options;
    const { hasEvent: hadEvent } = this.completion;
    this.completion.recordData(bytes);
    const { hasEvent } = this.completion;
    if (hasEvent !== hadEvent) {
      quarantineState.detector.recordEvent(this.call.instance.identity, this.runId);
    }
    if (hasEvent) {
      quarantineState.recordEvent(this.causes, !hadEvent);
    }
  }

  private onEnd(listener: relayTypes.ExchangeListener): void {
    const completion = this.completion.atEnd();
    if (completion === 'cutOff') {
      this.finish(true, () => {
        listener.failed('broken', 'the stream ended within an event');
      });
    } else if (completion === 'unconfirmed') {
      this.confirmEnd(listener);
    } else {
      this.complete(listener);
    }
  }

  private complete(listener: relayTypes.ExchangeListener): void {
    this.finish(false);
    if (this.succeeded) {
      this.recordSuccess();
    }
    listener.end();
  }

  private recordSuccess(): void {
    const { quarantine: quarantineState } = this.options;
    quarantineState.recordAnswer(this.causes.content);
    // A whole plain answer shows as much as an event.
    if (!this.completion.hasEvent) {
      quarantineState.recordEvent(this.causes, true);
    }
  }

  /** Passes an end that only the connection tells on, unless the upstream has crashed. */
  private confirmEnd(listener: relayTypes.ExchangeListener): void {
    const { detector } = this.options.quarantine;
    detector.runEnded(this.call.instance, this.runId, (result) => {
      if (this.finished) {
        return;
      }
      if (result === 'accepted') {
        this.complete(listener);
        return;
      }
      this.finished = true;
      if (result === 'refused') {
        listener.failed('broken', 'the upstream crashed as the connection ended');
      } else {
        listener.end();
      }
    });
  }

  /**
   * Reports the end of the run, once.
   *
   * @param mayHaveCrashed - true if the upstream may have crashed
   * @param proceed - continues the exchange
   */
  finish(mayHaveCrashed: boolean, proceed: () => void = () => undefined): void {
    if (this.finished) {
      proceed();
      return;
    }
    this.finished = true;
    const { quarantine: quarantineState } = this.options;
    const { detector } = quarantineState;
    const { instance } = this.call;
    if (!mayHaveCrashed) {
      detector.runFinished(instance.identity, this.runId);
      proceed();
    } else if (quarantineState.verdictOf(this.causes) === 'free') {
      detector.runBroken(instance, this.runId, () => undefined);
      proceed();
    } else {
      detector.runBroken(instance, this.runId, proceed);
    }
  }
}

/**
 * Wraps an upstream port with the checks described in the module comment.
 *
 * @param options - the port to wrap, and the components that decide what may be sent
 * @returns the wrapped port
 * @example
 * ```ts
 * const upstreams = guardedUpstreams.create({ upstreams: port, timers, log, quarantine, signals, policy });
 * ```
 */
export function create(options: GuardedUpstreamsOptions): relayTypes.UpstreamPort {
  const { upstreams, timers, quarantine: quarantineState, policy } = options;
  const sendChecked: relayTypes.UpstreamPort['send'] = (call, listener) => {
    const causes = requestCauses.forRequest(call.request, call.account ?? '', call.instance.service);
    // A generation that goes on from a copy has had events, so no part of its prompt is the cause.
    const isProven = call.copy !== undefined && quarantineState.isContentAllowed(causes);
    if (!isProven && !quarantineState.maySend(call.request, causes)) {
      return failAsynchronously(timers, listener, 'quarantined', quarantine.QUARANTINED_MESSAGE);
    }
    const now = timers.now();
    const exclusion = policy.exclusionOf(call.instance, now);
    if (exclusion !== undefined && !mayResumeFromCopy(call, exclusion)) {
      options.log.info('withheld', {
        request: call.request.identity,
        upstream: call.instance.identity,
        reason: exclusion.reason,
        for: exclusion.until === undefined ? undefined : Math.round(exclusion.until - now),
      });
      return failAsynchronously(timers, listener, 'withheld', policy.messageOf(exclusion));
    }
    if (!residency.allows(call.instance.dataCentre, call.dataCentres)) {
      return failAsynchronously(
        timers,
        listener,
        'withheld',
        'the upstream is in a region where the request may not run',
      );
    }
    if (!mayTakeStream(call)) {
      const { request, instance, origin } = call;
      options.log.warn('otherSoftwareWithheld', {
        request: request.identity,
        upstream: instance.identity,
        software: software.of(instance),
        began: origin?.software,
      });
      return failAsynchronously(timers, listener, 'withheld', OTHER_SOFTWARE_MESSAGE);
    }
    policy.recordSent(call.instance, now);
    quarantineState.recordSent(call.request);
    const tracked = new TrackedRun(options, call, causes);
    const exchange = upstreams.send(call, tracked.wrapListener(listener));
    const { pause, resume, readToEnd } = exchange;
    return {
      cancel: (reason) => {
        tracked.finish(reason === 'silent');
        exchange.cancel(reason);
      },
      pause,
      resume,
      readToEnd,
    };
  };
  const send: relayTypes.UpstreamPort['send'] = (call, listener) =>
    incarnationCheck.run({ upstreams, timers }, call, {
      proceed: (checked) => sendChecked(checked, listener),
      replaced: () => {
        const { request, instance } = call;
        options.log.warn('replacedUpstreamWithheld', {
          request: request.identity,
          upstream: instance.identity,
        });
        options.signals.recordReplaced(instance);
        listener.failed('withheld', 'another process has taken the place of the upstream');
      },
    });
  const copyMemory: relayTypes.UpstreamPort['copyMemory'] = (source, target, request, stop, done) => {
    if (software.mayContinue(software.originAt(source), target)) {
      upstreams.copyMemory(source, target, request, stop, done);
      return;
    }
    options.log.warn('otherSoftwareWithheld', {
      request,
      upstream: target.identity,
      software: software.of(target),
      began: software.of(source),
    });
    timers.after(0, () => {
      done({ state: 'failed', reason: OTHER_SOFTWARE_MESSAGE });
    });
  };
  return { ...upstreams, send, copyMemory };
}

const OTHER_SOFTWARE_MESSAGE = 'the upstream runs other software than the one that began the stream';

/** A stream goes on at its origin only; a call that goes on without naming an origin is rejected. */
function mayTakeStream({ lastEvent, copy, origin, instance }: relayTypes.UpstreamCall): boolean {
  return origin === undefined
    ? lastEvent === undefined && copy === undefined
    : software.mayContinue(origin, instance);
}

/**
 * A generation that continues from a copy of its memory would be lost if it were not sent, because its source has
 * stopped. Only an evacuation prevents it; other exclusions are checked before the source stops.
 */
function mayResumeFromCopy({ copy }: relayTypes.UpstreamCall, { reason }: sendPolicy.Exclusion): boolean {
  return copy !== undefined && reason !== 'evacuated';
}

/** Fails an exchange asynchronously, like a real upstream, after `send` has returned. */
function failAsynchronously(
  timers: timerService.TimerService,
  listener: relayTypes.ExchangeListener,
  failure: relayTypes.ExchangeFailure,
  reason: string,
): relayTypes.UpstreamExchange {
  return unsentExchange.create(
    timers.after(0, () => {
      listener.failed(failure, reason);
    }),
  );
}
