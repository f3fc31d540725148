/**
 * The agreed state, which the control replicas replicate: configuration, answers to change ids, claims, orders,
 * quarantined contents and evacuations. Deterministic: replicas with the same log have the same state and digest.
 */
import type * as configuration from '../configuration/types.js';
import * as validation from '../configuration/validation.js';
import * as failures from '../kernel/failures.js';
import type * as trafficTypes from '../traffic/types.js';
import * as canonicalJson from '../utils/canonicalJson.js';
import * as claimTable from './claimTable.js';
import * as evacuationTable from './evacuationTable.js';
import type * as types from './types.js';

interface RecordedAnswer {
  readonly changeId: string;
  readonly digest: string;
  readonly stamp: number;
  readonly answer: types.ConfigureAnswer;
}

interface Tombstone {
  readonly key: string;
  readonly version: number;
}

/** The agreed state as JSON, for snapshots. */
export interface AgreedStateJson extends evacuationTable.EvacuationTableJson {
  readonly version: number;
  readonly objects: readonly configuration.ConfigurationObject[];
  readonly tombstones: readonly Tombstone[];
  readonly tombstoneFloor: number;
  readonly answers: readonly RecordedAnswer[];
  readonly claims: readonly types.Claim[];
  readonly orders: readonly types.Order[];
  /** Absent until an operator has sent a traffic configuration. */
  readonly traffic?: trafficTypes.VersionedText;
  /** Digests of quarantined contents, oldest first; absent if there are none. */
  readonly quarantined?: readonly string[];
}

/** Limits that apply if the settings specify none. */
export const defaultLimits: types.AgreedStateLimits = {
  changeIdLife: 24 * 3_600_000,
  claimLife: 24 * 3_600_000,
  claimsPerAccount: 20_000,
  tombstones: 1_000,
  finishedOrders: 500,
  // Bounds the size of snapshots.
  quarantined: 256,
};

/** Replicated state machine of the control replicas. */
export class AgreedState {
  private version = 0;
  private objects = new Map<string, configuration.ConfigurationObject>();
  private tombstones: Tombstone[] = [];
  private tombstoneFloor = 0;
  private answers = new Map<string, RecordedAnswer>();
  private orders = new Map<string, types.Order>();
  private currentTraffic: trafficTypes.VersionedText | undefined;
  private currentQuarantined: readonly string[] = [];
  private readonly evacuationTable = new evacuationTable.EvacuationTable();
  private readonly claims: claimTable.ClaimTable;
  private readonly limits: types.AgreedStateLimits;

  constructor(limits: types.AgreedStateLimits = defaultLimits) {
    this.limits = limits;
    this.claims = new claimTable.ClaimTable(limits);
  }

  /** Version of the configuration: the log index of the latest accepted change. */
  get configurationVersion(): number {
    return this.version;
  }

  /** Number of claims kept, over all client accounts. */
  get claimCount(): number {
    return this.claims.size;
  }

  /** Current traffic configuration; undefined until one has been accepted. */
  get traffic(): trafficTypes.VersionedText | undefined {
    return this.currentTraffic;
  }

  /** Maximum number of quarantined contents; a further one evicts the oldest. */
  get maximumQuarantined(): number {
    return this.limits.quarantined;
  }

  /** Digests of quarantined contents, oldest first; a new array after each change. */
  get quarantined(): readonly string[] {
    return this.currentQuarantined;
  }

  /** Evacuated data centres; a new object after each change. */
  get evacuations(): types.Evacuations {
    return this.evacuationTable.evacuations;
  }

  /** The answer to an order on a data centre that is void after a newer one; undefined if it would take effect. */
  rejectionOf(command: types.DataCentreCommand): types.DataCentreAnswer | undefined {
    return this.evacuationTable.rejectionOf(command);
  }

