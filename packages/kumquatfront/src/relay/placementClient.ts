/**
 * An entry's side of placement: it asks the coordinator for places, reports what runs, and carries out moves.
 * Where no coordinator answers, the caller of this part chooses by itself.
 */
import type * as instanceView from '../instances/instanceView.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import type * as timerService from '../kernel/timerService.js';
import type * as placementTypes from '../placement/types.js';
import * as methods from '../trafficControl/methods.js';

/** Reports go out this often; the coordinator's forecasts are as old as this at most. */
const REPORT_INTERVAL: ports.Milliseconds = 250;

/** Where nothing runs a report goes out this often, so that the coordinator stays one that knows all entries. */
const EMPTY_REPORT_INTERVAL: ports.Milliseconds = 1_000;

/** A change is reported after this pause, which gathers changes of the same moment. */
const REPORT_PAUSE: ports.Milliseconds = 15;

/** Pause before a question that failed is asked again. */
const ASK_AGAIN: ports.Milliseconds = 80;

/**
 * Without an answer of any coordinator for this long an entry places by itself: an election takes as long,
 * and a caller's objective is still in reach.
 */
const COORDINATOR_GRACE: ports.Milliseconds = 900;

/** A generation that this entry serves. */
export interface OpenGeneration {
  /** What runs; undefined while it has no upstream. */
  readonly describe: () => placementTypes.RunningGeneration | undefined;
  /** True where its engine has given notice. */
  readonly isLeaving: () => boolean;
  readonly move: (target: string, done: (outcome: placementTypes.MoveOutcome) => void) => void;
  /** An instance has started anew; what it ran before is lost. */
  readonly onRestart: (instance: string) => void;
}

/** What the client is made from. */
export interface PlacementClientOptions {
  readonly entry: string;
  readonly dataCentre: string;
  readonly peerAddress: string;
  readonly peers: ports.PeerTransport;
  readonly timers: timerService.TimerService;
  readonly random: ports.Random;
  readonly log: ports.Log;
  /** Peer address of the coordinator; empty where none is known. */
  readonly coordinator: () => string;
  readonly instances: instanceView.InstanceView;
}

/** A question for a place, before the entry adds who it is. */
export type PlaceQuestion = Omit<placementTypes.PlacementRequest, 'entry' | 'dataCentre'>;

/** Answer to a question for a place; `alone` where no coordinator answers. */
export type PlaceOutcome = placementTypes.PlacementAnswer | { readonly state: 'alone' };

