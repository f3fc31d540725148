/**
 * Soak run with a seed: submits changes and claims to control while replicas crash, lose disks, freeze and are cut off.
 * All faults are then repaired, and the history and the state are checked for consistency.
 */
import * as kumquatfront from 'kumquatfront';

import * as session from '../language/session.js';

/** Result of a soak run. */
export interface SoakResult {
  readonly seed: number;
  readonly violations: readonly string[];
  readonly accepted: number;
  readonly claimsGranted: number;
  readonly events: readonly string[];
}

interface AcceptedChange {
  readonly name: string;
  readonly object: string;
  readonly version: number;
}

const STEP_COUNT = 60;
const STEP_DURATION = 150;
const RECOVERY_DURATION = 20_000;
const OBJECT_COUNT = 4;
const KEY_COUNT = 6;

/** One soak run. */
class FaultRun {
  private readonly random: kumquatfront.ports.Random;
  private readonly session: session.Session;
  private readonly controlNames: readonly string[];
  private readonly events: string[] = [];
  private readonly grantedAttempts = new Map<string, string[]>();
  private readonly knownVersions = new Map<string, number>();
  private readonly changeObjects = new Map<string, { object: string; expected: number }>();
  private readonly lastVersionsInForce = new Map<string, number>();
  private readonly violations: string[] = [];
  private operationCount = 0;