  /** Applies one committed command. */
  apply(command: types.Command, index: number, stamp: number): unknown {
    switch (command.type) {
      case 'configure':
        return this.configure(command, index, stamp);
      case 'claim':
        return this.claims.claim(command, stamp);
      case 'settleClaim':
        this.claims.settle(command, stamp);
        return null;
      case 'order':
        return this.placeOrder(command, index, stamp);
      case 'settleOrder':
        return this.settleOrder(command);
      case 'replaceTraffic':
        return this.replaceTraffic(command);
      case 'evacuate':
      case 'restore':
        return this.evacuationTable.apply(command, index, stamp);
      case 'quarantine':
        return this.setQuarantined([...this.quarantinedWithout(command.content), command.content]);
      case 'release':
        return this.setQuarantined(this.quarantinedWithout(command.content));
    }
  }

  private quarantinedWithout(content: string): readonly string[] {
    return this.currentQuarantined.filter((quarantined) => quarantined !== content);
  }

  private setQuarantined(contents: readonly string[]): null {
    this.currentQuarantined = contents.slice(-this.limits.quarantined);
    return null;
  }

  /**
   * Only a higher version takes effect: an operator that received no answer may resend a version after a higher one
   * was accepted, and applying it would restore the older configuration.
   */
  private replaceTraffic(command: types.ReplaceTrafficCommand): types.ReplaceTrafficAnswer {
    const { version, text } = command;
    if (this.currentTraffic === undefined || version > this.currentTraffic.version) {
      this.currentTraffic = { version, text };
    }
    return { version: this.currentTraffic.version };
  }

  private configure(command: types.ConfigureCommand, index: number, stamp: number): types.ConfigureAnswer {
    this.expireAnswers(stamp);
    const digest = canonicalJson.digest([command.kind, command.name, command.expectedVersion, command.body]);
    const recorded = this.answers.get(command.changeId);
    // A resent change gets the first answer: applied again, it would conflict with its own version or revert later
    // changes. The answers are part of the replicated state, so they survive a change of leader.
    if (recorded !== undefined) {
      return recorded.digest === digest ? recorded.answer : changeIdReusedAnswer(command.changeId);
    }
    const answer = this.applyChange(command, index);
    this.answers.set(command.changeId, { changeId: command.changeId, digest, stamp, answer });
    return answer;
  }

  private applyChange(command: types.ConfigureCommand, index: number): types.ConfigureAnswer {
    const key = validation.keyOf(command.kind, command.name);
    const current = this.objects.get(key)?.version ?? 0;
    if (current !== command.expectedVersion) {
      const message = `${key} has version ${current}, not ${command.expectedVersion}.`;
      const remedy = 'Read it again, see whether the change is still wanted, and apply it on that version.';
      return { accepted: false, failure: failures.create('conflict', message, remedy, { version: current }) };
    }
    return command.body === null ? this.remove(key, index) : this.put(command, key, index);
  }

  private put(command: types.ConfigureCommand, key: string, index: number): types.ConfigureAnswer {
    const checked = validation
      .checkShape(command)
      .andThen((draft) =>
        validation.checkReferences(draft, (other) => this.objects.get(other), this.objects.values()),
      );
    if (checked.err) {
      return { accepted: false, failure: checked.val };
    }
    const { kind, name, body } = command;
    this.objects.set(key, { kind, name, body, version: index } as configuration.ConfigurationObject);
    this.version = index;
    return { accepted: true, version: index };
  }

  private remove(key: string, index: number): types.ConfigureAnswer {
    const checked = validation.checkDeletion(key, this.objects.values());
    if (checked.err) {
      return { accepted: false, failure: checked.val };
    }
    this.objects.delete(key);
    this.tombstones.push({ key, version: index });
    if (this.tombstones.length > this.limits.tombstones) {
      this.tombstoneFloor = this.tombstones.shift()?.version ?? this.tombstoneFloor;
    }
    this.version = index;
    return { accepted: true, version: index };
  }

