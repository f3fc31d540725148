/**
 * Simulates callers, entries of different strength and the address look-ups of control replicas, on virtual time. Every
 * open connection is the same load; the event-loop lag of an entry follows its utilization as in an M/M/1 queue.
 */
import * as seededRandom from '../adapters/seededRandom.js';
import type * as ports from '../kernel/ports.js';
import * as virtualTime from '../kernel/virtualTime.js';
import * as entryDirectory from '../trafficControl/entryDirectory.js';
import type * as methods from '../trafficControl/methods.js';
import * as entryCapacity from './entryCapacity.js';
import * as entryUtilization from './entryUtilization.js';

export const DATA_CENTRES = ['a', 'b', 'c'] as const;
const REPLICAS = 6;
const MAXIMUM_ADDRESSES = 64;
const SAMPLE_INTERVAL: ports.Milliseconds = 200;
const STATUS_INTERVAL: ports.Milliseconds = 600;
const STATUS_DELAY: ports.Milliseconds = 30;

/** Lag of an entry without free capacity. */
const SATURATED_LAG: ports.Milliseconds = 500;

const WEAK: entryCapacity.EntryCapacity = {
  ...{ cores: 0.243, memoryMegabytes: 186, descriptors: 2_212, linkMegabitsPerSecond: 5.25 },
};
const STRONG: entryCapacity.EntryCapacity = {
  ...{ cores: 0.81, memoryMegabytes: 310, descriptors: 10_250, linkMegabitsPerSecond: 17.5 },
};

/** An entry of the simulation. */
export interface SimulatedEntry {
  readonly name: string;
  readonly dataCentre: string;
  readonly capacity: entryCapacity.EntryCapacity;
  readonly strength: number;
  /** Speed relative to the stated capacity. */
  speed: number;
  state: methods.EntryState;
  readyAt: ports.Milliseconds;
  /** False for an older version that states neither capacity nor utilization. */
  statesFigures: boolean;
  /** False if control receives no status of it. */
  sendsStatus: boolean;
  connections: number;
  utilization: entryUtilization.EntryUtilization;
  /** Utilization, summed over samples since the last reset. */
  utilizationSum: number;
  /** Connections opened since the last reset. */
  opened: number;
}

/** Options of {@link Fleet}. */
export interface FleetOptions {
  readonly seed: number;
  readonly usesWeights?: boolean;
  /** Mean utilization if every entry has its stated speed. */
  readonly meanUtilization?: number;
  readonly callersPerDataCentre?: number;
  /** Whether all entries have the capacity of the weak ones. */
  readonly isUniform?: boolean;
}

/** Simulated fleet; see the module comment. */
export class Fleet {
  readonly time = new virtualTime.VirtualTime();
  readonly entries: readonly SimulatedEntry[];
  /** Look-ups that returned no address. */
  emptyLookups = 0;
  /** Reports of entries with reduced weights, of all replicas. */
  readonly weightReports: (readonly string[])[] = [];
  private readonly random: ports.Random;
  private readonly directories: readonly entryDirectory.EntryDirectory[];
  private readonly loadPerConnection: number;
  private sampleCount = 0;
  private shiftedFrom = 0;
  private remoteConnections = 0;

  constructor(options: FleetOptions) {
    const { seed, usesWeights = true, meanUtilization = 0.55, callersPerDataCentre = 600 } = options;
    this.random = seededRandom.create(seed);
    this.directories = Array.from(
      { length: REPLICAS },
      (_none, index) =>
        new entryDirectory.EntryDirectory(seededRandom.create(seed * 100 + index), {
          usesWeights,
        }),
    );
    this.entries = Array.from({ length: 66 }, (_none, index) => {
      const isStrong = options.isUniform !== true && index >= 50;
      const capacity = isStrong ? STRONG : WEAK;
      return {
        name: `e${index}`,
        dataCentre: DATA_CENTRES[index % 3] ?? 'a',
        capacity,
        strength: isStrong ? 0.81 / 0.243 : 1,
        ...{ speed: 1, state: 'ready', readyAt: -10_000, statesFigures: true, sendsStatus: true },
        ...{ connections: 0, utilizationSum: 0, opened: 0 },
        utilization: new entryUtilization.EntryUtilization(capacity, 0),
      };
    });
    const strength = this.entries.reduce((sum, entry) => sum + entry.strength, 0);
    this.loadPerConnection = (meanUtilization * strength) / (callersPerDataCentre * DATA_CENTRES.length);
    for (const entry of this.entries) {
      this.sendStatuses(entry);
    }
    this.every(SAMPLE_INTERVAL, () => {
      this.sample();
      for (const directory of this.directories) {
        const report = directory.takeWeightReport(this.time.now());
        if (report !== undefined) {
          this.weightReports.push(report);
        }
      }
    });
    for (const dataCentre of DATA_CENTRES) {
      for (let index = 0; index < callersPerDataCentre; index += 1) {
        this.startCaller(dataCentre, index / callersPerDataCentre);
      }
    }
  }

  /** Moves a share of the callers of data centre `a` to `b`, from their next look-up; 0 moves them back. */
  shift(share: number): void {
    this.shiftedFrom = share;
  }

