/**
 * Queue for requests that arrive before a starting entry has its first configuration.
 *
 * Failure: after a full restart, callers reconnect before the configuration is available. If refused at once, they
 * use up their retries on further refusals.
 */
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import type * as types from './types.js';

/** Share of the caller's timeout that may be spent in the queue; the rest is left for the response or a retry. */
const MAXIMUM_WAIT_SHARE = 0.4;

/**
 * Upper bound of the time in the queue; covers a start with a leader election. After a restart of all processes entries
 * receive their configuration 0.1 to 1.3 s after their start.
 */
const MAXIMUM_WAIT: ports.Milliseconds = 1_500;

/** Maximum number of queued requests, each with its body; further requests are refused at once. */
const MAXIMUM_QUEUED = 200;

interface QueuedRequest {
  readonly request: types.TrafficRequest;
  readonly caller: types.CallerPort;
  readonly cancel: ports.Cancel;
}

/** Startup queue of one entry; see the module comment. */
export class StartupQueue {
  private readonly timers: timerService.TimerService;
  private readonly queued = new Set<QueuedRequest>();

  constructor(timers: timerService.TimerService) {
    this.timers = timers;
  }

  /**
   * Queues a request; false if the queue is full.
   *
   * @param onTimeout - called if the request was not released in time
   */
  enqueue(request: types.TrafficRequest, caller: types.CallerPort, onTimeout: () => void): boolean {
    if (this.queued.size >= MAXIMUM_QUEUED) {
      return false;
    }
    const totalTime = request.callerTimeout ?? MAXIMUM_WAIT;
    const deadline = request.arrivedAt + Math.min(MAXIMUM_WAIT, totalTime * MAXIMUM_WAIT_SHARE);
    const cancel = this.timers.after(Math.max(0, deadline - this.timers.now()), () => {
      this.queued.delete(queuedRequest);
      onTimeout();
    });
    const queuedRequest: QueuedRequest = { request, caller, cancel };
    this.queued.add(queuedRequest);
    caller.onDisconnect(() => {
      cancel();
      this.queued.delete(queuedRequest);
    });
    return true;
  }

  /** Passes all queued requests to `handle` in order of arrival. */
  releaseAll(handle: (request: types.TrafficRequest, caller: types.CallerPort) => void): void {
    const queued = [...this.queued];
    this.queued.clear();
    for (const { request, caller, cancel } of queued) {
      cancel();
      handle(request, caller);
    }
  }
}
