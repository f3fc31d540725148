/**
 * Configuration replica of an entry. It pulls configuration from control replicas, and from other entries when
 * control is unreachable, and never applies a version older than the current one.
 */
import type * as agreedTypes from '../agreedState/types.js';
import type * as controlClient from '../controlClient/controlClient.js';
import * as methods from '../controlNode/methods.js';
import type * as directory from '../directory/types.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import type * as timerService from '../kernel/timerService.js';
import type * as types from './types.js';
import * as validation from './validation.js';

/** Pull settings. Times are in milliseconds. */
export interface ConfigurationReplicaSettings {
  readonly pullInterval: number;
  readonly pullTimeout: number;
  /** Time without a fresh answer after which this entry considers itself stale. */
  readonly staleAfter: number;
}

/** Dependencies and settings of a configuration replica. */
export interface ConfigurationReplicaOptions {
  readonly settings: ConfigurationReplicaSettings;
  readonly control: controlClient.ControlClient;
  readonly peers: ports.PeerTransport;
  readonly timers: timerService.TimerService;
  readonly random: ports.Random;
  readonly log: ports.Log;
  readonly presence: () => directory.EntryPresence;
  /** Called with the evacuated data centres; each call has a higher revision than the one before. */
  readonly onEvacuations: (evacuations: agreedTypes.Evacuations) => void;
  /** Entries currently listed in the directory. */
  readonly entries: () => readonly directory.EntryPresence[];
}

/** Number of pull intervals without a fresh answer after which other entries are pulled from as well. */
const MISSED_PULLS_BEFORE_PEER_PULL = 2;

/** Pulls, stores and serves the configuration of one entry. */
export class ConfigurationReplica {
  private readonly options: ConfigurationReplicaOptions;
  private objects = new Map<string, types.ConfigurationObject>();
  private version = -1;
  private clusterIdentity = '';
  private lastFreshAt = Number.NEGATIVE_INFINITY;
  private evacuations: agreedTypes.Evacuations = { revision: 0, dataCentres: [] };
  private readonly listeners: (() => void)[] = [];

  constructor(options: ConfigurationReplicaOptions) {
    this.options = options;
    const { timers, settings, random, peers } = options;
    timers.every(
      () => settings.pullInterval * (0.75 + random.next() / 2),
      () => {
        this.pull();
      },
    );
    timers.after(0, () => {
      this.pull();
    });
    peers.serve(methods.methods.pull, (parameters, reply) => {
      reply(results.Ok(this.answerPeerPull(parameters as methods.PullRequest)));
    });
  }

  /** Version of the configuration in force; -1 before the first answer from a leader. */
  get versionInForce(): number {
    return this.version;
  }

  /** True once a leader has answered; until then the version in force on other entries is unknown. */
  isReady(): boolean {
    return this.version >= 0;
  }

  /** True if control, or an entry in contact with control, has answered within `staleAfter`. */
  isFresh(): boolean {
    return this.options.timers.now() - this.lastFreshAt < this.options.settings.staleAfter;
  }

  /** Registers a listener that is called after each applied change. */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Returns all objects of the configuration in force. */
  listObjects(): readonly types.ConfigurationObject[] {
    return [...this.objects.values()];
  }

  /** Returns the body of an object, or undefined if it is not configured. */
  find<Kind extends types.ConfigurationKind>(
    kind: Kind,
    name: string,
  ): types.ConfigurationBodies[Kind] | undefined {
    const object = this.objects.get(validation.keyOf(kind, name));
    return object?.body as types.ConfigurationBodies[Kind] | undefined;
  }

  private pull(): void {
    const { settings, control } = this.options;
    const request: methods.PullRequest = {
      version: this.version,
      evacuationRevision: this.evacuations.revision,
      leaderOnly: !this.isReady(),
      presence: this.options.presence(),
    };
    if (request.leaderOnly) {
      control.callLeader(methods.methods.pull, request, settings.pullTimeout, (result) => {
        this.applyAnswer(result);
      });
      return;
    }
    this.pullFromAny(request, this.rotatedControlAddresses());
    // Each unresponsive control replica costs a full timeout. Pulling from another entry in parallel keeps this
    // entry up to date when it alone is partitioned from control, before it becomes stale.
    if (
      this.options.timers.now() - this.lastFreshAt >
      settings.pullInterval * MISSED_PULLS_BEFORE_PEER_PULL
    ) {
      this.pullFromPeer(request);
    }
  }