  /** Starts an entry anew: it loses its connections and counts as just ready. */
  restart(entry: SimulatedEntry): void {
    entry.readyAt = this.time.now();
    entry.utilization = new entryUtilization.EntryUtilization(entry.capacity, entry.readyAt);
    this.announce(entry);
  }

  /** Addresses that a caller of a data centre would get now. */
  lookUp(dataCentre: string, replica = 0): readonly string[] {
    const selected = this.directories[replica]?.choose(dataCentre, MAXIMUM_ADDRESSES, this.time.now()) ?? [];
    return selected.map(({ name }) => name);
  }

  /** Starts a new measurement. */
  reset(): void {
    this.sampleCount = 0;
    this.remoteConnections = 0;
    for (const entry of this.entries) {
      entry.utilizationSum = 0;
      entry.opened = 0;
    }
  }

  /** Mean utilization of an entry since the last reset. */
  utilizationOf(entry: SimulatedEntry): number {
    return entry.utilizationSum / this.sampleCount;
  }

  /** Share of the connections opened since the last reset that crossed data centres. */
  remoteShare(): number {
    return this.remoteConnections / this.entries.reduce((sum, entry) => sum + entry.opened, 0);
  }

  /** Highest utilization of some entries, over the mean of all weighted by strength, since the last reset. */
  highestRatio(entries: readonly SimulatedEntry[] = this.entries): number {
    const strength = this.entries.reduce((sum, entry) => sum + entry.strength, 0);
    const used = this.entries.reduce(
      (sum, entry) => sum + this.utilizationOf(entry) * entry.strength * entry.speed,
      0,
    );
    return Math.max(...entries.map((entry) => this.utilizationOf(entry))) / (used / strength);
  }

  private every(interval: ports.Milliseconds, run: () => void): void {
    this.time.after(interval, () => {
      run();
      this.every(interval, run);
    });
  }

  private currentUtilization(entry: SimulatedEntry): number {
    return (entry.connections * this.loadPerConnection) / (entry.strength * entry.speed);
  }

  private sample(): void {
    this.sampleCount += 1;
    for (const entry of this.entries) {
      const utilization = this.currentUtilization(entry);
      entry.utilizationSum += utilization;
      const lag =
        utilization >= 0.97 ? SATURATED_LAG : Math.min(SATURATED_LAG, (15 * utilization) / (1 - utilization));
      entry.utilization.add(
        { lag, bytes: 0, openConnections: entry.connections, openStreams: 0, residentBytes: 100_000_000 },
        this.time.now(),
      );
    }
  }

  private statusOf(entry: SimulatedEntry): methods.EntryStatus {
    const { name, dataCentre, state } = entry;
    const addresses = { callerAddress: `${name}:1`, peerAddress: `${name}:2` };
    const status = { name, dataCentre, ...addresses, state, trafficVersion: 1 };
    if (!entry.statesFigures) {
      return status;
    }
    const readyFor = this.time.now() - entry.readyAt;
    const capacity = entryCapacity.encode(entry.capacity);
    return {
      ...status,
      ...(capacity !== undefined && { capacity }),
      utilization: entryUtilization.encode(entry.utilization.current),
      ...(readyFor < 3_000 && { readyFor }),
    };
  }

  /** Sends the status to all replicas immediately. */
  announce(entry: SimulatedEntry): void {
    const status = this.statusOf(entry);
    for (const directory of this.directories) {
      directory.recordStatus(status, this.time.now());
    }
  }

  private sendStatuses(entry: SimulatedEntry): void {
    for (const directory of this.directories) {
      const send = (): void => {
        if (entry.sendsStatus) {
          const status = this.statusOf(entry);
          this.time.after(STATUS_DELAY, () => {
            directory.recordStatus(status, this.time.now());
          });
        }
        this.time.after(STATUS_INTERVAL * (0.9 + 0.2 * this.random.next()), send);
      };
      this.time.after(this.random.next() * STATUS_INTERVAL, send);
    }
    this.announce(entry);
  }

  private startCaller(home: string, position: number): void {
    const { random, time } = this;
    const hasLongCache = random.next() < 0.25;
    let addresses: readonly string[] = [];
    let expiresAt = 0;
    const byName = new Map(this.entries.map((entry) => [entry.name, entry]));
    const connect = (): void => {
      const dataCentre = home === 'a' && position < this.shiftedFrom ? 'b' : home;
      if (time.now() >= expiresAt || addresses.length === 0) {
        addresses = this.lookUp(dataCentre, Math.floor(random.next() * REPLICAS));
        expiresAt = time.now() + (1_000 + 1_000 * random.next()) * (hasLongCache ? 3 : 1);
      }
      const entry = byName.get(addresses[Math.floor(random.next() * addresses.length)] ?? '');
      if (entry === undefined) {
        this.emptyLookups += 1;
        time.after(100, connect);
        return;
      }
      entry.connections += 1;
      entry.opened += 1;
      this.remoteConnections += entry.dataCentre === dataCentre ? 0 : 1;
      time.after(1_000 + 3_000 * random.next(), () => {
        entry.connections -= 1;
        connect();
      });
    };
    time.after(random.next() * 2_000, connect);
  }
}
