/**
 * Placement of one request with quarantine: refuses content that crashes upstreams, and reports the start and outcome of
 * each run to the crash detector.
 */
import type * as upstreamTable from '../directory/upstreamTable.js';
import type * as ports from '../kernel/ports.js';
import type * as crashDetector from '../quarantine/crashDetector.js';
import type * as quarantine from '../quarantine/quarantine.js';
import type * as requestCauses from '../quarantine/requestCauses.js';
import type * as routing from '../routing/types.js';
import type * as generationRelay from '../streams/generationRelay.js';

/** Dependencies of a guarded placement. */
export interface GuardedPlacementOptions {
  readonly request: Omit<routing.PlacementRequest, 'exclude'>;
  readonly causes: requestCauses.RequestCauses;
  readonly placement: routing.PlacementPolicy;
  readonly quarantine: quarantine.Quarantine;
  readonly log: ports.Log;
}

type PlacementDone = (placement: routing.Placement) => void;

/**
 * Identity of the current incarnation of an upstream.
 *
 * @param upstream - record of the upstream
 * @returns name and incarnation
 * @example
 * ```ts
 * guardedPlacement.identityOf(record); // 'engine-3#1700000000000'
 * ```
 */
export function identityOf(upstream: upstreamTable.UpstreamRecord): string {
  const { name, incarnation } = upstream.announcement;
  return `${name}#${incarnation}`;
}

/** The placements of one request; see the module comment. */
export class GuardedPlacement {
  private readonly options: GuardedPlacementOptions;
  private currentRun: { readonly instance: crashDetector.CheckedInstance; readonly run: number } | undefined;
  private isChecking = false;
  private deferredPlacement: (() => void) | undefined;

  constructor(options: GuardedPlacementOptions) {
    this.options = options;
  }

  private get verdict(): ReturnType<quarantine.Quarantine['verdictOf']> {
    return this.options.quarantine.verdictOf(this.options.causes);
  }

  /** Requests an upstream from the placement policy, unless the content is quarantined. */
  requestPlacement(exclude: ReadonlySet<string>, done: PlacementDone): ports.Cancel {
    let cancel: ports.Cancel = () => {
      this.deferredPlacement = undefined;
    };
    const place = (): void => {
      cancel = this.placeUnlessQuarantined(exclude, done);
    };
    // While the previous upstream is being checked for a crash, a suspect content waits for the result; placed at once,
    // it might crash another upstream.
    if (this.isChecking && this.verdict !== 'free') {
      this.deferredPlacement = place;
    } else {
      place();
    }
    return () => {
      cancel();
    };
  }

  private placeUnlessQuarantined(exclude: ReadonlySet<string>, done: PlacementDone): ports.Cancel {
    const { placement, request } = this.options;
    if (!this.options.quarantine.admit(this, this.options.causes)) {
      this.refuse(done);
      return () => undefined;
    }
    return placement.place({ ...request, exclude }, (answer) => {
      this.onAnswer(answer, done);
    });
  }

  private onAnswer(answer: routing.Placement, done: PlacementDone): void {
    const { placement, request, causes, quarantine: contentQuarantine } = this.options;
    if (answer.type === 'refused') {
      done(answer);
    } else if (!contentQuarantine.maySend(this, causes)) {
      placement.onFinished(request.requestId, 0, false);
      this.refuse(done);
    } else {
      contentQuarantine.recordSent(this);
      const { address } = answer.upstream.announcement;
      const instance = { identity: identityOf(answer.upstream), address };
      this.currentRun = {
        instance,
        run: contentQuarantine.detector.runStarted(instance.identity, causes, request.requestId),
      };
      done(answer);
    }
  }

  private refuse(done: PlacementDone): void {
    const { request, causes, quarantine: contentQuarantine, log } = this.options;
    log.info('requestQuarantined', { request: request.requestId, ...contentQuarantine.logFieldsOf(causes) });
    done({ type: 'refused', refusal: { reason: 'quarantined' } });
  }

  /** Records that the upstream has produced a token, so that no part of the prompt is the cause of crashes. */
  onProgress(): void {
    const { causes, quarantine: contentQuarantine } = this.options;
    if (this.currentRun !== undefined) {
      const { instance, run } = this.currentRun;
      contentQuarantine.detector.recordEvent(instance.identity, run);
      contentQuarantine.recordEvent(causes, true);
    }
  }

  /** Records that the request has released its upstream. */
  onReleased(reason: generationRelay.ReleaseReason): void {
    const { currentRun } = this;
    const { causes, quarantine: contentQuarantine } = this.options;
    this.currentRun = undefined;
    if (currentRun === undefined) {
      return;
    }
    const { instance, run } = currentRun;
    if (reason === 'failure' || reason === 'stall') {
      this.isChecking = true;
      contentQuarantine.detector.runBroken(instance, run, () => {
        this.onChecked();
      });
      return;
    }
    contentQuarantine.detector.runFinished(instance.identity, run);
    if (reason === 'whole') {
      contentQuarantine.recordAnswer(causes.content);
    }
  }

  private onChecked(): void {
    const { deferredPlacement } = this;
    this.isChecking = false;
    this.deferredPlacement = undefined;
    deferredPlacement?.();
  }
}