  constructor(seed: number) {
    this.random = kumquatfront.seededRandom.create(seed * 7919 + 1);
    this.controlNames = ['control-1', 'control-2', 'control-3'];
    this.session = new session.Session({
      seed,
      controlNames: this.controlNames,
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
    this.session.configure();
  }

  private pick<Value>(values: readonly Value[]): Value | undefined {
    return values[Math.floor(this.random.next() * values.length)];
  }

  private isUp(name: string): boolean {
    return this.session.world.hostOf(name).isUp;
  }

  private recordEvent(text: string): void {
    this.events.push(`${this.session.world.time.now().toFixed(0)} ${text}`);
  }

  /**
   * Whether a replica other than the leader may lose its disk: only while every replica runs and votes under its current
   * identity, since a quorum of three tolerates the loss of one disk.
   */
  private mayLoseDisk(name: string): boolean {
    const { world } = this.session;
    const [leader] = world.leaders();
    const members = world.controls.get(leader ?? '')?.node?.status().replica.members ?? [];
    const voters = new Set(
      members.filter((member) => member.role === 'voter').map((member) => member.identity),
    );
    const currentIdentities = this.controlNames.map(
      (other) => world.controls.get(other)?.node?.status().replica.identity ?? '',
    );
    const isRepaired =
      members.length === this.controlNames.length &&
      currentIdentities.every((identity) => voters.has(identity));
    return isRepaired && leader !== name && this.controlNames.every((other) => this.isUp(other));
  }

  private injectFault(): void {
    const { world } = this.session;
    const name = this.pick(this.controlNames) ?? '';
    const draw = this.random.next();
    if (draw < 0.25 && this.isUp(name)) {
      const losesDisk = this.random.next() < 0.3 && this.mayLoseDisk(name);
      this.recordEvent(`kill ${name}${losesDisk ? ' and lose its disk' : ''}`);
      world.kill(name, this.random.next() < 0.5);
      if (losesDisk) {
        world.controls.get(name)?.disk.erase();
      }
    } else if (draw < 0.5 && !this.isUp(name)) {
      this.recordEvent(`boot ${name}`);
      world.boot(name);
    } else if (draw < 0.62 && this.isUp(name)) {
      this.recordEvent(`freeze ${name}`);
      world.freeze(name);
    } else if (draw < 0.74) {
      this.recordEvent(`thaw ${name}`);
      world.thaw(name);
    } else if (draw < 0.84) {
      const other = this.pick(this.controlNames) ?? '';
      this.recordEvent(`cut ${name} to ${other} one way`);
      world.network.cutOneWay(name, other);
    } else if (draw < 0.94) {
      this.recordEvent('heal');
      world.network.heal();
    } else {
      this.recordEvent(`isolate ${name}`);
      world.isolate(name);
    }
  }

  private submitChange(): void {
    this.operationCount += 1;
    const name = `soak-${this.operationCount}`;
    const object = `object-${Math.floor(this.random.next() * OBJECT_COUNT)}`;
    const expected = this.knownVersions.get(object) ?? 0;
    const body = { labels: { region: name } };
    const draft = {
      kind: 'market' as const,
      name: object,
      body,
      expectedVersion: expected,
      changeId: `id-${name}`,
    };
    this.changeObjects.set(name, { object, expected });
    this.session.submitChange(name, draft, this.pick(this.controlNames) ?? '');
  }

  /** Claims a random key with the same attempt at every running replica, like an entry that retries at other replicas. */
  private proposeClaim(): void {
    this.operationCount += 1;
    const attempt = `attempt-${this.operationCount}`;
    const key = `key-${Math.floor(this.random.next() * KEY_COUNT)}`;
    const command = {
      type: 'claim',
      account: 'canteen',
      key,
      digest: 'd',
      holder: 'entry',
      attempt,
    } as const;
    for (const name of this.controlNames) {
      const { node, host } = this.session.world.controls.get(name) ?? {};
      if (node === undefined || host?.isUp !== true || host.isFrozen) {
        continue;
      }
      node.services.find('replica').propose(command, (result) => {
        if (result.ok && (result.val as kumquatfront.agreedTypes.ClaimAnswer).state === 'granted') {
          this.grantedAttempts.set(key, [...new Set([...(this.grantedAttempts.get(key) ?? []), attempt])]);
        }
      });
    }
  }

  private updateKnownVersions(): void {
    for (const [name, change] of this.changeObjects) {
      const record = this.session.changes.get(name);
      // A conflict reports the current version; the next change expects that version.
      const winningVersion = record?.state === 'accepted' ? record.version : record?.failure?.detail?.version;
      if (typeof winningVersion === 'number') {
        this.knownVersions.set(
          change.object,
          Math.max(this.knownVersions.get(change.object) ?? 0, winningVersion),
        );
      }
    }
  }

  /** Checks the invariants that hold at all times. */
  private checkInvariants(): void {
    const { world } = this.session;
    if (world.leaders().length > 1) {
      this.violations.push(`two leaders at ${world.time.now()}: ${world.leaders().join(', ')}`);
    }
    for (const [name, entry] of world.entries) {
      const version = entry.node?.services.find('configuration').versionInForce ?? -1;
      if (version < (this.lastVersionsInForce.get(name) ?? -1)) {
        this.violations.push(
          `${name}: version in force went back from ${this.lastVersionsInForce.get(name) ?? -1} to ${version}`,
        );
      }
      this.lastVersionsInForce.set(name, version);
    }
  }

  private recover(): void {
    const { world } = this.session;
    world.network.heal();
    for (const name of this.controlNames) {
      if (!this.isUp(name)) {
        world.boot(name);
      }
      world.thaw(name);
    }
    for (let waited = 0; waited < RECOVERY_DURATION; waited += STEP_DURATION) {
      world.time.advance(STEP_DURATION);
      this.checkInvariants();
    }
  }

  private checkHistory(): readonly AcceptedChange[] {
    const accepted: AcceptedChange[] = [];
    for (const [name, { object }] of this.changeObjects) {
      const record = this.session.changes.get(name);
      if (record?.state === 'accepted') {
        accepted.push({ name, object, version: record.version });
      }
    }
    const winners = new Map<string, string>();
    for (const change of accepted) {
      const expected = this.changeObjects.get(change.name)?.expected ?? 0;
      const contest = `${change.object} on version ${expected}`;
      if (winners.has(contest)) {
        this.violations.push(`two winners of ${contest}: ${winners.get(contest) ?? ''} and ${change.name}`);
      }
      winners.set(contest, change.name);
    }
    this.checkFinalState(accepted);
    return accepted;
  }

  private checkFinalState(accepted: readonly AcceptedChange[]): void {
    const { world } = this.session;
    const statuses = [...world.controls.values()].map((replica) => replica.node?.status());
    if (new Set(statuses.map((status) => status?.digest)).size !== 1) {
      this.violations.push('state digests of replicas differ after recovery');
    }
    const voters = statuses[0]?.replica.members.filter((member) => member.role === 'voter').length;
    if (world.leaders().length !== 1 || voters !== this.controlNames.length) {
      this.violations.push(`after recovery: ${world.leaders().length} leaders, ${voters ?? 0} voters`);
    }
    const [leader] = world.leaders();
    const state = world.controls.get(leader ?? '')?.node?.services.find('state');
    for (const change of accepted) {
      const version = state?.objectOf('market', change.object)?.version ?? 0;
      if (version < change.version) {
        this.violations.push(
          `${change.name} was accepted as ${change.version}; ${change.object} is at ${version}`,
        );
      }
    }
    if (this.session.countEntriesInForce(state?.configurationVersion ?? 0) !== world.entries.size) {
      this.violations.push('the newest version is not in force at all entries');
    }
    for (const [key, attempts] of this.grantedAttempts) {
      if (attempts.length > 1) {
        this.violations.push(`${key} was granted to ${attempts.join(' and ')}`);
      }
    }
  }

  run(seed: number): SoakResult {
    for (let step = 0; step < STEP_COUNT; step += 1) {
      this.updateKnownVersions();
      this.submitChange();
      this.proposeClaim();
      if (this.random.next() < 0.35) {
        this.injectFault();
      }
      this.session.world.time.advance(STEP_DURATION);
      this.checkInvariants();
    }
    this.recover();
    const accepted = this.checkHistory();
    const { violations, events } = this;
    return { seed, violations, accepted: accepted.length, claimsGranted: this.grantedAttempts.size, events };
  }
}

/**
 * Runs the soak test with one seed.
 *
 * @param seed - integer seed
 * @returns the result
 * @example
 * ```ts
 * assert.deepEqual(soakRun.run(7).violations, []);
 * ```
 */
export function run(seed: number): SoakResult {
  try {
    return new FaultRun(seed).run(seed);
  } catch (error) {
    const message = error instanceof Error ? (error.stack ?? error.message) : String(error);
    return { seed, violations: [message], accepted: 0, claimsGranted: 0, events: [] };
  }
}
