/**
 * Coordinator side of coordinated placement: places the patient requests of all entries on one group of engines,
 * using one fair queue and one set of dispatch records. It keeps soft state only, which entries refresh by resending.
 */
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import type * as timerService from '../kernel/timerService.js';
import type * as routing from '../routing/types.js';
import * as messages from './coordinationMessages.js';
import type * as localPlacement from './localPlacement.js';

interface TrackedRequest {
  readonly requesterAddress: string;
  answer: messages.CoordinatorAnswer;
  lastSeenAt: number;
  cancel: ports.Cancel;
}

/** Milliseconds without a message about a request after which it is discarded. */
const REQUEST_RETENTION = 6_000;
const SWEEP_INTERVAL = 1_000;

/** Coordinates placement on groups of engines; see the module comment. */
export class PlacementCoordinator {
  private readonly placement: localPlacement.LocalPlacement;
  private readonly peers: ports.PeerTransport;
  private readonly timers: timerService.TimerService;
  private readonly requests = new Map<string, TrackedRequest>();

  constructor(
    placement: localPlacement.LocalPlacement,
    peers: ports.PeerTransport,
    timers: timerService.TimerService,
  ) {
    this.placement = placement;
    this.peers = peers;
    this.timers = timers;
    peers.serve(messages.methods.ask, (parameters, reply) => {
      reply(results.Ok(this.handleRequest(parameters as messages.CoordinatorRequest)));
    });
    peers.serve(messages.methods.progress, (parameters) => {
      this.onProgress(parameters as messages.ProgressReport);
    });
    peers.serve(messages.methods.finished, (parameters) => {
      this.onFinished(parameters as messages.FinishNotification);
    });
    peers.serve(messages.methods.withdrawn, (parameters) => {
      this.discard((parameters as messages.FinishNotification).requestId);
    });
    timers.every(
      () => SWEEP_INTERVAL,
      () => {
        this.removeExpired();
      },
    );
  }

  /** Handles a placement request; a resent request gets the current answer and is not queued twice. */
  handleRequest(message: messages.CoordinatorRequest): messages.CoordinatorAnswer {
    const { requestId } = message.request;
    const existing = this.requests.get(requestId);
    if (existing !== undefined) {
      existing.lastSeenAt = this.timers.now();
      return existing.answer;
    }
    const tracked: TrackedRequest = {
      requesterAddress: message.from,
      answer: { state: 'waiting' },
      lastSeenAt: this.timers.now(),
      cancel: () => undefined,
    };
    this.requests.set(requestId, tracked);
    const request = { ...message.request, exclude: new Set(message.request.exclude) };
    tracked.cancel = this.placement.placePatient(request, (placement) => {
      this.onPlaced(requestId, tracked, placement);
    });
    return tracked.answer;
  }

  private onPlaced(requestId: string, tracked: TrackedRequest, placement: routing.Placement): void {
    tracked.answer =
      placement.type === 'granted'
        ? { state: 'granted', announcement: placement.upstream.announcement }
        : { state: 'refused', refusal: placement.refusal };
    if (placement.type === 'refused') {
      this.requests.delete(requestId);
    }
    const notification: messages.GrantNotification = { requestId, answer: tracked.answer };
    this.peers.notify(tracked.requesterAddress, messages.methods.granted, notification);
  }

  private onProgress(progress: messages.ProgressReport): void {
    const now = this.timers.now();
    for (const running of progress.running) {
      const tracked = this.requests.get(running.requestId);
      if (tracked !== undefined) {
        tracked.lastSeenAt = now;
      } else {
        // Granted by a previous coordinator; record the dispatch here as well.
        const answer: messages.CoordinatorAnswer = { state: 'waiting' };
        this.requests.set(running.requestId, {
          requesterAddress: '',
          answer,
          lastSeenAt: now,
          cancel: () => undefined,
        });
        this.placement.importDispatch(running);
      }
      this.placement.onProgress(running.requestId, running.produced);
    }
  }

  /** Handles the notification that a request has left its engine. */
  onFinished(finished: messages.FinishNotification): void {
    if (this.requests.delete(finished.requestId)) {
      this.placement.onFinished(finished.requestId, finished.produced, finished.whole);
    }
  }

  /** Discards a request that was withdrawn or whose entry has stopped. */
  discard(requestId: string): void {
    const tracked = this.requests.get(requestId);
    this.requests.delete(requestId);
    tracked?.cancel();
    this.placement.onFinished(requestId, 0, false);
  }

  /** Discards requests of crashed entries; their dispatch records would otherwise reserve memory forever. */
  private removeExpired(): void {
    const now = this.timers.now();
    for (const [requestId, tracked] of this.requests) {
      if (now - tracked.lastSeenAt > REQUEST_RETENTION) {
        this.discard(requestId);
      }
    }
  }
}
