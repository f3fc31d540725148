/**
 * One seeded run of random faults against control: changes, claims and orders from several clients while
 * replicas die, lose disks, freeze and are cut off. Afterwards everything heals and one history is checked.
 */
import * as kumquatfront from 'kumquatfront';

import * as session from '../language/session.js';

/** What a run found. */
export interface SoakResult {
  readonly seed: number;
  readonly faults: readonly string[];
  readonly accepted: number;
  readonly claimsGranted: number;
  readonly events: readonly string[];
}

interface AcceptedChange {
  readonly name: string;
  readonly object: string;
  readonly version: number;
}

const STEPS = 60;
const STEP_LENGTH = 150;
const HEAL_TIME = 20_000;
const OBJECTS = 4;
const KEYS = 6;

/** Drives one run. */
class Soak {
  private readonly random: kumquatfront.ports.Random;
  private readonly current: session.Session;
  private readonly names: readonly string[];
  private readonly events: string[] = [];
  private readonly grants = new Map<string, string[]>();
  private readonly versions = new Map<string, number>();
  private readonly changeObjects = new Map<string, { object: string; expected: number }>();
  private readonly inForceSeen = new Map<string, number>();
  private readonly faults: string[] = [];
  private count = 0;

  constructor(seed: number) {
    this.random = kumquatfront.seededRandom.create(seed * 7919 + 1);
    this.names = ['control-1', 'control-2', 'control-3'];
    this.current = new session.Session({
      seed,
      controlNames: this.names,
      entryNames: ['entry-1', 'entry-2'],
      dataCentreOf: (name) => name,
      network: { withinDataCentre: 0.5, betweenDataCentres: 1.5, loss: 0.02 },
      syncDelay: 3,
      control: {
        timing: {
          heartbeat: 100,
          electionTimeout: 1_000,
          leaseShare: 0.8,
          snapshotEvery: 15,
          snapshotPieceLength: 2_048,
          appendLimit: 8,
        },
      },
    });
    this.current.configure();
  }

  private pick<Value>(values: readonly Value[]): Value | undefined {
    return values[Math.floor(this.random.next() * values.length)];
  }

  private isUp(name: string): boolean {
    return this.current.world.hostOf(name).isUp;
  }

  private note(text: string): void {
    this.events.push(`${this.current.world.time.now().toFixed(0)} ${text}`);
  }

  /**
   * True while every running replica votes under its present identity: a second disk may be lost right after
   * a repair, but not before it, since two lost disks of three are more than any quorum can tolerate.
   */
  private mayLoseDisk(name: string): boolean {
    const { world } = this.current;
    const [leader] = world.leaders();
    const members = world.controls.get(leader ?? '')?.node?.status().replica.members ?? [];
    const voters = new Set(
      members.filter((member) => member.role === 'voter').map((member) => member.identity),
    );
    const own = this.names.map((other) => world.controls.get(other)?.node?.status().replica.identity ?? '');
    const repaired = members.length === this.names.length && own.every((identity) => voters.has(identity));
    return repaired && leader !== name && this.names.every((other) => this.isUp(other));
  }

  private fault(): void {
    const { world } = this.current;
    const name = this.pick(this.names) ?? '';
    const dice = this.random.next();
    if (dice < 0.25 && this.isUp(name)) {
      const loses = this.random.next() < 0.3 && this.mayLoseDisk(name);
      this.note(`kill ${name}${loses ? ' and lose its disk' : ''}`);
      world.kill(name, this.random.next() < 0.5);
      if (loses) {
        world.controls.get(name)?.disk.lose();
      }
    } else if (dice < 0.5 && !this.isUp(name)) {
      this.note(`boot ${name}`);
      world.boot(name);
    } else if (dice < 0.62 && this.isUp(name)) {
      this.note(`freeze ${name}`);
      world.freeze(name);
    } else if (dice < 0.74) {
      this.note(`thaw ${name}`);
      world.thaw(name);
    } else if (dice < 0.84) {
      const other = this.pick(this.names) ?? '';
      this.note(`cut ${name} to ${other} one way`);
      world.net.cutOneWay(name, other);
    } else if (dice < 0.94) {
      this.note('heal');
      world.net.heal();
    } else {
      this.note(`isolate ${name}`);
      world.isolate(name);
    }
  }

  private change(): void {
    this.count += 1;
    const name = `soak-${this.count}`;
    const object = `object-${Math.floor(this.random.next() * OBJECTS)}`;
    const expected = this.versions.get(object) ?? 0;
    const body = { labels: { region: name } };
    const draft = {
      kind: 'market' as const,
      name: object,
      body,
      expectedVersion: expected,
      changeId: `id-${name}`,
    };
    this.changeObjects.set(name, { object, expected });
    this.current.change(name, draft, this.pick(this.names) ?? '');
  }

