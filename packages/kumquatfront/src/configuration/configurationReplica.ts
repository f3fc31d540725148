/**
 * The configuration as one entry has it in force. It pulls from control replicas, and from other entries
 * where it cannot reach control; what it applies only ever gets newer.
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

/** Times in milliseconds. */
export interface ConfigurationReplicaSettings {
  readonly pullInterval: number;
  readonly pullTimeout: number;
  /** Time without a fresh answer after which this entry counts itself as stale. */
  readonly staleAfter: number;
}

/** What the replica is made from. */
export interface ConfigurationReplicaOptions {
  readonly settings: ConfigurationReplicaSettings;
  readonly control: controlClient.ControlClient;
  readonly peers: ports.PeerTransport;
  readonly timers: timerService.TimerService;
  readonly random: ports.Random;
  readonly log: ports.Log;
  readonly presence: () => directory.EntryPresence;
  /** Takes in which data centres are evacuated; called with ever higher revisions only. */
  readonly onEvacuations: (evacuations: agreedTypes.Evacuations) => void;
  /** Other entries, as the directory knows them. */
  readonly entries: () => readonly directory.EntryPresence[];
}

/** Pulls without an answer after which other entries are asked as well. */
const PULLS_BEFORE_PEERS = 2;

/** The replica; see the module comment. */
export class ConfigurationReplica {
  private readonly options: ConfigurationReplicaOptions;
  private objects = new Map<string, types.ConfigurationObject>();
  private version = -1;
  private clusterIdentity = '';
  private freshAt = Number.NEGATIVE_INFINITY;
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
      reply(results.Ok(this.answerPeer(parameters as methods.PullRequest)));
    });
  }

  /** Version in force; -1 before the first answer of a leader. */
  get inForce(): number {
    return this.version;
  }

  /** False until a leader has answered once: before that, what is in force elsewhere is not known. */
  isReady(): boolean {
    return this.version >= 0;
  }

  /** True while control, or an entry that hears from it, has answered recently. */
  isFresh(): boolean {
    return this.options.timers.now() - this.freshAt < this.options.settings.staleAfter;
  }

  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  all(): readonly types.ConfigurationObject[] {
    return [...this.objects.values()];
  }

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
        this.onAnswer(result);
      });
      return;
    }
    this.pullFromAny(request, this.shuffledControl());
    // Each silent control replica costs a whole timeout. Asking an entry beside them brings changes in while
    // this entry alone is cut from control, long before it would have to call itself stale.
    if (this.options.timers.now() - this.freshAt > settings.pullInterval * PULLS_BEFORE_PEERS) {
      this.pullFromPeer(request);
    }
  }

  private shuffledControl(): readonly string[] {
    const addresses = [...this.options.control.addresses];
    const start = Math.floor(this.options.random.next() * addresses.length);
    return [...addresses.slice(start), ...addresses.slice(0, start)];
  }

  /** Asks one replica after another: one that is cut off says that it is not fresh, and the next is asked. */
  private pullFromAny(request: methods.PullRequest, addresses: readonly string[]): void {
    const [first, ...others] = addresses;
    if (first === undefined) {
      return;
    }
    const { peers, settings } = this.options;
    peers.request(first, methods.methods.pull, request, settings.pullTimeout, (result) => {
      if (!this.onAnswer(result)) {
        this.pullFromAny(request, others);
      }
    });
  }

  private pullFromPeer(request: methods.PullRequest): void {
    const { peers, settings, random, entries, presence } = this.options;
    const fresh = entries().filter((entry) => entry.state !== 'stale' && entry.name !== presence().name);
    const peer = fresh[Math.floor(random.next() * fresh.length)];
    if (peer !== undefined) {
      const parameters = { ...request, presence: null };
      peers.request(peer.peerAddress, methods.methods.pull, parameters, settings.pullTimeout, (result) => {
        this.onAnswer(result);
      });
    }
  }

  private onAnswer(result: results.Result<unknown, unknown>): boolean {
    if (result.err) {
      return false;
    }
    const answer = result.val as methods.PullAnswer;
    if (!answer.fresh) {
      return false;
    }
    // Before the configuration: with the first one this entry begins to serve.
    this.takeEvacuations(answer);
    if (answer.delta !== undefined && !this.apply(answer.delta)) {
      return false;
    }
    this.freshAt = Math.max(this.freshAt, this.options.timers.now() - answer.age);
    return true;
  }

  private takeEvacuations({ evacuations }: methods.PullAnswer): void {
    if (evacuations !== undefined && evacuations.revision > this.evacuations.revision) {
      this.evacuations = evacuations;
      this.options.onEvacuations(evacuations);
    }
  }

  private apply(delta: types.ConfigurationDelta): boolean {
    const { log } = this.options;
    // Control that was founded anew counts from the beginning; taking its word would revert everything that
    // operators were told is in force.
    if (this.clusterIdentity !== '' && this.clusterIdentity !== delta.clusterIdentity) {
      log.error('otherCluster', { known: this.clusterIdentity, offered: delta.clusterIdentity });
      return false;
    }
    // Answers can cross: an older one that arrives later must not undo a newer one.
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

  private answerPeer(request: methods.PullRequest): methods.PullAnswer {
    const fresh = this.isReady() && this.isFresh() && !request.leaderOnly;
    // The age travels along: without it two entries that are both cut off would vouch for each other for ever.
    const age = this.options.timers.now() - this.freshAt;
    if (!fresh) {
      return { fresh, age };
    }
    const { clusterIdentity, version, evacuations } = this;
    const delta = { clusterIdentity, version, whole: true, objects: this.all(), deleted: [] };
    return {
      fresh,
      age,
      ...(request.version < version && { delta }),
      ...(request.evacuationRevision < evacuations.revision && { evacuations }),
    };
  }
}
