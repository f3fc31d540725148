/**
 * Placement coordinated between entries. Urgent requests are placed locally and immediately. Patient requests are
 * placed by the coordinator of a group of engines, an entry selected by rendezvous hashing that tracks all patient
 * requests running on the group. If the coordinator does not answer, this entry places the request locally.
 */
import type * as directory from '../directory/directory.js';
import type * as directoryTypes from '../directory/types.js';
import type * as ports from '../kernel/ports.js';
import type * as routing from '../routing/types.js';
import * as rendezvousHashing from '../utils/rendezvousHashing.js';
import * as messages from './coordinationMessages.js';
import * as localPlacement from './localPlacement.js';
import * as placementCoordinator from './placementCoordinator.js';

/** Settings of coordinated placement; times in milliseconds. */
export interface CoordinationSettings {
  /** Maximum number of engines in a group; each group has one coordinator. */
  readonly groupSize: number;
  /** Interval at which unanswered requests are resent and progress is reported. */
  readonly interval: number;
  /** Time within which a coordinator must answer a request. */
  readonly askTimeout: number;
}

/** Defaults for small deployments; see docs/CAPACITY.md for larger ones. */
export const defaultSettings: CoordinationSettings = { groupSize: 16, interval: 1_000, askTimeout: 300 };

/** Dependencies and settings of a coordinated placement. */
export interface CoordinatedPlacementOptions extends localPlacement.LocalPlacementOptions {
  readonly directory: directory.Directory;
  readonly name: string;
  readonly peerAddress: string;
  readonly peers: ports.PeerTransport;
  readonly coordination: CoordinationSettings;
}

interface PendingRequest {
  readonly request: routing.PlacementRequest;
  readonly done: (placement: routing.Placement) => void;
  coordinator: string;
}

interface RunningRequest {
  readonly request: routing.PlacementRequest;
  readonly upstream: string;
  produced: number;
}

/** Places requests together with the other entries; see the module comment. */
export class CoordinatedPlacement implements routing.PlacementPolicy {
  private readonly options: CoordinatedPlacementOptions;
  private readonly local: localPlacement.LocalPlacement;
  private readonly coordinator: placementCoordinator.PlacementCoordinator;
  private readonly pending = new Map<string, PendingRequest>();
  private readonly running = new Map<string, RunningRequest>();

  constructor(options: CoordinatedPlacementOptions) {
    this.options = options;
    this.local = new localPlacement.LocalPlacement(options);
    this.coordinator = new placementCoordinator.PlacementCoordinator(
      this.local,
      options.peers,
      options.timers,
    );
    options.peers.serve(messages.methods.granted, (parameters) => {
      const { requestId, answer } = parameters as messages.GrantNotification;
      this.onAnswer(requestId, answer);
    });
    options.timers.every(
      () => options.coordination.interval,
      () => {
        this.resendRequests();
        this.reportProgress();
      },
    );
  }

  place(request: routing.PlacementRequest, done: (placement: routing.Placement) => void): ports.Cancel {
    if (request.urgency === 'urgent' || request.kind === 'plainService') {
      return this.local.place(request, done);
    }
    return this.local.runWhenUsable(request, done, () => this.requestPlacement(request, done));
  }

  private requestPlacement(
    request: routing.PlacementRequest,
    done: (placement: routing.Placement) => void,
  ): ports.Cancel {
    const grouped = { ...request, group: this.pickGroup(request) };
    const pendingRequest: PendingRequest = {
      request: grouped,
      done,
      coordinator: this.coordinatorOf(grouped),
    };
    this.pending.set(request.requestId, pendingRequest);
    this.sendRequest(pendingRequest);
    return () => {
      if (this.pending.delete(request.requestId)) {
        this.withdraw(pendingRequest);
      }
    };
  }

  private pickGroup(request: routing.PlacementRequest): routing.EngineGroup {
    const engines = this.options.directory.table.candidates(request.upstreams).length;
    const count = Math.max(1, Math.ceil(engines / this.options.coordination.groupSize));
    return { index: Math.floor(this.options.random.next() * count), count };
  }

  private servingEntries(): readonly directoryTypes.EntryPresence[] {
    return this.options.directory.entries().filter((entry) => entry.state === 'serving');
  }

  /** Returns the peer address of the coordinator of a request's engine group. */
  private coordinatorOf(request: routing.PlacementRequest): string {
    return this.coordinatorOfGroup(groupKey(request));
  }

  private coordinatorOfGroup(key: string): string {
    const entries = this.servingEntries();
    const names = entries.map((entry) => entry.name);
    const picked = rendezvousHashing.pick(key, names);
    return entries.find((entry) => entry.name === picked)?.peerAddress ?? this.options.peerAddress;
  }

  /** Returns a lookup that caches the coordinator of each group, for a pass over many requests. */
  private createCoordinatorLookup(): (request: routing.PlacementRequest) => string {
    const picked = new Map<string, string>();
    return (request) => {
      const key = groupKey(request);
      const coordinator = picked.get(key) ?? this.coordinatorOfGroup(key);
      picked.set(key, coordinator);
      return coordinator;
    };
  }

  private sendRequest(pendingRequest: PendingRequest): void {
    const { peers, peerAddress, coordination } = this.options;
    const { requestId } = pendingRequest.request;
    const message: messages.CoordinatorRequest = {
      from: peerAddress,
      request: { ...pendingRequest.request, exclude: [...pendingRequest.request.exclude] },
    };
    if (pendingRequest.coordinator === peerAddress) {
      this.onAnswer(requestId, this.coordinator.handleRequest(message));
      return;
    }
    peers.request(
      pendingRequest.coordinator,
      messages.methods.ask,
      message,
      coordination.askTimeout,
      (result) => {
        if (result.ok) {
          this.onAnswer(requestId, result.val as messages.CoordinatorAnswer);
        } else {
          this.placeLocally(requestId, pendingRequest);
        }
      },
    );
  }

