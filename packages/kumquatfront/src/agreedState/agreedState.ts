/**
 * The state that control replicas agree on: configuration, answers to change ids, claims and orders.
 * Deterministic: equal logs give equal states, and `digest` shows it.
 */
import type * as configuration from '../configuration/types.js';
import * as validation from '../configuration/validation.js';
import * as failures from '../kernel/failures.js';
import type * as trafficTypes from '../traffic/types.js';
import * as canonicalJson from '../utils/canonicalJson.js';
import * as claimTable from './claimTable.js';
import type * as types from './types.js';

interface RememberedAnswer {
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
export interface AgreedStateJson {
  readonly version: number;
  readonly objects: readonly configuration.ConfigurationObject[];
  readonly tombstones: readonly Tombstone[];
  readonly tombstoneFloor: number;
  readonly answers: readonly RememberedAnswer[];
  readonly claims: readonly types.Claim[];
  readonly orders: readonly types.Order[];
  /** Absent until an operator has sent a whole traffic configuration. */
  readonly traffic?: trafficTypes.VersionedText;
  /** Contents kept from upstreams, oldest first; absent where there is none. */
  readonly quarantined?: readonly string[];
  /** Absent until an operator has evacuated a data centre for the first time. */
  readonly evacuations?: types.Evacuations;
}

const NO_EVACUATIONS: types.Evacuations = { revision: 0, dataCentres: [] };

/** Bounds used where the settings give none. */
export const defaultLimits: types.AgreedStateLimits = {
  changeIdLife: 24 * 3_600_000,
  claimLife: 24 * 3_600_000,
  claimsPerAccount: 20_000,
  tombstones: 1_000,
  finishedOrders: 500,
  // Forty bytes each: no snapshot grows by more than ten kilobytes, and so many faults at once are another kind of day.
  quarantined: 256,
};

/** The agreed state; see the module comment. */
export class AgreedState {
  private version = 0;
  private objects = new Map<string, configuration.ConfigurationObject>();
  private tombstones: Tombstone[] = [];
  private tombstoneFloor = 0;
  private answers = new Map<string, RememberedAnswer>();
  private orders = new Map<string, types.Order>();
  private heldTraffic: trafficTypes.VersionedText | undefined;
  private heldQuarantined: readonly string[] = [];
  private heldEvacuations = NO_EVACUATIONS;
  private readonly claims: claimTable.ClaimTable;
  private readonly limits: types.AgreedStateLimits;

  constructor(limits: types.AgreedStateLimits = defaultLimits) {
    this.limits = limits;
    this.claims = new claimTable.ClaimTable(limits);
  }

  /** Version of the newest accepted change of configuration: its index in the log. */
  get configurationVersion(): number {
    return this.version;
  }

  get claimCount(): number {
    return this.claims.size;
  }

  /** The whole traffic configuration; undefined until there is one. */
  get traffic(): trafficTypes.VersionedText | undefined {
    return this.heldTraffic;
  }

  /** Contents that may be quarantined at once; a further one displaces the oldest. */
  get mostQuarantined(): number {
    return this.limits.quarantined;
  }

  /** Contents kept from upstreams; another list after each change. */
  get quarantined(): readonly string[] {
    return this.heldQuarantined;
  }

  /** Data centres whose upstreams get nothing new; another value after each change. */
  get evacuations(): types.Evacuations {
    return this.heldEvacuations;
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
        return this.evacuate(command.dataCentre, index, stamp);
      case 'restore':
        return this.restoreDataCentre(command.dataCentre, index);
      case 'quarantine':
        return this.setQuarantined([...this.quarantinedWithout(command.content), command.content]);
      case 'release':
        return this.setQuarantined(this.quarantinedWithout(command.content));
    }
  }

  /**
   * An order that changes nothing is acknowledged like any other: its operator has lost the first answer. Of an
   * evacuation and a restoration that overtake each other the one that is later in the log holds.
   */
  private evacuate(dataCentre: string, index: number, since: number): types.Evacuations {
    const { dataCentres } = this.heldEvacuations;
    if (!dataCentres.some((held) => held.dataCentre === dataCentre)) {
      this.heldEvacuations = { revision: index, dataCentres: [...dataCentres, { dataCentre, since }] };
    }
    return this.heldEvacuations;
  }

