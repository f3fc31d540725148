/**
 * Cost of one decision with many upstreams, on this machine's clock.
 */
import * as kumquatfront from 'kumquatfront';

/** Microseconds for one decision. */
export interface DecisionCost {
  readonly upstreams: number;
  /** Generations that the deciding process has in flight. */
  readonly inFlight: number;
  readonly urgent: number;
  readonly patient: number;
}

const ROUNDS = 4_000;

function announce(table: kumquatfront.upstreamTable.UpstreamTable, name: string): void {
  const common = { name, incarnation: 1, sequence: 1 };
  const place = {
    address: `http://${name}`,
    kind: 'engine',
    labels: { pool: 'llm' },
    dataCentre: 'c',
  } as const;
  table.announce({ ...common, ...place, memoryTokens: 1e6, slots: 1_000, lease: 1e9, leaving: false }, 0, 0);
  table.report({ ...common, running: 20, waiting: 0, usedTokens: 16_000 }, 0, 0);
}

/**
 * Measures urgent and patient decisions.
 *
 * @param upstreams - engines of the deployment
 * @param runningEach - generations in flight on each
 * @returns microseconds
 * @example
 * ```ts
 * decisionCost.measure(600, 1);
 * ```
 */
export function measure(upstreams: number, runningEach: number): DecisionCost {
  const { clock } = kumquatfront.systemTime;
  const timers = kumquatfront.timerService.create(clock, { after: () => () => undefined });
  const table = new kumquatfront.upstreamTable.UpstreamTable();
  for (let position = 0; position < upstreams; position += 1) {
    announce(table, `engine-${position}`);
  }
  const noDirectory = { table, onNews: () => undefined, onGone: () => undefined };
  const placement = new kumquatfront.localPlacement.LocalPlacement({
    directory: noDirectory,
    estimator: new kumquatfront.lengthEstimator.LengthEstimator(),
    health: new kumquatfront.health.Health(),
    timers,
    random: kumquatfront.seededRandom.create(1),
    metrics: kumquatfront.statsdMetrics.silent,
    choose: kumquatfront.choice.chooseOfTwo,
    headroom: kumquatfront.headroom.defaultSettings,
    bounds: () => ({ perAccount: 1e6, total: 1e6 }),
    weightOf: () => 1,
    upstreamWait: 1_000,
  });
  const request = (
    requestId: string,
    urgency: 'urgent' | 'patient',
  ): kumquatfront.routingTypes.PlacementRequest => ({
    ...{ requestId, urgency, account: 'a', deployment: 'd', upstreams: 'pool=llm', kind: 'engine' },
    ...{ promptTokens: 400, prefix: '', estimateKeys: ['a/m/t', 'm/t', 'm'], exclude: new Set<string>() },
  });
  for (let position = 0; position < upstreams * runningEach; position += 1) {
    placement.adopt({
      requestId: `running-${position}`,
      upstream: `engine-${position % upstreams}`,
      promptTokens: 400,
      estimateKeys: ['a/m/t', 'm/t', 'm'],
      produced: 200,
    });
  }
  const cost = (urgency: 'urgent' | 'patient'): number => {
    const startedAt = clock.now();
    for (let round = 0; round < ROUNDS; round += 1) {
      const requestId = `${urgency}-${round}`;
      placement.place(request(requestId, urgency), () => undefined);
      placement.finished(requestId, 0, false);
    }
    return ((clock.now() - startedAt) / ROUNDS) * 1_000;
  };
  cost('urgent');
  cost('patient');
  return { upstreams, inFlight: upstreams * runningEach, urgent: cost('urgent'), patient: cost('patient') };
}