/** The client; see the module comment. */
export class PlacementClient {
  private readonly options: PlacementClientOptions;
  private readonly open = new Map<string, OpenGeneration>();
  private readonly epoch: string;
  private sequence = 0;
  private finished: placementTypes.FinishedGeneration[] = [];
  private reportScheduled = false;
  private reportedEmptyAt = Number.NEGATIVE_INFINITY;
  /** Questions that must be asked again when another coordinator takes over. */
  private readonly askers = new Map<string, () => void>();

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
    peers.serve(methods.methods.move, (parameters, reply) => {
      this.onMove(parameters as placementTypes.MoveCommand, reply);
    });
  }

  private onMove(command: placementTypes.MoveCommand, reply: ports.Reply): void {
    const generation = this.open.get(command.identity);
    if (generation?.describe()?.instance !== command.source) {
      reply(results.Ok('ended' satisfies placementTypes.MoveOutcome));
      return;
    }
    generation.move(command.target, (outcome) => {
      this.sendReport();
      reply(results.Ok(outcome));
    });
  }

  /** Called when another replica coordinates: questions to the former one may never be answered. */
  coordinatorChanged(): void {
    for (const ask of [...this.askers.values()]) {
      ask();
    }
    // It grants nothing before it knows what runs here, were it nothing.
    this.reportedEmptyAt = Number.NEGATIVE_INFINITY;
    this.changed();
  }

  /** Asks for a place until there is an answer; the returned function withdraws the question. */
  place(request: PlaceQuestion, done: (outcome: PlaceOutcome) => void): ports.Cancel {
    const { timers, peers, log } = this.options;
    const { identity } = request.facts;
    const begun = timers.now();
    let settled = false;
    let round = 0;
    let failingSince: number | undefined;
    let cancelTimer: ports.Cancel = () => undefined;
    const settle = (outcome: PlaceOutcome): void => {
      if (!settled) {
        settled = true;
        cancelTimer();
        this.askers.delete(identity);
        done(outcome);
      }
    };
    const fail = (): void => {
      failingSince ??= timers.now();
      if (timers.now() - failingSince > COORDINATOR_GRACE) {
        log.warn('coordinatorSilent', { request: identity, since: Math.round(timers.now() - failingSince) });
        settle({ state: 'alone' });
        return;
      }
      cancelTimer = timers.after(ASK_AGAIN, ask);
    };
    const ask = (): void => {
      if (settled) {
        return;
      }
      cancelTimer();
      round += 1;
      const asked = round;
      const coordinator = this.options.coordinator();
      if (coordinator === '') {
        fail();
        return;
      }
      const elapsed = timers.now() - begun;
      const patience = Math.max(0, request.patience - elapsed);
      const objectiveLeft = request.objectiveLeft - elapsed;
      const { entry, dataCentre } = this.options;
      const parameters: methods.PlaceRequest = { ...request, entry, dataCentre, patience, objectiveLeft };
      peers.request(coordinator, methods.methods.place, parameters, patience + 500, (result) => {
        if (settled || asked !== round) {
          return;
        }
        if (result.ok) {
          settle(result.val as placementTypes.PlacementAnswer);
        } else {
          fail();
        }
      });
    };
    this.askers.set(identity, ask);
    ask();
    return () => {
      if (!settled) {
        settled = true;
        cancelTimer();
        this.askers.delete(identity);
        const coordinator = this.options.coordinator();
        if (coordinator !== '') {
          peers.notify(coordinator, methods.methods.withdraw, { identity } satisfies methods.Withdrawal);
        }
      }
    };
  }

  /**
   * Called when an instance has started anew under its name. Its connections from before may stay silent for good
   * behind a cut; without this a caller would wait for its whole time for a stream that nobody makes any more.
   */
  onRestart(instance: string): void {
    for (const generation of [...this.open.values()]) {
      generation.onRestart(instance);
    }
  }

  /** Adds a generation to the reports. */
  opened(identity: string, generation: OpenGeneration): void {
    this.open.set(identity, generation);
    this.changed();
  }

  /** Takes a generation out of the reports; `finished` where it ended by itself. */
  closed(identity: string, finished: placementTypes.FinishedGeneration | undefined): void {
    this.open.delete(identity);
    if (finished !== undefined) {
      this.finished.push(finished);
    }
    this.changed();
  }

  /** Reports soon: something began, ended or moved. */
  changed(): void {
    if (this.reportScheduled) {
      return;
    }
    this.reportScheduled = true;
    this.options.timers.after(REPORT_PAUSE, () => {
      this.reportScheduled = false;
      this.sendReport();
    });
  }

  get openCount(): number {
    return this.open.size;
  }

  private sendReport(): void {
    const { peers, timers, entry, peerAddress, coordinator, instances } = this.options;
    const address = coordinator();
    const generations: placementTypes.RunningGeneration[] = [];
    const leaving = new Set<string>();
    for (const generation of this.open.values()) {
      const running = generation.describe();
      if (running !== undefined) {
        generations.push(running);
        if (generation.isLeaving()) {
          leaving.add(running.instance);
        }
      }
    }
    const { finished, epoch } = this;
    const now = timers.now();
    const empty = generations.length === 0 && finished.length === 0;
    if (address === '' || (empty && now - this.reportedEmptyAt < EMPTY_REPORT_INTERVAL)) {
      return;
    }
    this.reportedEmptyAt = empty ? now : Number.NEGATIVE_INFINITY;
    this.sequence += 1;
    this.finished = [];
    const report: placementTypes.EntryReport = {
      entry,
      address: peerAddress,
      epoch,
      sequence: this.sequence,
      generations,
      finished,
      leaving: [...leaving],
      unlisted: instances.unlistedBy(address, now),
    };
    peers.notify(address, methods.methods.report, report);
  }
}