  private restoreDataCentre(dataCentre: string, index: number): types.Evacuations {
    const { dataCentres } = this.heldEvacuations;
    const left = dataCentres.filter((held) => held.dataCentre !== dataCentre);
    if (left.length < dataCentres.length) {
      this.heldEvacuations = { revision: index, dataCentres: left };
    }
    return this.heldEvacuations;
  }

  private quarantinedWithout(content: string): readonly string[] {
    return this.heldQuarantined.filter((held) => held !== content);
  }

  private setQuarantined(contents: readonly string[]): null {
    this.heldQuarantined = contents.slice(-this.limits.quarantined);
    return null;
  }

  /**
   * Only a higher version takes effect. An operator whose answer was lost sends the same one again, perhaps
   * after a higher one: taking it would put the older configuration back in force.
   */
  private replaceTraffic(command: types.ReplaceTrafficCommand): types.ReplaceTrafficAnswer {
    const { version, text } = command;
    if (this.heldTraffic === undefined || version > this.heldTraffic.version) {
      this.heldTraffic = { version, text };
    }
    return { version: this.heldTraffic.version };
  }

  private configure(command: types.ConfigureCommand, index: number, stamp: number): types.ConfigureAnswer {
    this.expireAnswers(stamp);
    const digest = canonicalJson.digest([command.kind, command.name, command.expectedVersion, command.body]);
    const remembered = this.answers.get(command.changeId);
    // An operator whose answer was lost resends: running the change again would either fail on its own
    // version or revert what came after it. The first answer, kept in the log's own state, outlives leaders.
    if (remembered !== undefined) {
      return remembered.digest === digest ? remembered.answer : changeIdReused(command.changeId);
    }
    const answer = this.change(command, index);
    this.answers.set(command.changeId, { changeId: command.changeId, digest, stamp, answer });
    return answer;
  }

  private change(command: types.ConfigureCommand, index: number): types.ConfigureAnswer {
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
    for (const [changeId, remembered] of this.answers) {
      if (remembered.stamp + this.limits.changeIdLife > stamp) {
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

  objectOf(kind: string, name: string): configuration.ConfigurationObject | undefined {
    return this.objects.get(validation.keyOf(kind, name));
  }

  /** What a puller at a version lacks. */
  deltaSince(version: number, clusterIdentity: string): configuration.ConfigurationDelta {
    const whole = version < this.tombstoneFloor || version > this.version;
    const objects = [...this.objects.values()];
    return {
      clusterIdentity,
      version: this.version,
      whole,
      objects: whole ? objects : objects.filter((object) => object.version > version),
      deleted: whole
        ? []
        : this.tombstones.filter((stone) => stone.version > version).map((stone) => stone.key),
    };
  }

  /** Equal on replicas that applied the same log. */
  digest(): string {
    return canonicalJson.digest(this.toJson());
  }

  toJson(): AgreedStateJson {
    return {
      version: this.version,
      objects: [...this.objects.values()],
      // A copy: the state goes on changing while the snapshot is kept and sent.
      tombstones: [...this.tombstones],
      tombstoneFloor: this.tombstoneFloor,
      answers: [...this.answers.values()],
      claims: this.claims.toJson(),
      orders: [...this.orders.values()],
      ...(this.heldTraffic === undefined ? {} : { traffic: this.heldTraffic }),
      ...(this.heldQuarantined.length === 0 ? {} : { quarantined: this.heldQuarantined }),
      ...(this.heldEvacuations.revision === 0 ? {} : { evacuations: this.heldEvacuations }),
    };
  }

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
    this.heldTraffic = json.traffic;
    this.heldQuarantined = json.quarantined ?? [];
    this.heldEvacuations = json.evacuations ?? NO_EVACUATIONS;
  }
}

function changeIdReused(changeId: string): types.ConfigureAnswer {
  const message = `Change id ${changeId} was used for another change.`;
  return {
    accepted: false,
    failure: failures.create('conflict', message, 'Use a fresh change id for each change.'),
  };
}
