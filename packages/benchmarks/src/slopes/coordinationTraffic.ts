/**
 * Bytes that entries send each other for a patient request: ask, answer, grant, progress and word of the end.
 */
import * as scenarios from 'kumquatfront-scenarios';

/** Figures of one number of entries. */
export interface CoordinationTraffic {
  readonly entries: number;
  readonly requests: number;
  readonly bytesForRequest: number;
  readonly messagesForRequest: number;
  /** Bytes a second that the busiest entry sends beyond what it sends idle. */
  readonly busiestBytes: number;
  /** Seconds that a request runs, on average; progress is told each second. */
  readonly seconds: number;
}

const IDLE = 20_000;
const LOADED = 20_000;
const REQUEST_EVERY = 100;
const TOKENS = 200;
const STEP = 20;
const ENGINES = 10;

interface Counter {
  readonly messages: number;
  readonly bytes: number;
}

function snapshot(session: scenarios.session.Session): ReadonlyMap<string, Counter> {
  const counters = new Map<string, Counter>();
  for (const [name, counter] of session.world.net.sent) {
    counters.set(name, { ...counter });
  }
  return counters;
}

function total(counters: ReadonlyMap<string, Counter>, pick: (counter: Counter) => number): number {
  return [...counters.values()].reduce((sum, counter) => sum + pick(counter), 0);
}

/**
 * Measures one number of entries.
 *
 * @param entries - how many
 * @returns the figures
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
        stepBase: STEP,
        stepPerRunning: 0,
        prefillPerToken: 0.02,
        prefillPerStep: 512,
        cachedPrefixes: 16,
      },
    });
  }
  session.configure();
  const { world } = session;
  world.net.countBytes = true;
  world.net.sent.clear();
  world.time.advance(IDLE);
  const idle = snapshot(session);
  world.net.sent.clear();
  let requests = 0;
  for (let at = 0; at < LOADED; at += REQUEST_EVERY) {
    const name = `r${requests}`;
    session.stream(
      {
        name,
        key: scenarios.baseConfiguration.accountKeys.school,
        labels: 'traffic=report',
        tokens: TOKENS,
        promptLength: 20,
        acceptsRestart: false,
        persistent: false,
      },
      names[requests % entries] ?? '',
    );
    requests += 1;
    world.time.advance(REQUEST_EVERY);
  }
  const loaded = snapshot(session);
  const extra = (name: string): number => (loaded.get(name)?.bytes ?? 0) - (idle.get(name)?.bytes ?? 0);
  return {
    entries,
    requests,
    bytesForRequest:
      (total(loaded, (counter) => counter.bytes) - total(idle, (counter) => counter.bytes)) / requests,
    messagesForRequest:
      (total(loaded, (counter) => counter.messages) - total(idle, (counter) => counter.messages)) / requests,
    busiestBytes: Math.max(...names.map(extra)) / (LOADED / 1_000),
    seconds: (TOKENS * STEP) / 1_000,
  };
}
