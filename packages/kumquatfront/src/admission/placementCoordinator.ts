/**
 * The coordinator's side: places the patient requests of all entries on one group of engines, in one fair
 * queue, with one ledger. Its state is soft: askers repeat what it must know.
 */
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import type * as timerService from '../kernel/timerService.js';
import type * as routing from '../routing/types.js';
import * as messages from './coordinationMessages.js';
import type * as localPlacement from './localPlacement.js';

interface Known {
  readonly from: string;
  answer: messages.AskAnswer;
  heardAt: number;
  cancel: ports.Cancel;
}

/** Silence of an asker after which its requests are forgotten, milliseconds. */
const FORGET_AFTER = 6_000;
const SWEEP_INTERVAL = 1_000;

/** The coordinator; see the module comment. */
export class PlacementCoordinator {
  private readonly local: localPlacement.LocalPlacement;
  private readonly peers: ports.PeerTransport;
  private readonly timers: timerService.TimerService;
  private readonly known = new Map<string, Known>();

  constructor(
    local: localPlacement.LocalPlacement,
    peers: ports.PeerTransport,
    timers: timerService.TimerService,
  ) {
    this.local = local;
    this.peers = peers;
    this.timers = timers;
    peers.serve(messages.methods.ask, (parameters, reply) => {
      reply(results.Ok(this.onAsk(parameters as messages.Ask)));
    });
    peers.serve(messages.methods.progress, (parameters) => {
      this.onProgress(parameters as messages.Progress);
    });
    peers.serve(messages.methods.finished, (parameters) => {
      this.onFinished(parameters as messages.Finished);
    });
    peers.serve(messages.methods.withdrawn, (parameters) => {
      this.forget((parameters as messages.Finished).requestId);
    });
    timers.every(
      () => SWEEP_INTERVAL,
      () => {
        this.sweep();
      },
    );
  }

  /** Takes a request; a repeat gets what the first one came to, and is not queued twice. */
  onAsk(ask: messages.Ask): messages.AskAnswer {
    const { requestId } = ask.request;
    const before = this.known.get(requestId);
    if (before !== undefined) {
      before.heardAt = this.timers.now();
      return before.answer;
    }
    const known: Known = {
      from: ask.from,
      answer: { state: 'waiting' },
      heardAt: this.timers.now(),
      cancel: () => undefined,
    };
    this.known.set(requestId, known);
    const request = { ...ask.request, exclude: new Set(ask.request.exclude) };
    known.cancel = this.local.placePatient(request, (placement) => {
      this.onPlaced(requestId, known, placement);
    });
    return known.answer;
  }

  private onPlaced(requestId: string, known: Known, placement: routing.Placement): void {
    known.answer =
      placement.type === 'granted'
        ? { state: 'granted', announcement: placement.upstream.announcement }
        : { state: 'refused', refusal: placement.refusal };
    if (placement.type === 'refused') {
      this.known.delete(requestId);
    }
    const word: messages.Granted = { requestId, answer: known.answer };
    this.peers.notify(known.from, messages.methods.granted, word);
  }

  private onProgress(progress: messages.Progress): void {
    const now = this.timers.now();
    for (const running of progress.running) {
      const known = this.known.get(running.requestId);
      if (known !== undefined) {
        known.heardAt = now;
      } else {
        // Granted by a former coordinator: from here on it counts in this ledger.
        const answer: messages.AskAnswer = { state: 'waiting' };
        this.known.set(running.requestId, { from: '', answer, heardAt: now, cancel: () => undefined });
        this.local.adopt(running);
      }
      this.local.progressed(running.requestId, running.produced);
    }
  }

  /** A request has left its engine. */
  onFinished(finished: messages.Finished): void {
    if (this.known.delete(finished.requestId)) {
      this.local.finished(finished.requestId, finished.produced, finished.whole);
    }
  }

  /** A request is given up, or its asker has died. */
  forget(requestId: string): void {
    const known = this.known.get(requestId);
    this.known.delete(requestId);
    known?.cancel();
    this.local.finished(requestId, 0, false);
  }

  /** An entry that died says nothing more; what it ran must not hold memory in the ledger for ever. */
  private sweep(): void {
    const now = this.timers.now();
    for (const [requestId, known] of this.known) {
      if (now - known.heardAt > FORGET_AFTER) {
        this.forget(requestId);
      }
    }
  }
}