  private expireAnswers(stamp: number): void {
    for (const [changeId, recorded] of this.answers) {
      if (recorded.stamp + this.limits.changeIdLife > stamp) {
        return;
      }
      this.answers.delete(changeId);
    }
  }

  private placeOrder(command: types.OrderCommand, index: number, stamp: number): types.Order {
    const known = this.orders.get(command.orderId);
    if (known !== undefined) {
      return known;
    }
    const { orderId, upstream, order } = command;
    const placed: types.Order = { orderId, upstream, order, fencingNumber: index, stamp, state: 'open' };
    this.orders.set(orderId, placed);
    return placed;
  }

  private settleOrder(command: types.SettleOrderCommand): null {
    const known = this.orders.get(command.orderId);
    if (known?.state === 'open') {
      this.orders.set(command.orderId, { ...known, state: command.result });
    }
    const finished = [...this.orders.values()].filter((order) => order.state !== 'open');
    for (const order of finished.slice(0, Math.max(0, finished.length - this.limits.finishedOrders))) {
      this.orders.delete(order.orderId);
    }
    return null;
  }

  /** Orders that are not settled yet, oldest first. */
  openOrders(): readonly types.Order[] {
    return [...this.orders.values()].filter((order) => order.state === 'open');
  }

  /** The current configuration object; undefined if there is none. */
  objectOf(kind: string, name: string): configuration.ConfigurationObject | undefined {
    return this.objects.get(validation.keyOf(kind, name));
  }

  /** Configuration changes since a version, for an entry that pulls them. */
  deltaSince(version: number, clusterIdentity: string): configuration.ConfigurationDelta {
    const isComplete = version < this.tombstoneFloor || version > this.version;
    const objects = [...this.objects.values()];
    return {
      clusterIdentity,
      version: this.version,
      whole: isComplete,
      objects: isComplete ? objects : objects.filter((object) => object.version > version),
      deleted: isComplete
        ? []
        : this.tombstones
            .filter((tombstone) => tombstone.version > version)
            .map((tombstone) => tombstone.key),
    };
  }

  /** Digest of the state; equal on replicas that have applied the same log. */
  digest(): string {
    return canonicalJson.digest(this.toJson());
  }

  /** The state as JSON, for a snapshot. */
  toJson(): AgreedStateJson {
    return {
      version: this.version,
      objects: [...this.objects.values()],
      // Copied, because the state changes while the snapshot is stored and sent.
      tombstones: [...this.tombstones],
      tombstoneFloor: this.tombstoneFloor,
      answers: [...this.answers.values()],
      claims: this.claims.toJson(),
      orders: [...this.orders.values()],
      ...(this.currentTraffic === undefined ? {} : { traffic: this.currentTraffic }),
      ...(this.currentQuarantined.length === 0 ? {} : { quarantined: this.currentQuarantined }),
      ...this.evacuationTable.toJson(),
    };
  }

  /** Replaces the state by that of a snapshot. */
  restore(json: AgreedStateJson): void {
    this.version = json.version;
    this.objects = new Map(
      json.objects.map((object) => [validation.keyOf(object.kind, object.name), object]),
    );
    this.tombstones = [...json.tombstones];
    this.tombstoneFloor = json.tombstoneFloor;
    this.answers = new Map(json.answers.map((answer) => [answer.changeId, answer]));
    this.claims.restore(json.claims);
    this.orders = new Map(json.orders.map((order) => [order.orderId, order]));
    this.currentTraffic = json.traffic;
    this.currentQuarantined = json.quarantined ?? [];
    this.evacuationTable.restore(json);
  }
}

function changeIdReusedAnswer(changeId: string): types.ConfigureAnswer {
  const message = `Change id ${changeId} was used for another change.`;
  return {
    accepted: false,
    failure: failures.create('conflict', message, 'Use a fresh change id for each change.'),
  };
}