  /**
   * Places a request locally when its coordinator does not answer. A frozen or partitioned coordinator would
   * otherwise block all patient requests until its lease expires. At worst an engine is overcommitted and
   * preempts a generation.
   */
  private placeLocally(requestId: string, pendingRequest: PendingRequest): void {
    if (this.pending.get(requestId) !== pendingRequest) {
      return;
    }
    this.pending.delete(requestId);
    this.options.metrics.count('placement.alone', 1);
    this.local.placePatient(pendingRequest.request, (placement) => {
      this.recordPlacement(pendingRequest, placement);
    });
  }

  private recordPlacement(pendingRequest: PendingRequest, placement: routing.Placement): void {
    const { request, done } = pendingRequest;
    if (placement.type === 'granted') {
      const upstream = placement.upstream.announcement.name;
      this.running.set(request.requestId, { request, upstream, produced: 0 });
    }
    done(placement);
  }

  private onAnswer(requestId: string, answer: messages.CoordinatorAnswer): void {
    const pendingRequest = this.pending.get(requestId);
    if (pendingRequest === undefined || answer.state === 'waiting') {
      return;
    }
    this.pending.delete(requestId);
    if (answer.state === 'refused') {
      pendingRequest.done({ type: 'refused', refusal: answer.refusal });
      return;
    }
    this.onGranted(pendingRequest, answer.announcement);
  }

  private onGranted(pendingRequest: PendingRequest, announcement: directoryTypes.Announcement): void {
    const { directory: upstreams, timers } = this.options;
    // The coordinator may have learned of an upstream that gossip has not delivered to this entry yet.
    upstreams.table.applyAnnouncement(announcement, 0, timers.now());
    const upstream = upstreams.table.get(announcement.name);
    // The coordinator repeats its previous answer if the notification that the request left the engine was lost.
    const failed = pendingRequest.request.exclude.has(announcement.name);
    if (upstream === undefined || upstream.leaving || failed) {
      this.withdraw(pendingRequest);
      this.place(
        {
          ...pendingRequest.request,
          exclude: new Set([...pendingRequest.request.exclude, announcement.name]),
        },
        pendingRequest.done,
      );
      return;
    }
    if (pendingRequest.coordinator !== this.options.peerAddress) {
      this.local.dispatches.recordDispatch(pendingRequest.request, announcement.name, timers.now());
    }
    this.recordPlacement(pendingRequest, { type: 'granted', upstream });
  }

  private withdraw(pendingRequest: PendingRequest): void {
    const { requestId } = pendingRequest.request;
    if (pendingRequest.coordinator === this.options.peerAddress) {
      this.coordinator.discard(requestId);
    } else {
      this.options.peers.notify(pendingRequest.coordinator, messages.methods.withdrawn, { requestId });
    }
  }

  /** Resends unanswered requests: the answer may have been lost, or the coordinator may have changed. */
  private resendRequests(): void {
    const coordinatorOf = this.createCoordinatorLookup();
    for (const pendingRequest of [...this.pending.values()]) {
      const coordinator = coordinatorOf(pendingRequest.request);
      if (coordinator !== pendingRequest.coordinator) {
        this.withdraw(pendingRequest);
        pendingRequest.coordinator = coordinator;
      }
      this.sendRequest(pendingRequest);
    }
  }

  private reportProgress(): void {
    const coordinatorOf = this.createCoordinatorLookup();
    const byCoordinator = new Map<string, messages.RunningGeneration[]>();
    for (const { request, upstream, produced } of this.running.values()) {
      const coordinator = coordinatorOf(request);
      const list = byCoordinator.get(coordinator) ?? [];
      const { requestId, promptTokens, estimateKeys } = request;
      list.push({ requestId, upstream, promptTokens, estimateKeys, produced });
      byCoordinator.set(coordinator, list);
    }
    for (const [coordinator, running] of byCoordinator) {
      const progress: messages.ProgressReport = { running };
      this.options.peers.notify(coordinator, messages.methods.progress, progress);
    }
  }

  onProgress(requestId: string, produced: number): void {
    const running = this.running.get(requestId);
    if (running !== undefined) {
      running.produced = produced;
    }
    this.local.onProgress(requestId, produced);
  }

  onFinished(requestId: string, produced: number, completed: boolean): void {
    const running = this.running.get(requestId);
    this.running.delete(requestId);
    this.local.onFinished(requestId, produced, completed);
    if (running !== undefined) {
      this.reportFinished(this.coordinatorOf(running.request), { requestId, produced, whole: completed });
    }
  }

  /**
   * Notifies the coordinator that a request has left its engine. The coordinator in this process is called
   * synchronously: the request may be placed again immediately and would otherwise receive its previous answer.
   */
  private reportFinished(coordinator: string, finished: messages.FinishNotification): void {
    if (coordinator === this.options.peerAddress) {
      this.coordinator.onFinished(finished);
    } else {
      this.options.peers.notify(coordinator, messages.methods.finished, finished);
    }
  }

  waitingCount(): number {
    return this.pending.size + this.local.waitingCount();
  }
}

function groupKey(request: routing.PlacementRequest): string {
  return `${request.deployment}/${request.group?.index ?? 0}/${request.group?.count ?? 1}`;
}
