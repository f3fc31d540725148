/**
 * Places of one request of the product's own interface, behind the gate that keeps contents under which upstreams end
 * away from them, with word to the detector of how each run ended.
 */
import type * as upstreamTable from '../directory/upstreamTable.js';
import type * as ports from '../kernel/ports.js';
import type * as crashDetector from '../quarantine/crashDetector.js';
import type * as quarantine from '../quarantine/quarantine.js';
import type * as routing from '../routing/types.js';
import type * as generationRelay from '../streams/generationRelay.js';

/** What it is made from. */
export interface WatchedPlacementOptions {
  readonly request: Omit<routing.PlacementRequest, 'exclude'>;
  readonly content: string;
  readonly placement: routing.PlacementPolicy;
  readonly quarantine: quarantine.Quarantine;
  readonly log: ports.Log;
}

type PlacementDone = (placement: routing.Placement) => void;

/**
 * Identity of an upstream's present life.
 *
 * @param upstream - its record
 * @returns name and incarnation
 * @example
 * ```ts
 * watchedPlacement.identityOf(record); // 'engine-3#1700000000000'
 * ```
 */
export function identityOf(upstream: upstreamTable.UpstreamRecord): string {
  const { name, incarnation } = upstream.announcement;
  return `${name}#${incarnation}`;
}

/** The places of one request; see the module comment. */
export class WatchedPlacement {
  private readonly options: WatchedPlacementOptions;
  private running: { readonly instance: crashDetector.CheckedInstance; readonly run: number } | undefined;
  private isChecking = false;
  private waiting: (() => void) | undefined;

  constructor(options: WatchedPlacementOptions) {
    this.options = options;
  }

  private get verdict(): ReturnType<quarantine.Quarantine['verdictOf']> {
    return this.options.quarantine.verdictOf(this.options.content);
  }

  /** Asks for a place, as the placement policy does. */
  place(exclude: ReadonlySet<string>, done: PlacementDone): ports.Cancel {
    let cancel: ports.Cancel = () => {
      this.waiting = undefined;
    };
    const ask = (): void => {
      cancel = this.ask(exclude, done);
    };
    // The last upstream may just have ended under a content that is suspected already: whether it did is known in a
    // moment, and one more may end otherwise.
    if (this.isChecking && this.verdict !== 'free') {
      this.waiting = ask;
    } else {
      ask();
    }
    return () => {
      cancel();
    };
  }

  private ask(exclude: ReadonlySet<string>, done: PlacementDone): ports.Cancel {
    const { placement, request } = this.options;
    if (this.verdict === 'quarantined') {
      this.refuse(done);
      return () => undefined;
    }
    return placement.place({ ...request, exclude }, (answer) => {
      this.onAnswer(answer, done);
    });
  }

  private onAnswer(answer: routing.Placement, done: PlacementDone): void {
    const { placement, request, content, quarantine: held } = this.options;
    if (answer.type === 'refused') {
      done(answer);
    } else if (this.verdict === 'quarantined') {
      placement.finished(request.requestId, 0, false);
      this.refuse(done);
    } else {
      const { address } = answer.upstream.announcement;
      const instance = { identity: identityOf(answer.upstream), address };
      this.running = { instance, run: held.detector.begun(instance.identity, content, request.requestId) };
      done(answer);
    }
  }

  private refuse(done: PlacementDone): void {
    const { request, content, quarantine: held, log } = this.options;
    log.info('requestQuarantined', { request: request.requestId, ...held.describe(content) });
    done({ type: 'refused', refusal: { reason: 'quarantined' } });
  }

  /** Notes that the request has left its upstream. */
  left(reason: generationRelay.LeaveReason): void {
    const { running } = this;
    const { content, quarantine: held } = this.options;
    this.running = undefined;
    if (running === undefined) {
      return;
    }
    const { instance, run } = running;
    if (reason === 'failure' || reason === 'stall') {
      this.isChecking = true;
      held.detector.broke(instance, run, () => {
        this.onChecked();
      });
      return;
    }
    held.detector.ended(instance.identity, run);
    if (reason === 'whole') {
      held.answered(content);
    }
  }

  private onChecked(): void {
    const { waiting } = this;
    this.isChecking = false;
    this.waiting = undefined;
    waiting?.();
  }
}
