/**
 * The one gate between an entry and its upstreams: first sends, repeats, hedges, resumed streams and generations that
 * go on elsewhere from a copy all pass it. It sends nothing of a content that is quarantined, nothing to an upstream that
 * is to get nothing at this moment or is in a region where the request may not run, and tells the detector how every run
 * ends.
 *
 * An exchange whose run breaks off sends it on within a millisecond, before anybody knows whether its upstream has
 * ended. Where ends are held against its content already, it hears of the break once that is known: the end that
 * quarantines a content would be followed by one more otherwise.
 */
import type * as sendRules from '../backPressure/sendRules.js';
import type * as signalBook from '../backPressure/signalBook.js';
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import type * as relayTypes from '../relay/types.js';
import * as residency from '../traffic/residency.js';
import * as contentDigest from './contentDigest.js';
import * as quarantine from './quarantine.js';

/** What the gate is made from. */
export interface GuardOptions {
  readonly upstreams: relayTypes.UpstreamPort;
  readonly timers: timerService.TimerService;
  readonly log: ports.Log;
  readonly quarantine: quarantine.Quarantine;
  /** Told what upstreams say of themselves with their answers. */
  readonly signals: signalBook.SignalBook;
  /** Say what may be sent, whoever has chosen it, and however long ago. */
  readonly rules: sendRules.SendRules;
}

/** A run as the gate watches it. */
class WatchedRun {
  private over = false;
  private readonly sentAt: ports.Milliseconds;
  private readonly run: number;
  private succeeded = false;

  constructor(
    private readonly options: GuardOptions,
    private readonly call: relayTypes.UpstreamCall,
    private readonly content: string,
  ) {
    const { instance, request } = call;
    this.sentAt = options.timers.now();
    this.run = options.quarantine.detector.begun(instance.identity, content, request.identity);
  }

  /** The listener that watches on the way to another one. */
  listen(listener: relayTypes.ExchangeListener): relayTypes.ExchangeListener {
    return {
      head: (head) => {
        this.succeeded = head.signed && head.status >= 200 && head.status < 300;
        if (head.signals !== undefined) {
          this.options.signals.take(this.call.instance, head.signals, this.sentAt);
        }
        listener.head(head);
      },
      data: listener.data,
      end: () => {
        this.endWhole();
        listener.end();
      },
      failed: (failure, reason) => {
        if (failure === 'notSent') {
          this.options.quarantine.detector.unreachable(this.call.instance);
        }
        this.settle(failure === 'broken', () => {
          listener.failed(failure, reason);
        });
      },
    };
  }

  private endWhole(): void {
    this.settle(false);
    if (this.succeeded) {
      this.options.quarantine.answered(this.content);
    }
  }

  /**
   * Ends the watch.
   *
   * @param broke - true where the upstream may have ended under the run
   * @param then - goes on with the exchange
   */
  settle(broke: boolean, then: () => void = () => undefined): void {
    if (this.over) {
      then();
      return;
    }
    this.over = true;
    const { quarantine: held } = this.options;
    const { detector } = held;
    const { instance } = this.call;
    if (!broke) {
      detector.ended(instance.identity, this.run);
      then();
    } else if (held.verdictOf(this.content) === 'free') {
      detector.broke(instance, this.run, () => undefined);
      then();
    } else {
      detector.broke(instance, this.run, then);
    }
  }
}

/**
 * Creates the gate.
 *
 * @param options - the upstreams behind it, and who decides
 * @returns upstreams that pass the gate
 * @example
 * ```ts
 * const upstreams = guardedUpstreams.create({ upstreams: port, timers, log, quarantine, signals, rules });
 * ```
 */
export function create(options: GuardOptions): relayTypes.UpstreamPort {
  const { upstreams, timers, quarantine: held, rules } = options;
  const send: relayTypes.UpstreamPort['send'] = (call, listener) => {
    const content = contentDigest.of(call.request, call.account ?? '');
    if (held.verdictOf(content) === 'quarantined') {
      return failSoon(timers, listener, 'quarantined', quarantine.QUARANTINED);
    }
    const now = timers.now();
    const hold = rules.holdOf(call.instance, now);
    if (hold !== undefined && !mayGoOn(call, hold)) {
      options.log.info('withheld', {
        request: call.request.identity,
        upstream: call.instance.identity,
        reason: hold.reason,
        for: hold.until === undefined ? undefined : Math.round(hold.until - now),
      });
      return failSoon(timers, listener, 'withheld', rules.messageOf(hold));
    }
    if (!residency.allows(call.instance.dataCentre, call.dataCentres)) {
      return failSoon(
        timers,
        listener,
        'withheld',
        'the upstream is in a region where the request may not run',
      );
    }
    rules.sentTo(call.instance, now);
    const watched = new WatchedRun(options, call, content);
    const cancel = upstreams.send(call, watched.listen(listener));
    return (why) => {
      watched.settle(why === 'silent');
      cancel(why);
    };
  };
  return { ...upstreams, send };
}

/**
 * A generation that goes on from a copy of its memory is lost where it is not sent: its source has stopped. Only an
 * evacuation keeps it back. Whoever moves it asks the rules before the source stops.
 */
function mayGoOn({ copy }: relayTypes.UpstreamCall, { reason }: sendRules.Hold): boolean {
  return copy !== undefined && reason !== 'evacuated';
}

/** Exchanges learn of a failure after their call has returned, as they do from a real upstream. */
function failSoon(
  timers: timerService.TimerService,
  listener: relayTypes.ExchangeListener,
  failure: relayTypes.ExchangeFailure,
  reason: string,
): ports.Cancel {
  return timers.after(0, () => {
    listener.failed(failure, reason);
  });
}
