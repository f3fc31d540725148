/**
 * One measured run: a workload against entries and engines on virtual time.
 */
import * as histograms from 'hdr-histogram-js';
import * as kumquatfront from 'kumquatfront';
import * as scenarios from 'kumquatfront-scenarios';

import type * as workload from './workload.js';

/** A fault in the middle of a run. */
export type MeasuredFault = 'none' | 'death' | 'freeze' | 'reclaim';

/** What a run is made from. */
export interface PolicyRunOptions {
  readonly deployment: workload.MeasuredDeployment;
  readonly arrivals: readonly workload.Arrival[];
  readonly duration: number;
  readonly createPlacement: kumquatfront.entryNode.CreatePlacement;
  readonly fault: MeasuredFault;
  readonly seed: number;
}

/** Figures of a run; times in milliseconds, lengths in tokens. */
export interface PolicyFigures {
  readonly urgentStall: { readonly p50: number; readonly p99: number; readonly max: number };
  readonly betweenTokens: { readonly p50: number; readonly p99: number; readonly p999: number };
  /** p99 of the engines' own steps in the same run. */
  readonly engineStep: number;
  readonly preemptions: number;
  readonly wastedTokens: number;
  /** Tokens of long answers that reached callers, a second. */
  readonly longThroughput: number;
  readonly refused: number;
  readonly interrupted: number;
  readonly longWait: { readonly p50: number; readonly p99: number };
  /** Urgent calls that did not get their first token within the run. */
  readonly urgentLost: number;
}

const WARM_UP = 20_000;
const SCALE = 100;
const KEY = 'measure-key';

function histogram(): histograms.Histogram {
  return histograms.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 1e8,
    numberOfSignificantValueDigits: 3,
  });
}

function quantile(source: histograms.Histogram, share: number): number {
  return source.totalCount === 0 ? 0 : source.getValueAtPercentile(share * 100) / SCALE;
}

/** Gathers figures while a run goes on. */
class Gatherer {
  readonly urgentStall = histogram();
  readonly betweenTokens = histogram();
  readonly longWait = histogram();
  readonly engineStep = histogram();
  longTokens = 0;
  refused = 0;
  interrupted = 0;
  urgentOpen = 0;
}

function accountDrafts(): readonly kumquatfront.configurationTypes.ConfigurationDraft[] {
  return Array.from({ length: 10 }, (_, position) => ({
    kind: 'clientAccount' as const,
    name: `account-${position}`,
    body: {
      market: 'wa-perth',
      keyHashes: [kumquatfront.trafficResolver.hashKey(`${KEY}-account-${position}`)],
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
  gatherer: Gatherer,
): void {
  for (let position = 1; position <= deployment.engines; position += 1) {
    session.world.addEngine(`engine-${position}`, {
      pool: 'llm',
      reportLag: 500,
      checksFencing: true,
      onStep: (duration) => {
        gatherer.engineStep.recordValue(Math.round(duration * SCALE));
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

function send(
  session: scenarios.session.Session,
  arrival: workload.Arrival,
  gatherer: Gatherer,
  measured: () => boolean,
): void {
  const { time, entries } = session.world;
  const node = entries.get(`entry-${arrival.entry + 1}`)?.node;
  const startedAt = time.now();
  let lastAt: number | undefined;
  if (arrival.urgent && measured()) {
    gatherer.urgentOpen += 1;
  }
  const counted = measured();
  const onToken = (): void => {
    const now = time.now();
    if (counted && lastAt === undefined) {
      const waited = Math.round((now - startedAt) * SCALE);
      (arrival.urgent ? gatherer.urgentStall : gatherer.longWait).recordValue(waited);
      gatherer.urgentOpen -= arrival.urgent ? 1 : 0;
    } else if (counted && lastAt !== undefined && !arrival.urgent) {
      gatherer.betweenTokens.recordValue(Math.round((now - lastAt) * SCALE));
    }
    if (!arrival.urgent && measured()) {
      gatherer.longTokens += 1;
    }
    lastAt = now;
  };
  node?.requests.generate(
    {
      bearerKey: `${KEY}-${arrival.account}`,
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
      accepted: () => undefined,
      token: () => {
        onToken();
        return true;
      },
      restarted: () => undefined,
      ended: () => undefined,
      refused: (refusal) => {
        gatherer.refused += refusal.kind === 'notRun' ? 1 : 0;
        gatherer.interrupted += refusal.kind === 'interrupted' ? 1 : 0;
        gatherer.urgentOpen -= arrival.urgent && counted && lastAt === undefined ? 1 : 0;
      },
    },
  );
}

function scheduleFault(session: scenarios.session.Session, fault: MeasuredFault, at: number): void {
  const { world } = session;
  world.time.after(at, () => {
    if (fault === 'death') {
      world.kill('engine-1');
    } else if (fault === 'freeze') {
      world.freeze('engine-1');
    } else if (fault === 'reclaim') {
      world.leave('engine-1');
      world.time.after(5_000, () => {
        world.kill('engine-1');
      });
    }
  });
}

/** Preemptions and wasted tokens of all engines so far. */
function waste(session: scenarios.session.Session): {
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
 * Runs a workload.
 *
 * @param options - the workload and the policy
 * @returns its figures
 * @example
 * ```ts
 * const figures = policyRun.run({ deployment, arrivals, duration, createPlacement, fault: 'none', seed: 7 });
 * ```
 */
export function run(options: PolicyRunOptions): PolicyFigures {
  const gatherer = new Gatherer();
  const session = createSession(options);
  const { world } = session;
  addEngines(session, options.deployment, gatherer);
  world.time.advance(2_000);
  const startAt = world.time.now();
  const measured = (): boolean => {
    const elapsed = world.time.now() - startAt;
    return elapsed >= WARM_UP && elapsed <= options.duration;
  };
  scheduleFault(session, options.fault, options.duration / 2);
  for (const arrival of options.arrivals) {
    world.time.after(arrival.at, () => {
      send(session, arrival, gatherer, measured);
    });
  }
  world.time.advance(WARM_UP);
  const before = waste(session);
  world.time.advance(options.duration - WARM_UP);
  const after = waste(session);
  const seconds = (options.duration - WARM_UP) / 1_000;
  const { urgentStall, betweenTokens, longWait } = gatherer;
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
    engineStep: quantile(gatherer.engineStep, 0.99),
    preemptions: after.preemptions - before.preemptions,
    wastedTokens: after.wastedTokens - before.wastedTokens,
    longThroughput: gatherer.longTokens / seconds,
    refused: gatherer.refused,
    interrupted: gatherer.interrupted,
    longWait: { p50: quantile(longWait, 0.5), p99: quantile(longWait, 0.99) },
    urgentLost: gatherer.urgentOpen,
  };
}