  /** Claims one of a few keys at some replica, as an entry would: the same attempt may ask several replicas. */
  private claim(): void {
    this.count += 1;
    const attempt = `attempt-${this.count}`;
    const key = `key-${Math.floor(this.random.next() * KEYS)}`;
    const command = {
      type: 'claim',
      account: 'canteen',
      key,
      digest: 'd',
      holder: 'entry',
      attempt,
    } as const;
    for (const name of this.names) {
      const { node, host } = this.current.world.controls.get(name) ?? {};
      if (node === undefined || host?.isUp !== true || host.isFrozen) {
        continue;
      }
      node.services.find('replica').propose(command, (result) => {
        if (result.ok && (result.val as kumquatfront.agreedTypes.ClaimAnswer).state === 'granted') {
          this.grants.set(key, [...new Set([...(this.grants.get(key) ?? []), attempt])]);
        }
      });
    }
  }

  private learnVersions(): void {
    for (const [name, change] of this.changeObjects) {
      const record = this.current.changes.get(name);
      // A refused operator is told the version that won, and goes on from there.
      const winner = record?.state === 'accepted' ? record.version : record?.failure?.detail?.version;
      if (typeof winner === 'number') {
        this.versions.set(change.object, Math.max(this.versions.get(change.object) ?? 0, winner));
      }
    }
  }

  /** What must hold at every moment. */
  private watch(): void {
    const { world } = this.current;
    if (world.leaders().length > 1) {
      this.faults.push(`two leaders at ${world.time.now()}: ${world.leaders().join(', ')}`);
    }
    for (const [name, slot] of world.entries) {
      const version = slot.node?.services.find('configuration').inForce ?? -1;
      if (version < (this.inForceSeen.get(name) ?? -1)) {
        this.faults.push(`${name} went back from ${this.inForceSeen.get(name) ?? -1} to ${version}`);
      }
      this.inForceSeen.set(name, version);
    }
  }

  private heal(): void {
    const { world } = this.current;
    world.net.heal();
    for (const name of this.names) {
      if (!this.isUp(name)) {
        world.boot(name);
      }
      world.thaw(name);
    }
    for (let waited = 0; waited < HEAL_TIME; waited += STEP_LENGTH) {
      world.time.advance(STEP_LENGTH);
      this.watch();
    }
  }

  private checkHistory(): readonly AcceptedChange[] {
    const accepted: AcceptedChange[] = [];
    for (const [name, { object }] of this.changeObjects) {
      const record = this.current.changes.get(name);
      if (record?.state === 'accepted') {
        accepted.push({ name, object, version: record.version });
      }
    }
    const winners = new Map<string, string>();
    for (const change of accepted) {
      const expected = this.changeObjects.get(change.name)?.expected ?? 0;
      const race = `${change.object} on version ${expected}`;
      if (winners.has(race)) {
        this.faults.push(`two winners of ${race}: ${winners.get(race) ?? ''} and ${change.name}`);
      }
      winners.set(race, change.name);
    }
    this.checkState(accepted);
    return accepted;
  }

  private checkState(accepted: readonly AcceptedChange[]): void {
    const { world } = this.current;
    const statuses = [...world.controls.values()].map((slot) => slot.node?.status());
    if (new Set(statuses.map((status) => status?.digest)).size !== 1) {
      this.faults.push('replicas differ after everything healed');
    }
    const voters = statuses[0]?.replica.members.filter((member) => member.role === 'voter').length;
    if (world.leaders().length !== 1 || voters !== this.names.length) {
      this.faults.push(`after everything healed: ${world.leaders().length} leaders, ${voters ?? 0} voters`);
    }
    const [leader] = world.leaders();
    const state = world.controls.get(leader ?? '')?.node?.services.find('state');
    for (const change of accepted) {
      const version = state?.objectOf('market', change.object)?.version ?? 0;
      if (version < change.version) {
        this.faults.push(
          `${change.name} was accepted as ${change.version}; ${change.object} is at ${version}`,
        );
      }
    }
    if (this.current.inForce(state?.configurationVersion ?? 0) !== world.entries.size) {
      this.faults.push('the newest version is not in force everywhere');
    }
    for (const [key, attempts] of this.grants) {
      if (attempts.length > 1) {
        this.faults.push(`${key} was granted to ${attempts.join(' and ')}`);
      }
    }
  }

  run(seed: number): SoakResult {
    for (let step = 0; step < STEPS; step += 1) {
      this.learnVersions();
      this.change();
      this.claim();
      if (this.random.next() < 0.35) {
        this.fault();
      }
      this.current.world.time.advance(STEP_LENGTH);
      this.watch();
    }
    this.heal();
    const accepted = this.checkHistory();
    const { faults, events } = this;
    return { seed, faults, accepted: accepted.length, claimsGranted: this.grants.size, events };
  }
}

/**
 * Runs one seed.
 *
 * @param seed - a whole number
 * @returns what was found
 * @example
 * ```ts
 * assert.deepEqual(soakRun.run(7).faults, []);
 * ```
 */
export function run(seed: number): SoakResult {
  try {
    return new Soak(seed).run(seed);
  } catch (error) {
    const fault = error instanceof Error ? (error.stack ?? error.message) : String(error);
    return { seed, faults: [fault], accepted: 0, claimsGranted: 0, events: [] };
  }
}
