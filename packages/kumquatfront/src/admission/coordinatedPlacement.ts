/**
 * Placement by entries together. Urgent requests go out at once, by this entry's own choice. Patient ones are
 * placed by the coordinator of a group of engines: an entry that all others pick by rendezvous hashing, which
 * knows everything patient that runs on the group. When it does not answer, this entry places by itself.
 */
import type * as directory from '../directory/directory.js';
import type * as directoryTypes from '../directory/types.js';
import type * as ports from '../kernel/ports.js';
import type * as routing from '../routing/types.js';
import * as rendezvous from '../utils/rendezvous.js';
import * as messages from './coordinationMessages.js';
import * as localPlacement from './localPlacement.js';
import * as placementCoordinator from './placementCoordinator.js';

/** Settings of the coordination; times in milliseconds. */
export interface CoordinationSettings {
  /** Engines in a group at most; each group has a coordinator. */
  readonly groupSize: number;
  /** Time after which an ask is repeated, and progress is told. */
  readonly interval: number;
  /** Time a coordinator has to answer an ask. */
  readonly askTimeout: number;
}

/** Settings for deployments of today's size; docs/CAPACITY.md gives those for the size designed for. */
export const defaultSettings: CoordinationSettings = { groupSize: 16, interval: 1_000, askTimeout: 300 };

/** What the placement is made from. */
export interface CoordinatedPlacementOptions extends localPlacement.LocalPlacementOptions {
  readonly directory: directory.Directory;
  readonly name: string;
  readonly peerAddress: string;
  readonly peers: ports.PeerTransport;
  readonly coordination: CoordinationSettings;
}

interface Waiting {
  readonly request: routing.PlacementRequest;
  readonly done: (placement: routing.Placement) => void;
  coordinator: string;
}

interface RunningHere {
  readonly request: routing.PlacementRequest;
  readonly upstream: string;
  produced: number;
}

/** The placement; see the module comment. */
export class CoordinatedPlacement implements routing.PlacementPolicy {
  private readonly options: CoordinatedPlacementOptions;
  private readonly local: localPlacement.LocalPlacement;
  private readonly coordinator: placementCoordinator.PlacementCoordinator;
  private readonly asked = new Map<string, Waiting>();
  private readonly running = new Map<string, RunningHere>();

  constructor(options: CoordinatedPlacementOptions) {
    this.options = options;
    this.local = new localPlacement.LocalPlacement(options);
    this.coordinator = new placementCoordinator.PlacementCoordinator(
      this.local,
      options.peers,
      options.timers,
    );
    options.peers.serve(messages.methods.granted, (parameters) => {
      const { requestId, answer } = parameters as messages.Granted;
      this.onAnswer(requestId, answer);
    });
    options.timers.every(
      () => options.coordination.interval,
      () => {
        this.repeatAsks();
        this.tellProgress();
      },
    );
  }

  place(request: routing.PlacementRequest, done: (placement: routing.Placement) => void): ports.Cancel {
    if (request.urgency === 'urgent' || request.kind === 'plainService') {
      return this.local.place(request, done);
    }
    return this.local.whenUsable(request, done, () => this.ask(request, done));
  }

  private ask(request: routing.PlacementRequest, done: (placement: routing.Placement) => void): ports.Cancel {
    const grouped = { ...request, group: this.groupFor(request) };
    const waiting: Waiting = { request: grouped, done, coordinator: this.coordinatorOf(grouped) };
    this.asked.set(request.requestId, waiting);
    this.sendAsk(waiting);
    return () => {
      if (this.asked.delete(request.requestId)) {
        this.withdraw(waiting);
      }
    };
  }

  private groupFor(request: routing.PlacementRequest): routing.EngineGroup {
    const engines = this.options.directory.table.candidates(request.upstreams).length;
    const count = Math.max(1, Math.ceil(engines / this.options.coordination.groupSize));
    return { index: Math.floor(this.options.random.next() * count), count };
  }

  private presences(): readonly directoryTypes.EntryPresence[] {
    return this.options.directory.entries().filter((entry) => entry.state === 'serving');
  }

  /** Peer address of the coordinator of a request's group. */
  private coordinatorOf(request: routing.PlacementRequest): string {
    return this.coordinatorOfGroup(groupKey(request));
  }

  private coordinatorOfGroup(key: string): string {
    const presences = this.presences();
    const names = presences.map((entry) => entry.name);
    const picked = rendezvous.pick(key, names);
    return presences.find((entry) => entry.name === picked)?.peerAddress ?? this.options.peerAddress;
  }

  /** Finds coordinators during one pass over many requests, which share few groups: each is picked once. */
  private coordinatorsOfPass(): (request: routing.PlacementRequest) => string {
    const picked = new Map<string, string>();
    return (request) => {
      const key = groupKey(request);
      const coordinator = picked.get(key) ?? this.coordinatorOfGroup(key);
      picked.set(key, coordinator);
      return coordinator;
    };
  }

