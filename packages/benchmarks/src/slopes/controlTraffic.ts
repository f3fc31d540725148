/**
 * Measures the network traffic of control replicas in virtual time: idle, with entries that poll, and for each change.
 */
import * as scenarios from 'kumquatfront-scenarios';

/** Results for one size; traffic per second unless stated otherwise. */
export interface ControlTraffic {
  readonly entries: number;
  readonly replicas: number;
  readonly leaderBytes: number;
  readonly followerBytes: number;
  readonly entryBytes: number;
  readonly leaderMessages: number;
  /** Bytes that all nodes send for one change, beyond the idle traffic. */
  readonly bytesForChange: number;
  /** Maximum milliseconds until a change is in force at every entry, over several changes; -1 on timeout. */
  readonly inForce: number;
}

const IDLE_SECONDS = 20;
const CHANGES = 10;
const TIME_STEP = 20;
const IN_FORCE_TIMEOUT = 30_000;

function numberedNames(prefix: string, count: number): readonly string[] {
  return Array.from({ length: count }, (_, position) => `${prefix}-${position + 1}`);
}

function sentCounters(
  session: scenarios.session.Session,
  name: string,
): { readonly messages: number; readonly bytes: number } {
  return session.world.network.sent.get(name) ?? { messages: 0, bytes: 0 };
}

function totalBytes(session: scenarios.session.Session): number {
  return [...session.world.network.sent.values()].reduce((sum, counter) => sum + counter.bytes, 0);
}

function measureChangeLatency(session: scenarios.session.Session, position: number, entries: number): number {
  const name = `change-${position}`;
  const [leader = ''] = session.world.leaders();
  const body = { labels: { region: name } };
  const startedAt = session.world.time.now();
  session.submitChange(
    name,
    { kind: 'market', name, body, expectedVersion: 0, changeId: `slopes-${name}` },
    leader,
  );
  while (session.world.time.now() - startedAt < IN_FORCE_TIMEOUT) {
    session.world.time.advance(TIME_STEP);
    const version = session.changes.get(name)?.version ?? 0;
    if (version > 0 && session.countEntriesInForce(version) === entries) {
      return session.world.time.now() - startedAt;
    }
  }
  return -1;
}

/**
 * Measures a deployment of the given size.
 *
 * @param replicas - number of control replicas
 * @param entries - number of entries
 * @example
 * ```ts
 * controlTraffic.measure(3, 64);
 * ```
 */
export function measure(replicas: number, entries: number): ControlTraffic {
  const session = new scenarios.session.Session({
    seed: 3,
    controlNames: numberedNames('control', replicas),
    entryNames: numberedNames('entry', entries),
    dataCentreOf: (name) => `centre-${Number(/(\d+)$/.exec(name)?.[1] ?? 1) % 6}`,
    network: { withinDataCentre: 0.5, betweenDataCentres: 1.5, loss: 0 },
    entry: {
      directory: { round: 3_600_000, fanout: 1, keepFor: 3_600_000, presenceLease: 3_600_000 },
      configuration: { pullInterval: 5_000, pullTimeout: 1_000, staleAfter: 15_000 },
    },
  });
  session.configure();
  session.world.network.countBytes = true;
  session.world.time.advance(IDLE_SECONDS * 1_000);
  const [leader = ''] = session.world.leaders();
  const follower = numberedNames('control', replicas).find((name) => name !== leader) ?? '';
  const idleTotal = totalBytes(session) / IDLE_SECONDS;
  const figures = {
    leaderBytes: sentCounters(session, leader).bytes / IDLE_SECONDS,
    followerBytes: sentCounters(session, follower).bytes / IDLE_SECONDS,
    entryBytes: sentCounters(session, 'entry-1').bytes / IDLE_SECONDS,
    leaderMessages: sentCounters(session, leader).messages / IDLE_SECONDS,
  };
  session.world.network.sent.clear();
  const startedAt = session.world.time.now();
  const latencies = Array.from({ length: CHANGES }, (_, position) =>
    measureChangeLatency(session, position, entries),
  );
  const elapsed = (session.world.time.now() - startedAt) / 1_000;
  const bytesForChange = (totalBytes(session) - idleTotal * elapsed) / CHANGES;
  const inForce = latencies.includes(-1) ? -1 : Math.max(...latencies);
  return { entries, replicas, ...figures, bytesForChange, inForce };
}
