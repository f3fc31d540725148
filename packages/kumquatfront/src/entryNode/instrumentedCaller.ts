/**
 * Decorators that record latencies on the way to the caller: stall time, time to first token, time between tokens, and
 * time to the complete answer.
 */
import type * as burnRecorder from '../burn/burnRecorder.js';
import type * as configuration from '../configuration/types.js';
import type * as ports from '../kernel/ports.js';
import type * as streams from '../streams/types.js';

/** Options of the decorators; `Caller` is the type of the decorated caller. */
export interface InstrumentedCallerOptions<Caller = streams.GenerationCaller> {
  readonly now: () => number;
  readonly burn: burnRecorder.BurnRecorder;
  readonly metrics: ports.Metrics;
  readonly urgency: configuration.Urgency;
  readonly caller: Caller;
}

/**
 * Wraps the caller of a stream.
 *
 * @param options - the caller and the recorders of its latencies
 * @returns a caller that records latencies and forwards every call
 * @example
 * ```ts
 * const caller = instrumentedCaller.create({ now, burn, metrics, urgency: 'urgent', caller: streamCaller });
 * ```
 */
export function create(options: InstrumentedCallerOptions): streams.GenerationCaller {
  const { now, burn, metrics, urgency, caller } = options;
  const startedAt = now();
  let lastTokenAt: number | undefined;

  const onToken = (): void => {
    const at = now();
    if (lastTokenAt === undefined) {
      burn.record('stall', urgency, at - startedAt);
      burn.record('firstToken', urgency, at - startedAt);
      metrics.timing('stream.first_token', at - startedAt, { urgency });
    } else {
      burn.record('betweenTokens', urgency, at - lastTokenAt);
    }
    lastTokenAt = at;
  };

  const { connection } = caller;
  return {
    connection: connection && {
      takenBytes: connection.takenBytes,
      abort: () => {
        metrics.count('stream.stalled_callers', 1, { urgency });
        connection.abort();
      },
    },
    sendAccepted: (token) => {
      caller.sendAccepted(token);
    },
    sendToken: (token, index, data) => {
      onToken();
      return caller.sendToken(token, index, data);
    },
    sendRestart: (token) => {
      metrics.count('stream.restarts', 1);
      caller.sendRestart(token);
    },
    complete: (count) => {
      burn.record('whole', urgency, now() - startedAt);
      metrics.timing('stream.whole', now() - startedAt, { urgency });
      metrics.count('stream.tokens', count, { urgency });
      caller.complete(count);
    },
    refuse: (refusal) => {
      metrics.count('refusals', 1, { kind: refusal.kind });
      caller.refuse(refusal);
    },
  };
}

/**
 * Wraps the caller of a plain service, whose stall time is the time to the complete answer.
 *
 * @param options - the caller and the recorders of its latencies
 * @returns a caller that records latencies and forwards every call
 * @example
 * ```ts
 * const caller = instrumentedCaller.createForService({ now, burn, metrics, urgency: 'urgent', caller: serviceCaller });
 * ```
 */
export function createForService(
  options: InstrumentedCallerOptions<streams.ServiceCaller>,
): streams.ServiceCaller {
  const { now, burn, metrics, urgency, caller } = options;
  const startedAt = now();
  return {
    respond: (answer, repeated) => {
      const elapsed = now() - startedAt;
      burn.record('stall', urgency, elapsed);
      burn.record('whole', urgency, elapsed);
      metrics.timing('call.whole', elapsed, { urgency });
      caller.respond(answer, repeated);
    },
    refuse: (refusal) => {
      metrics.count('refusals', 1, { kind: refusal.kind });
      caller.refuse(refusal);
    },
  };
}