  private sendAsk(waiting: Waiting): void {
    const { peers, peerAddress, coordination } = this.options;
    const { requestId } = waiting.request;
    const ask: messages.Ask = {
      from: peerAddress,
      request: { ...waiting.request, exclude: [...waiting.request.exclude] },
    };
    if (waiting.coordinator === peerAddress) {
      this.onAnswer(requestId, this.coordinator.onAsk(ask));
      return;
    }
    peers.request(waiting.coordinator, messages.methods.ask, ask, coordination.askTimeout, (result) => {
      if (result.ok) {
        this.onAnswer(requestId, result.val as messages.AskAnswer);
      } else {
        this.placeAlone(requestId, waiting);
      }
    });
  }

  /**
   * A coordinator that is frozen or cut off would hold every patient request back until its lease as an entry
   * ends. Placing alone meanwhile may fill an engine more than planned, which costs a preemption at worst.
   */
  private placeAlone(requestId: string, waiting: Waiting): void {
    if (this.asked.get(requestId) !== waiting) {
      return;
    }
    this.asked.delete(requestId);
    this.options.metrics.count('placement.alone', 1);
    this.local.placePatient(waiting.request, (placement) => {
      this.track(waiting, placement);
    });
  }

  private track(waiting: Waiting, placement: routing.Placement): void {
    const { request, done } = waiting;
    if (placement.type === 'granted') {
      const upstream = placement.upstream.announcement.name;
      this.running.set(request.requestId, { request, upstream, produced: 0 });
    }
    done(placement);
  }

  private onAnswer(requestId: string, answer: messages.AskAnswer): void {
    const waiting = this.asked.get(requestId);
    if (waiting === undefined || answer.state === 'waiting') {
      return;
    }
    this.asked.delete(requestId);
    if (answer.state === 'refused') {
      waiting.done({ type: 'refused', refusal: answer.refusal });
      return;
    }
    this.onGranted(waiting, answer.announcement);
  }

  private onGranted(waiting: Waiting, announcement: directoryTypes.Announcement): void {
    const { directory: known, timers } = this.options;
    // The coordinator may know an upstream that the news has not brought here yet.
    known.table.announce(announcement, 0, timers.now());
    const upstream = known.table.get(announcement.name);
    // The coordinator can repeat its former answer when word that the request left that engine was lost.
    const failed = waiting.request.exclude.has(announcement.name);
    if (upstream === undefined || upstream.leaving || failed) {
      this.withdraw(waiting);
      this.place(
        { ...waiting.request, exclude: new Set([...waiting.request.exclude, announcement.name]) },
        waiting.done,
      );
      return;
    }
    if (waiting.coordinator !== this.options.peerAddress) {
      this.local.ledger.dispatched(waiting.request, announcement.name, timers.now());
    }
    this.track(waiting, { type: 'granted', upstream });
  }

  private withdraw(waiting: Waiting): void {
    const { requestId } = waiting.request;
    if (waiting.coordinator === this.options.peerAddress) {
      this.coordinator.forget(requestId);
    } else {
      this.options.peers.notify(waiting.coordinator, messages.methods.withdrawn, { requestId });
    }
  }

  /** Asks again: an answer may be lost, and the coordinator may be another by now. */
  private repeatAsks(): void {
    const coordinatorOf = this.coordinatorsOfPass();
    for (const waiting of [...this.asked.values()]) {
      const coordinator = coordinatorOf(waiting.request);
      if (coordinator !== waiting.coordinator) {
        this.withdraw(waiting);
        waiting.coordinator = coordinator;
      }
      this.sendAsk(waiting);
    }
  }

  private tellProgress(): void {
    const coordinatorOf = this.coordinatorsOfPass();
    const byCoordinator = new Map<string, messages.Running[]>();
    for (const { request, upstream, produced } of this.running.values()) {
      const coordinator = coordinatorOf(request);
      const list = byCoordinator.get(coordinator) ?? [];
      const { requestId, promptTokens, estimateKeys } = request;
      list.push({ requestId, upstream, promptTokens, estimateKeys, produced });
      byCoordinator.set(coordinator, list);
    }
    for (const [coordinator, running] of byCoordinator) {
      const progress: messages.Progress = { running };
      this.options.peers.notify(coordinator, messages.methods.progress, progress);
    }
  }

  progressed(requestId: string, produced: number): void {
    const running = this.running.get(requestId);
    if (running !== undefined) {
      running.produced = produced;
    }
    this.local.progressed(requestId, produced);
  }

  finished(requestId: string, produced: number, whole: boolean): void {
    const running = this.running.get(requestId);
    this.running.delete(requestId);
    this.local.finished(requestId, produced, whole);
    if (running !== undefined) {
      this.tellFinished(this.coordinatorOf(running.request), { requestId, produced, whole });
    }
  }

  /**
   * Tells the coordinator that a request has left its engine. This entry's own is told at once and not by a
   * message to itself: the request may ask again in the same moment, and would get its former answer.
   */
  private tellFinished(coordinator: string, finished: messages.Finished): void {
    if (coordinator === this.options.peerAddress) {
      this.coordinator.onFinished(finished);
    } else {
      this.options.peers.notify(coordinator, messages.methods.finished, finished);
    }
  }

  waiting(): number {
    return this.asked.size + this.local.waiting();
  }
}

function groupKey(request: routing.PlacementRequest): string {
  return `${request.deployment}/${request.group?.index ?? 0}/${request.group?.count ?? 1}`;
}
