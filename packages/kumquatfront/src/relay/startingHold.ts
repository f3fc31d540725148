/**
 * Requests that come to an entry that has just started and has no configuration yet.
 *
 * Pattern: after a fault of everything callers are back at once, and the first configuration comes a second later.
 * A refusal then uses up a caller's only other try: it comes back a third of a second later to be refused again.
 * Held for a part of its time it is served as soon as there is a configuration. Grounds: in runs with all processes
 * killed entries had theirs 0.1 to 1.3 s after their start, and three in ten of all requests that were never served
 * had come in that time.
 */
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import type * as types from './types.js';

/** Share of a caller's time for which it is held: what is left must do for an answer, or for another try. */
const HELD_SHARE = 0.4;

/** Never longer than a start with an election takes. */
const LONGEST_HOLD: ports.Milliseconds = 1_500;

/** Requests held at most, each with its body; beyond them callers are refused at once. */
const MOST_HELD = 200;

interface Held {
  readonly request: types.TrafficRequest;
  readonly caller: types.CallerPort;
  readonly cancel: ports.Cancel;
}

/** What is held; see the module comment. */
export class StartingHold {
  private readonly timers: timerService.TimerService;
  private readonly held = new Set<Held>();

  constructor(timers: timerService.TimerService) {
    this.timers = timers;
  }

  /**
   * Holds a request; false where too many are held already.
   *
   * @param giveUp - called where nothing released it in time
   */
  hold(request: types.TrafficRequest, caller: types.CallerPort, giveUp: () => void): boolean {
    if (this.held.size >= MOST_HELD) {
      return false;
    }
    const wholeTime = request.patience ?? LONGEST_HOLD;
    const until = request.arrivedAt + Math.min(LONGEST_HOLD, wholeTime * HELD_SHARE);
    const cancel = this.timers.after(Math.max(0, until - this.timers.now()), () => {
      this.held.delete(entry);
      giveUp();
    });
    const entry: Held = { request, caller, cancel };
    this.held.add(entry);
    caller.onGone(() => {
      cancel();
      this.held.delete(entry);
    });
    return true;
  }

  /** Hands over everything that is held, in the order in which it came. */
  release(handle: (request: types.TrafficRequest, caller: types.CallerPort) => void): void {
    const held = [...this.held];
    this.held.clear();
    for (const { request, caller, cancel } of held) {
      cancel();
      handle(request, caller);
    }
  }
}