  private rotatedControlAddresses(): readonly string[] {
    const addresses = [...this.options.control.addresses];
    const start = Math.floor(this.options.random.next() * addresses.length);
    return [...addresses.slice(start), ...addresses.slice(0, start)];
  }

  /** Pulls from the replicas in order until one gives a fresh answer; a partitioned replica answers as not fresh. */
  private pullFromAny(request: methods.PullRequest, addresses: readonly string[]): void {
    const [first, ...others] = addresses;
    if (first === undefined) {
      return;
    }
    const { peers, settings } = this.options;
    peers.request(first, methods.methods.pull, request, settings.pullTimeout, (result) => {
      if (!this.applyAnswer(result)) {
        this.pullFromAny(request, others);
      }
    });
  }

  private pullFromPeer(request: methods.PullRequest): void {
    const { peers, settings, random, entries, presence } = this.options;
    const candidates = entries().filter((entry) => entry.state !== 'stale' && entry.name !== presence().name);
    const peer = candidates[Math.floor(random.next() * candidates.length)];
    if (peer !== undefined) {
      const parameters = { ...request, presence: null };
      peers.request(peer.peerAddress, methods.methods.pull, parameters, settings.pullTimeout, (result) => {
        this.applyAnswer(result);
      });
    }
  }

  private applyAnswer(result: results.Result<unknown, unknown>): boolean {
    if (result.err) {
      return false;
    }
    const answer = result.val as methods.PullAnswer;
    if (!answer.fresh) {
      return false;
    }
    // Evacuations are applied first because the entry starts serving with its first configuration.
    this.applyEvacuations(answer);
    if (answer.delta !== undefined && !this.applyDelta(answer.delta)) {
      return false;
    }
    this.lastFreshAt = Math.max(this.lastFreshAt, this.options.timers.now() - answer.age);
    return true;
  }

  private applyEvacuations({ evacuations }: methods.PullAnswer): void {
    if (evacuations !== undefined && evacuations.revision > this.evacuations.revision) {
      this.evacuations = evacuations;
      this.options.onEvacuations(evacuations);
    }
  }

  private applyDelta(delta: types.ConfigurationDelta): boolean {
    const { log } = this.options;
    // A re-bootstrapped control cluster restarts its version numbers; applying its configuration would revert
    // changes already acknowledged to operators.
    if (this.clusterIdentity !== '' && this.clusterIdentity !== delta.clusterIdentity) {
      log.error('otherCluster', { known: this.clusterIdentity, offered: delta.clusterIdentity });
      return false;
    }
    // Answers can arrive out of order: an older version must not replace a newer one.
    if (delta.version <= this.version) {
      return true;
    }
    this.clusterIdentity = delta.clusterIdentity;
    const next = new Map(delta.whole ? [] : this.objects);
    for (const key of delta.deleted) {
      next.delete(key);
    }
    for (const object of delta.objects) {
      next.set(validation.keyOf(object.kind, object.name), object);
    }
    this.objects = next;
    this.version = delta.version;
    log.info('configurationInForce', { version: delta.version, objects: next.size });
    for (const listener of this.listeners) {
      listener();
    }
    return true;
  }

  private answerPeerPull(request: methods.PullRequest): methods.PullAnswer {
    const canAnswer = this.isReady() && this.isFresh() && !request.leaderOnly;
    // The age is included so that two partitioned entries cannot keep each other fresh indefinitely.
    const age = this.options.timers.now() - this.lastFreshAt;
    if (!canAnswer) {
      return { fresh: canAnswer, age };
    }
    const { clusterIdentity, version, evacuations } = this;
    const delta = { clusterIdentity, version, whole: true, objects: this.listObjects(), deleted: [] };
    return {
      fresh: canAnswer,
      age,
      ...(request.version < version && { delta }),
      ...(request.evacuationRevision < evacuations.revision && { evacuations }),
    };
  }
}
