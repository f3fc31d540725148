/**
 * Measures the traffic between entries that one patient request causes: placement request, answer, grant, progress reports
 * and completion.
 */
import * as scenarios from 'kumquatfront-scenarios';

/** Results for one number of entries. */
export interface CoordinationTraffic {
  readonly entries: number;
  readonly requests: number;
  readonly bytesForRequest: number;
  readonly messagesForRequest: number;
  /** Bytes per second that the busiest entry sends beyond its idle traffic. */
  readonly busiestBytes: number;
  /** Mean seconds that a request runs; its entry reports progress every second. */
  readonly seconds: number;
}

const IDLE_DURATION = 20_000;
const LOAD_DURATION = 20_000;
const REQUEST_INTERVAL = 100;
const TOKENS_PER_REQUEST = 200;
const STEP_DURATION = 20;
const ENGINES = 10;

interface Counter {
  readonly messages: number;
  readonly bytes: number;
}

function snapshot(session: scenarios.session.Session): ReadonlyMap<string, Counter> {
  const counters = new Map<string, Counter>();
  for (const [name, counter] of session.world.network.sent) {
    counters.set(name, { ...counter });
  }
  return counters;
}

function total(counters: ReadonlyMap<string, Counter>, select: (counter: Counter) => number): number {
  return [...counters.values()].reduce((sum, counter) => sum + select(counter), 0);
}

/**
 * Measures a deployment with the given number of entries.
 *
 * @param entries - number of entries
 * @returns the results
 * @example
 * ```ts
 * coordinationTraffic.measure(8);
 * ```
 */
export function measure(entries: number): CoordinationTraffic {
  const names = Array.from({ length: entries }, (_, position) => `entry-${position + 1}`);
  const session = new scenarios.session.Session({
    seed: 5,
    controlNames: ['control-1'],
    entryNames: names,
    dataCentreOf: (name) => `centre-${Number(/(\d+)$/.exec(name)?.[1] ?? 1) % 3}`,
    network: { withinDataCentre: 0.5, betweenDataCentres: 1.5, loss: 0 },
  });
  for (let position = 0; position < ENGINES; position += 1) {
    session.world.addEngine(`engine-${position}`, {
      pool: 'llm',
      reportLag: 500,
      checksFencing: true,
      options: {
        memoryTokens: 16_000,
        slots: 32,
        stepBase: STEP_DURATION,
        stepPerRunning: 0,
        prefillPerToken: 0.02,
        prefillPerStep: 512,
        cachedPrefixes: 16,
      },
    });
  }
  session.configure();
  const { world } = session;
  world.network.countBytes = true;
  world.network.sent.clear();
  world.time.advance(IDLE_DURATION);
  const idleCounters = snapshot(session);
  world.network.sent.clear();
  let requests = 0;
  for (let at = 0; at < LOAD_DURATION; at += REQUEST_INTERVAL) {
    const name = `r${requests}`;
    session.startStream(
      {
        name,
        key: scenarios.baseConfiguration.accountKeys.school,
        labels: 'traffic=report',
        tokens: TOKENS_PER_REQUEST,
        promptLength: 20,
        acceptsRestart: false,
        persistent: false,
      },
      names[requests % entries] ?? '',
    );
    requests += 1;
    world.time.advance(REQUEST_INTERVAL);
  }
  const loadedCounters = snapshot(session);
  const extraBytes = (name: string): number =>
    (loadedCounters.get(name)?.bytes ?? 0) - (idleCounters.get(name)?.bytes ?? 0);
  return {
    entries,
    requests,
    bytesForRequest:
      (total(loadedCounters, (counter) => counter.bytes) - total(idleCounters, (counter) => counter.bytes)) /
      requests,
    messagesForRequest:
      (total(loadedCounters, (counter) => counter.messages) -
        total(idleCounters, (counter) => counter.messages)) /
      requests,
    busiestBytes: Math.max(...names.map(extraBytes)) / (LOAD_DURATION / 1_000),
    seconds: (TOKENS_PER_REQUEST * STEP_DURATION) / 1_000,
  };
}
