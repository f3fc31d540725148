/**
 * Runs a workload against simulated entries and engines in virtual time and measures latency, throughput and wasted work.
 */
import * as histograms from 'hdr-histogram-js';
import * as kumquatfront from 'kumquatfront';
import * as scenarios from 'kumquatfront-scenarios';

import type * as workload from './workload.js';

/** Fault injected halfway through a run. */
export type InjectedFault = 'none' | 'death' | 'freeze' | 'reclaim';

/** Options of a run; the duration is in milliseconds. */
export interface PolicyRunOptions {
  readonly deployment: workload.MeasuredDeployment;
  readonly arrivals: readonly workload.Arrival[];
  readonly duration: number;
  readonly createPlacement: kumquatfront.entryNode.CreatePlacement;
  readonly fault: InjectedFault;
  readonly seed: number;
}

/** Results of a run; times in milliseconds. */
export interface PolicyFigures {
  readonly urgentStall: { readonly p50: number; readonly p99: number; readonly max: number };
  readonly betweenTokens: { readonly p50: number; readonly p99: number; readonly p999: number };
  /** p99 of the duration of the engines' steps. */
  readonly engineStep: number;
  readonly preemptions: number;
  readonly wastedTokens: number;
  /** Tokens per second of long responses that reached callers. */
  readonly longThroughput: number;
  readonly refused: number;
  readonly interrupted: number;
  readonly longWait: { readonly p50: number; readonly p99: number };
  /** Urgent requests without a first token at the end of the run. */
  readonly urgentLost: number;
}

const WARM_UP_DURATION = 20_000;
const HISTOGRAM_SCALE = 100;
const KEY_PREFIX = 'measure-key';

function histogram(): histograms.Histogram {
  return histograms.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 1e8,
    numberOfSignificantValueDigits: 3,
  });
}

function quantile(source: histograms.Histogram, share: number): number {
  return source.totalCount === 0 ? 0 : source.getValueAtPercentile(share * 100) / HISTOGRAM_SCALE;
}

/** Accumulates measurements during a run. */
class RunMetrics {
  readonly urgentStall = histogram();
  readonly betweenTokens = histogram();
  readonly longWait = histogram();
  readonly engineStep = histogram();
  longTokens = 0;
  refused = 0;
  interrupted = 0;
  urgentPending = 0;
}

function accountDrafts(): readonly kumquatfront.configurationTypes.ConfigurationDraft[] {
  return Array.from({ length: 10 }, (_, position) => ({
    kind: 'clientAccount' as const,
    name: `account-${position}`,
    body: {
      market: 'wa-perth',
      keyHashes: [kumquatfront.trafficResolver.hashKey(`${KEY_PREFIX}-account-${position}`)],
    },
  }));
}

function createSession(options: PolicyRunOptions): scenarios.session.Session {
  const { deployment, seed, createPlacement } = options;
  const names = Array.from({ length: deployment.entries }, (_, position) => `entry-${position + 1}`);
  const session = new scenarios.session.Session({
    seed,
    controlNames: ['control-1'],
    entryNames: names,
    dataCentreOf: (name) => `centre-${Number(/(\d+)$/.exec(name)?.[1] ?? 1) % 3}`,
    network: { withinDataCentre: 0.5, betweenDataCentres: 1.5, loss: 0 },
    createPlacement,
  });
  session.configure(accountDrafts());
  return session;
}

function addEngines(
  session: scenarios.session.Session,
  deployment: workload.MeasuredDeployment,
  metrics: RunMetrics,
): void {
  for (let position = 1; position <= deployment.engines; position += 1) {
    session.world.addEngine(`engine-${position}`, {
      pool: 'llm',
      reportLag: 500,
      checksFencing: true,
      onStep: (duration) => {
        metrics.engineStep.recordValue(Math.round(duration * HISTOGRAM_SCALE));
      },
      options: {
        memoryTokens: deployment.memoryTokens,
        slots: deployment.slots,
        stepBase: 18,
        stepPerRunning: 0.4,
        prefillPerToken: 0.02,
        prefillPerStep: 512,
        cachedPrefixes: 64,
      },
    });
  }
}

