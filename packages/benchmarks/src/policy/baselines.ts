/**
 * Baselines that the policy is measured against, as placement policies.
 */
import type * as kumquatfront from 'kumquatfront';

type Policy = kumquatfront.routingTypes.PlacementPolicy;
type Options = kumquatfront.localPlacement.LocalPlacementOptions;
type Record = kumquatfront.upstreamTable.UpstreamRecord;

const RETRY_AFTER = 1_000;

function refuse(done: (placement: kumquatfront.routingTypes.Placement) => void): () => void {
  done({ type: 'refused', refusal: { reason: 'noUpstream', retryAfter: RETRY_AFTER } });
  return () => undefined;
}

/** Usable upstreams, with the same health checks that the policy has. */
function usable(options: Options, request: kumquatfront.routingTypes.PlacementRequest): readonly Record[] {
  const now = options.timers.now();
  return options.directory.table
    .candidates(request.upstreams)
    .filter(
      (candidate) =>
        candidate.expiresAt > now &&
        !request.exclude.has(candidate.announcement.name) &&
        !options.health.isEjected(candidate.announcement.name, now),
    );
}

function immediate(
  pick: (options: Options, candidates: readonly Record[]) => Record | undefined,
): (options: Options) => Policy {
  return (options) => ({
    place: (request, done) => {
      const upstream = pick(options, usable(options, request));
      if (upstream === undefined) {
        return refuse(done);
      }
      done({ type: 'granted', upstream });
      return () => undefined;
    },
    progressed: () => undefined,
    finished: () => undefined,
    waiting: () => 0,
  });
}

/**
 * Each request to the next engine.
 *
 * @param options - what a policy is made from
 * @returns the policy
 * @example
 * ```ts
 * entryNode.create(settings, ports, baselines.roundRobin);
 * ```
 */
export function roundRobin(options: Options): Policy {
  let turn = Math.floor(options.random.next() * 1_000);
  return immediate((_options, candidates) => candidates[(turn += 1) % Math.max(1, candidates.length)])(
    options,
  );
}

function reportedLoad(record: Record): number {
  return (record.load?.running ?? 0) + (record.load?.waiting ?? 0);
}

/**
 * Each request to the engine with the least load in its last report.
 *
 * @param options - what a policy is made from
 * @returns the policy
 * @example
 * ```ts
 * entryNode.create(settings, ports, baselines.leastLoaded);
 * ```
 */
export function leastLoaded(options: Options): Policy {
  return immediate((_options, candidates) => {
    const least = Math.min(...candidates.map(reportedLoad));
    return candidates.find((candidate) => reportedLoad(candidate) === least);
  })(options);
}

/** Waits in one first-come queue until an engine has a free slot, by its last report and own dispatches. */
class SingleQueue implements Policy {
  private readonly options: Options;
  private readonly queue: {
    readonly request: kumquatfront.routingTypes.PlacementRequest;
    readonly done: (placement: kumquatfront.routingTypes.Placement) => void;
  }[] = [];
  private readonly own = new Map<string, { readonly upstream: string; readonly since: number }>();

  constructor(options: Options) {
    this.options = options;
    options.timers.every(
      () => 50,
      () => {
        this.pump();
      },
    );
  }

  place(
    request: kumquatfront.routingTypes.PlacementRequest,
    done: (placement: kumquatfront.routingTypes.Placement) => void,
  ): () => void {
    const item = { request, done };
    this.queue.push(item);
    this.pump();
    return () => {
      const position = this.queue.indexOf(item);
      if (position >= 0) {
        this.queue.splice(position, 1);
      }
    };
  }

  private hasSlot(record: Record): boolean {
    const since = [...this.own.values()].filter(
      (dispatch) => dispatch.upstream === record.announcement.name && dispatch.since > record.loadAt,
    ).length;
    return reportedLoad(record) + since < record.announcement.slots;
  }

  private pump(): void {
    for (let head = this.queue[0]; head !== undefined; head = this.queue[0]) {
      const free = usable(this.options, head.request).find((record) => this.hasSlot(record));
      if (free === undefined) {
        return;
      }
      this.queue.shift();
      const upstream = free.announcement.name;
      this.own.set(head.request.requestId, { upstream, since: this.options.timers.now() });
      head.done({ type: 'granted', upstream: free });
    }
  }

  progressed(): void {
    // A slot is a slot, however far its generation has come.
  }

  finished(requestId: string): void {
    this.own.delete(requestId);
    this.pump();
  }

  waiting(): number {
    return this.queue.length;
  }
}

/**
 * One first-come queue an entry.
 *
 * @param options - what a policy is made from
 * @returns the policy
 * @example
 * ```ts
 * entryNode.create(settings, ports, baselines.singleQueue);
 * ```
 */
export function singleQueue(options: Options): Policy {
  return new SingleQueue(options);
}
