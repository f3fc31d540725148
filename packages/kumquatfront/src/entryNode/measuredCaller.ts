/**
 * Measures a stream on its way to the caller: stall time, first token, time between tokens, whole answer.
 */
import type * as burnRecorder from '../burn/burnRecorder.js';
import type * as configuration from '../configuration/types.js';
import type * as ports from '../kernel/ports.js';
import type * as streams from '../streams/types.js';

/** What the measuring needs; `Caller` is who is measured. */
export interface MeasuredCallerOptions<Caller = streams.GenerationCaller> {
  readonly now: () => number;
  readonly burn: burnRecorder.BurnRecorder;
  readonly metrics: ports.Metrics;
  readonly urgency: configuration.Urgency;
  readonly caller: Caller;
}

/**
 * Wraps a caller.
 *
 * @param options - the caller and where its figures go
 * @returns a caller that measures and passes everything on
 * @example
 * ```ts
 * const caller = measuredCaller.create({ now, burn, metrics, urgency: 'urgent', caller: front });
 * ```
 */
export function create(options: MeasuredCallerOptions): streams.GenerationCaller {
  const { now, burn, metrics, urgency, caller } = options;
  const startedAt = now();
  let lastAt: number | undefined;

  const onToken = (): void => {
    const at = now();
    if (lastAt === undefined) {
      burn.record('stall', urgency, at - startedAt);
      burn.record('firstToken', urgency, at - startedAt);
      metrics.timing('stream.first_token', at - startedAt, { urgency });
    } else {
      burn.record('betweenTokens', urgency, at - lastAt);
    }
    lastAt = at;
  };

  return {
    accepted: (token) => {
      caller.accepted(token);
    },
    token: (token, index, data) => {
      onToken();
      return caller.token(token, index, data);
    },
    restarted: (token) => {
      metrics.count('stream.restarts', 1);
      caller.restarted(token);
    },
    ended: (count) => {
      burn.record('whole', urgency, now() - startedAt);
      metrics.timing('stream.whole', now() - startedAt, { urgency });
      metrics.count('stream.tokens', count, { urgency });
      caller.ended(count);
    },
    refused: (refusal) => {
      metrics.count('refusals', 1, { kind: refusal.kind });
      caller.refused(refusal);
    },
  };
}

/**
 * Wraps the caller of a plain service: the whole answer is what it stalls for.
 *
 * @param options - the caller and where its figures go
 * @returns a caller that measures and passes everything on
 * @example
 * ```ts
 * const caller = measuredCaller.createForCall({ now, burn, metrics, urgency: 'urgent', caller: front });
 * ```
 */
export function createForCall(options: MeasuredCallerOptions<streams.ServiceCaller>): streams.ServiceCaller {
  const { now, burn, metrics, urgency, caller } = options;
  const startedAt = now();
  return {
    answered: (answer, repeated) => {
      const elapsed = now() - startedAt;
      burn.record('stall', urgency, elapsed);
      burn.record('whole', urgency, elapsed);
      metrics.timing('call.whole', elapsed, { urgency });
      caller.answered(answer, repeated);
    },
    refused: (refusal) => {
      metrics.count('refusals', 1, { kind: refusal.kind });
      caller.refused(refusal);
    },
  };
}