function sendRequest(
  session: scenarios.session.Session,
  arrival: workload.Arrival,
  metrics: RunMetrics,
  isMeasuring: () => boolean,
): void {
  const { time, entries } = session.world;
  const node = entries.get(`entry-${arrival.entry + 1}`)?.node;
  const startedAt = time.now();
  let lastTokenAt: number | undefined;
  if (arrival.urgent && isMeasuring()) {
    metrics.urgentPending += 1;
  }
  const isCounted = isMeasuring();
  const onToken = (): void => {
    const now = time.now();
    if (isCounted && lastTokenAt === undefined) {
      const waitTime = Math.round((now - startedAt) * HISTOGRAM_SCALE);
      (arrival.urgent ? metrics.urgentStall : metrics.longWait).recordValue(waitTime);
      metrics.urgentPending -= arrival.urgent ? 1 : 0;
    } else if (isCounted && lastTokenAt !== undefined && !arrival.urgent) {
      metrics.betweenTokens.recordValue(Math.round((now - lastTokenAt) * HISTOGRAM_SCALE));
    }
    if (!arrival.urgent && isMeasuring()) {
      metrics.longTokens += 1;
    }
    lastTokenAt = now;
  };
  node?.requests.generate(
    {
      bearerKey: `${KEY_PREFIX}-${arrival.account}`,
      labelsHeader: `traffic=${arrival.urgent ? 'question' : 'report'}`,
      path: '/v1/completions',
      body: {
        model: 'm',
        prompt: `${startedAt}`.padEnd(arrival.promptTokens * 4, 'x'),
        stand_in_output_tokens: arrival.outputTokens,
      },
      acceptsRestart: false,
    },
    {
      sendAccepted: () => undefined,
      sendToken: () => {
        onToken();
        return true;
      },
      sendRestart: () => undefined,
      complete: () => undefined,
      refuse: (refusal) => {
        metrics.refused += refusal.kind === 'notRun' ? 1 : 0;
        metrics.interrupted += refusal.kind === 'interrupted' ? 1 : 0;
        metrics.urgentPending -= arrival.urgent && isCounted && lastTokenAt === undefined ? 1 : 0;
      },
    },
  );
}

function scheduleFault(session: scenarios.session.Session, fault: InjectedFault, at: number): void {
  const { world } = session;
  world.time.after(at, () => {
    if (fault === 'death') {
      world.kill('engine-1');
    } else if (fault === 'freeze') {
      world.freeze('engine-1');
    } else if (fault === 'reclaim') {
      world.sendTerminationNotice('engine-1');
      world.time.after(5_000, () => {
        world.kill('engine-1');
      });
    }
  });
}

/** Sums the preemptions and wasted tokens of all engines. */
function totalWaste(session: scenarios.session.Session): {
  readonly preemptions: number;
  readonly wastedTokens: number;
} {
  const counts = [...session.world.engines.values()].map((engine) => engine.model.counts);
  return {
    preemptions: counts.reduce((sum, count) => sum + count.preemptions, 0),
    wastedTokens: counts.reduce((sum, count) => sum + count.wastedTokens, 0),
  };
}

/**
 * Runs a workload and measures it after the warm-up period.
 *
 * @param options - deployment, workload, policy and fault
 * @returns the results
 * @example
 * ```ts
 * const figures = policyRun.run({ deployment, arrivals, duration, createPlacement, fault: 'none', seed: 7 });
 * ```
 */
export function run(options: PolicyRunOptions): PolicyFigures {
  const metrics = new RunMetrics();
  const session = createSession(options);
  const { world } = session;
  addEngines(session, options.deployment, metrics);
  world.time.advance(2_000);
  const startAt = world.time.now();
  const isMeasuring = (): boolean => {
    const elapsed = world.time.now() - startAt;
    return elapsed >= WARM_UP_DURATION && elapsed <= options.duration;
  };
  scheduleFault(session, options.fault, options.duration / 2);
  for (const arrival of options.arrivals) {
    world.time.after(arrival.at, () => {
      sendRequest(session, arrival, metrics, isMeasuring);
    });
  }
  world.time.advance(WARM_UP_DURATION);
  const before = totalWaste(session);
  world.time.advance(options.duration - WARM_UP_DURATION);
  const after = totalWaste(session);
  const seconds = (options.duration - WARM_UP_DURATION) / 1_000;
  const { urgentStall, betweenTokens, longWait } = metrics;
  return {
    urgentStall: {
      p50: quantile(urgentStall, 0.5),
      p99: quantile(urgentStall, 0.99),
      max: quantile(urgentStall, 1),
    },
    betweenTokens: {
      p50: quantile(betweenTokens, 0.5),
      p99: quantile(betweenTokens, 0.99),
      p999: quantile(betweenTokens, 0.999),
    },
    engineStep: quantile(metrics.engineStep, 0.99),
    preemptions: after.preemptions - before.preemptions,
    wastedTokens: after.wastedTokens - before.wastedTokens,
    longThroughput: metrics.longTokens / seconds,
    refused: metrics.refused,
    interrupted: metrics.interrupted,
    longWait: { p50: quantile(longWait, 0.5), p99: quantile(longWait, 0.99) },
    urgentLost: metrics.urgentPending,
  };
}
