/**
 * Client of the placement coordinator: requests placements, reports running generations, and executes moves.
 * If no coordinator responds, the caller of `place` selects an upstream locally.
 */
import type * as instanceView from '../instances/instanceView.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import type * as timerService from '../kernel/timerService.js';
import type * as placementTypes from '../placement/types.js';
import * as methods from '../trafficControl/methods.js';
import type * as paceTypes from '../upstreamPace/types.js';
import type * as upstreamPaces from '../upstreamPace/upstreamPaces.js';

/** Interval between reports to the coordinator. */
const REPORT_INTERVAL: ports.Milliseconds = 250;

/** Interval between empty reports, which keep the coordinator's view of all entries complete. */
const EMPTY_REPORT_INTERVAL: ports.Milliseconds = 1_000;

/** Interval at which an entry without own observations asks for the merged paces of plain upstreams. */
const PACE_REQUEST_INTERVAL: ports.Milliseconds = 1_000;

/** Minimum time between two reports of own observations of plain calls. */
const PACE_SUM_INTERVAL: ports.Milliseconds = 250;

/** Timeout of a report whose response returns the merged paces; a later response would be outdated. */
const PACE_RESPONSE_TIMEOUT: ports.Milliseconds = 1_000;

/** Delay before a change is reported, to batch changes. */
const REPORT_DELAY: ports.Milliseconds = 15;

/** Delay before a failed placement request is sent again. */
const REQUEST_RETRY_DELAY: ports.Milliseconds = 80;

/**
 * Time without a response from any coordinator after which the entry selects upstreams itself. It covers an election
 * and leaves time to meet the caller's objective.
 */
const COORDINATOR_TIMEOUT: ports.Milliseconds = 900;

/** A generation that this entry relays. */
export interface OpenGeneration {
  /** Current state for reports; undefined while no upstream is assigned. */
  readonly describe: () => placementTypes.RunningGeneration | undefined;
  /** True if its upstream has sent a termination notice. */
  readonly isUpstreamDraining: () => boolean;
  /** Moves the generation to another engine. */
  readonly move: (target: string, done: (outcome: placementTypes.MoveOutcome) => void) => void;
  /** Handles the restart of an instance, which loses its earlier runs. */
  readonly onRestart: (instance: string) => void;
}

/** Dependencies of the client. */
export interface PlacementClientOptions {
  readonly entry: string;
  readonly dataCentre: string;
  readonly peerAddress: string;
  readonly peers: ports.PeerTransport;
  readonly timers: timerService.TimerService;
  readonly random: ports.Random;
  readonly log: ports.Log;
  /** Peer address of the coordinator; empty if unknown. */
  readonly coordinator: () => string;
  readonly instances: instanceView.InstanceView;
  /** Paces of plain upstreams; undefined if the feature is disabled. */
  readonly paces?: upstreamPaces.UpstreamPaces;
}

/** A placement request without the fields that identify the entry. */
export type PlacementParameters = Omit<placementTypes.PlacementRequest, 'entry' | 'dataCentre'>;

/** Result of a placement request; `alone` if no coordinator responded. */
export type PlacementOutcome = placementTypes.PlacementAnswer | { readonly state: 'alone' };

/** Placement client of one entry; see the module comment. */
export class PlacementClient {
  private readonly options: PlacementClientOptions;
  private readonly openGenerations = new Map<string, OpenGeneration>();
  private readonly epoch: string;
  private sequence = 0;
  private finished: placementTypes.FinishedGeneration[] = [];
  private reportScheduled = false;
  private emptyReportSentAt = Number.NEGATIVE_INFINITY;
  private pacesRequestedAt = Number.NEGATIVE_INFINITY;
  /** Senders of pending placement requests, by request; each is sent again to a new coordinator. */
  private readonly pendingRequests = new Map<string, () => void>();

  constructor(options: PlacementClientOptions) {
    this.options = options;
    const { timers, peers } = options;
    this.epoch = options.random.identity();
    timers.every(
      () => REPORT_INTERVAL,
      () => {
        this.sendReport();
      },
    );
    options.paces?.onObserved(() => {
      if (this.arePacesDue(timers.now())) {
        this.scheduleReport();
      }
    });
    peers.serve(methods.methods.move, (parameters, reply) => {
      this.onMove(parameters as placementTypes.MoveCommand, reply);
    });
  }

  private onMove(command: placementTypes.MoveCommand, reply: ports.Reply): void {
    const generation = this.openGenerations.get(command.identity);
    if (generation?.describe()?.instance !== command.source) {
      reply(results.Ok('ended' satisfies placementTypes.MoveOutcome));
      return;
    }
    generation.move(command.target, (outcome) => {
      this.sendReport();
      reply(results.Ok(outcome));
    });
  }

  /** Sends pending requests again, since the former coordinator may never respond. */
  onCoordinatorChange(): void {
    for (const sendRequest of [...this.pendingRequests.values()]) {
      sendRequest();
    }
    // The new coordinator grants no placements before it has a report of this entry, even an empty one.
    this.emptyReportSentAt = Number.NEGATIVE_INFINITY;
    this.scheduleReport();
  }

