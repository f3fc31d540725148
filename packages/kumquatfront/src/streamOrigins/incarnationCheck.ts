/**
 * Asks an upstream when it was started before a stream with events goes on there. An upstream that starts again under its name, with
 * other software, stays listed as the former one until its first announcement, and takes requests that name it.
 */
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import * as successiveExchanges from '../relay/successiveExchanges.js';
import type * as relayTypes from '../relay/types.js';

/** Dependencies of the check. */
export interface IncarnationCheckOptions {
  readonly upstreams: relayTypes.UpstreamPort;
  readonly timers: timerService.TimerService;
}

/** How a call goes on after the check; exactly one is called, unless the call is cancelled. */
export interface CheckOutcome {
  /** The upstream is the one that was announced, or does not tell. */
  readonly proceed: (call: relayTypes.UpstreamCall) => relayTypes.UpstreamExchange;
  /** Another process has taken its place. */
  readonly replaced: () => void;
}

/** A new run of a stream with events; one that goes on from a copy of its memory proves by the copy where it is. */
function continuesStream({ origin, lastEvent, copy }: relayTypes.UpstreamCall): boolean {
  return origin !== undefined && lastEvent !== undefined && copy === undefined;
}

/**
 * Sends a call, after the check if it needs one.
 *
 * @param call - the call, whose time left shrinks by the time of the check
 * @returns cancels the check or the call; a pause during the check holds for the call
 * @example
 * ```ts
 * return incarnationCheck.run({ upstreams, timers }, call, { proceed: (checked) => send(checked), replaced });
 * ```
 */
export function run(
  { upstreams, timers }: IncarnationCheckOptions,
  call: relayTypes.UpstreamCall,
  { proceed, replaced }: CheckOutcome,
): relayTypes.UpstreamExchange {
  const { instance, timeLeft } = call;
  if (upstreams.readStartTime === undefined || instance.born === 0 || !continuesStream(call)) {
    return proceed(call);
  }
  const startedAt = timers.now();
  const exchanges = new successiveExchanges.SuccessiveExchanges();
  upstreams.readStartTime(instance.address, (born: ports.Milliseconds | undefined) => {
    if (exchanges.wasCancelled) {
      return;
    }
    if (born === undefined || born === instance.born) {
      exchanges.set(proceed({ ...call, timeLeft: timeLeft - (timers.now() - startedAt) }));
    } else {
      replaced();
    }
  });
  return exchanges;
}
