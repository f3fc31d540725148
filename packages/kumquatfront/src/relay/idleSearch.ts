/**
 * Detects that the upstream of a resumable stream is idle for too long, and keeps track of the search for a replacement.
 * The segment stays open until one is found, so that a paused stream is not aborted when no other engine has free capacity.
 */
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import type * as trafficTypes from '../traffic/types.js';
import * as idleTimeout from './idleTimeout.js';
import type * as streamSegment from './streamSegment.js';

/** Dependencies and callbacks of a search. */
export interface IdleSearchOptions {
  readonly timers: timerService.TimerService;
  readonly route: trafficTypes.Route;
  /** False if the segment must not be replaced now. */
  readonly maySearch: (segment: streamSegment.StreamSegment) => boolean;
  /** Selects a replacement. */
  readonly search: (segment: streamSegment.StreamSegment) => void;
}

/** Idle detection of one stream; see the module comment. */
export class IdleSearch {
  private readonly options: IdleSearchOptions;
  /** Set while a replacement for an idle segment is being selected. */
  private current: { readonly segment: streamSegment.StreamSegment; readonly eventCount: number } | undefined;
  private cancelTimer: ports.Cancel = () => undefined;

  constructor(options: IdleSearchOptions) {
    this.options = options;
  }

  /**
   * Starts the idle timer anew.
   *
   * @param firstEventIn - forecast time from the last placement to the first event; undefined if there is none
   */
  restartTimer(
    segment: streamSegment.StreamSegment | undefined,
    firstEventIn: ports.Milliseconds | undefined,
  ): void {
    const { timers, route, maySearch, search } = this.options;
    this.cancelTimer();
    if (!route.resumable || segment === undefined) {
      return;
    }
    // A segment that resumes from a memory copy has no prefill.
    const forecast = segment.copy === undefined ? firstEventIn : undefined;
    const timeout = idleTimeout.forRoute(route, segment.eventCount > 0, forecast);
    this.cancelTimer = timers.after(timeout, () => {
      if (maySearch(segment)) {
        this.current = { segment, eventCount: segment.eventCount };
        search(segment);
      }
    });
  }

  /** Ends the search; returns true if the segment for which it began is still idle. */
  end(segment: streamSegment.StreamSegment): boolean {
    const { current } = this;
    this.current = undefined;
    return current?.segment === segment && current.eventCount === segment.eventCount;
  }

  /** Stops the idle timer, for instance while the segment is not read. */
  cancel(): void {
    this.cancelTimer();
  }
}