  /** Requests a placement and retries until there is a result; the returned function withdraws the request. */
  place(request: PlacementParameters, done: (outcome: PlacementOutcome) => void): ports.Cancel {
    const { timers, peers, log } = this.options;
    const { identity } = request.facts;
    const startedAt = timers.now();
    let settled = false;
    let latestAttempt = 0;
    let failingSince: number | undefined;
    let cancelTimer: ports.Cancel = () => undefined;
    const settle = (outcome: PlacementOutcome): void => {
      if (!settled) {
        settled = true;
        cancelTimer();
        this.pendingRequests.delete(identity);
        done(outcome);
      }
    };
    const retryOrFallBack = (): void => {
      failingSince ??= timers.now();
      if (timers.now() - failingSince > COORDINATOR_TIMEOUT) {
        log.warn('coordinatorSilent', { request: identity, since: Math.round(timers.now() - failingSince) });
        settle({ state: 'alone' });
        return;
      }
      cancelTimer = timers.after(REQUEST_RETRY_DELAY, sendRequest);
    };
    const sendRequest = (): void => {
      if (settled) {
        return;
      }
      cancelTimer();
      latestAttempt += 1;
      const attempt = latestAttempt;
      const coordinator = this.options.coordinator();
      if (coordinator === '') {
        retryOrFallBack();
        return;
      }
      const elapsed = timers.now() - startedAt;
      const waitLeft = Math.max(0, request.patience - elapsed);
      const longestWait =
        request.longestWait === undefined ? undefined : Math.max(0, request.longestWait - elapsed);
      const objectiveLeft = request.objectiveLeft - elapsed;
      const { entry, dataCentre } = this.options;
      const parameters: methods.PlaceRequest = {
        ...request,
        entry,
        dataCentre,
        patience: waitLeft,
        objectiveLeft,
        ...(longestWait !== undefined && { longestWait }),
      };
      const timeout = Math.max(waitLeft, longestWait ?? 0) + 500;
      peers.request(coordinator, methods.methods.place, parameters, timeout, (result) => {
        if (settled || attempt !== latestAttempt) {
          return;
        }
        if (result.ok) {
          settle(result.val as placementTypes.PlacementAnswer);
        } else {
          retryOrFallBack();
        }
      });
    };
    this.pendingRequests.set(identity, sendRequest);
    sendRequest();
    return () => {
      if (!settled) {
        settled = true;
        cancelTimer();
        this.pendingRequests.delete(identity);
        const coordinator = this.options.coordinator();
        if (coordinator !== '') {
          peers.notify(coordinator, methods.methods.withdraw, {
            identity,
          } satisfies methods.PlacementWithdrawal);
        }
      }
    };
  }

  /**
   * Notifies open generations that an instance has restarted.
   *
   * Failure: in a network partition the connections to the previous run stay open without data, and callers wait
   * until their timeout for streams that have ended.
   */
  onRestart(instance: string): void {
    for (const generation of [...this.openGenerations.values()]) {
      generation.onRestart(instance);
    }
  }

  /** Includes a generation in the reports. */
  addGeneration(identity: string, generation: OpenGeneration): void {
    this.openGenerations.set(identity, generation);
    this.scheduleReport();
  }

  /** Removes a generation from the reports; `finished` is set if it completed. */
  removeGeneration(identity: string, finished: placementTypes.FinishedGeneration | undefined): void {
    this.openGenerations.delete(identity);
    if (finished !== undefined) {
      this.finished.push(finished);
    }
    this.scheduleReport();
  }

  /** Schedules a report after a generation has started, ended or moved. */
  scheduleReport(): void {
    if (this.reportScheduled) {
      return;
    }
    this.reportScheduled = true;
    this.options.timers.after(REPORT_DELAY, () => {
      this.reportScheduled = false;
      this.sendReport();
    });
  }

  /** Number of generations that this entry relays. */
  get openCount(): number {
    return this.openGenerations.size;
  }

  /** True if the next report is to carry sums of plain calls, and its response the merged paces. */
  private arePacesDue(now: ports.Milliseconds): boolean {
    const { paces } = this.options;
    if (paces === undefined) {
      return false;
    }
    const elapsed = Math.abs(now - this.pacesRequestedAt);
    return paces.hasSums
      ? elapsed >= PACE_SUM_INTERVAL
      : paces.isInterested && elapsed >= PACE_REQUEST_INTERVAL;
  }

  private sendReport(): void {
    const { peers, timers, entry, peerAddress, coordinator, instances } = this.options;
    const coordinatorAddress = coordinator();
    const generations: placementTypes.RunningGeneration[] = [];
    const drainingInstances = new Set<string>();
    for (const generation of this.openGenerations.values()) {
      const running = generation.describe();
      if (running !== undefined) {
        generations.push(running);
        if (generation.isUpstreamDraining()) {
          drainingInstances.add(running.instance);
        }
      }
    }
    const { finished, epoch } = this;
    const now = timers.now();
    const isEmpty = generations.length === 0 && finished.length === 0;
    const arePacesDue = this.arePacesDue(now);
    const isRecent = now - this.emptyReportSentAt < EMPTY_REPORT_INTERVAL;
    if (coordinatorAddress === '' || (isEmpty && isRecent && !arePacesDue)) {
      return;
    }
    this.emptyReportSentAt = isEmpty ? now : Number.NEGATIVE_INFINITY;
    this.sequence += 1;
    this.finished = [];
    const report: placementTypes.EntryReport = {
      entry,
      address: peerAddress,
      epoch,
      sequence: this.sequence,
      generations,
      finished,
      leaving: [...drainingInstances],
      unlisted: instances.unlistedBy(coordinatorAddress, now),
    };
    const { paces } = this.options;
    if (!arePacesDue || paces === undefined) {
      peers.notify(coordinatorAddress, methods.methods.report, report);
      return;
    }
    this.pacesRequestedAt = now;
    const reportWithSums = { ...report, paces: paces.takeSums() };
    const { report: method } = methods.methods;
    peers.request(coordinatorAddress, method, reportWithSums, PACE_RESPONSE_TIMEOUT, (result) => {
      // A process without this feature answers null.
      const answer = result.ok ? (result.val as paceTypes.PaceAnswer | null) : null;
      paces.adopt(answer?.paces);
    });
  }
}
