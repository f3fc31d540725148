/**
 * Measures the time that one placement decision takes with many upstreams.
 */
import * as kumquatfront from 'kumquatfront';

/** Mean time of one decision, in microseconds. */
export interface DecisionCost {
  readonly upstreams: number;
  /** Generations that the deciding process has in flight. */
  readonly inFlight: number;
  readonly urgent: number;
  readonly patient: number;
}

const DECISIONS = 4_000;

function addUpstream(table: kumquatfront.upstreamTable.UpstreamTable, name: string): void {
  const common = { name, incarnation: 1, sequence: 1 };
  const attributes = {
    address: `http://${name}`,
    kind: 'engine',
    labels: { pool: 'llm' },
    dataCentre: 'c',
  } as const;
  table.applyAnnouncement(
    { ...common, ...attributes, memoryTokens: 1e6, slots: 1_000, lease: 1e9, leaving: false },
    0,
    0,
  );
  table.applyLoadReport({ ...common, running: 20, waiting: 0, usedTokens: 16_000 }, 0, 0);
}

/**
 * Measures the mean time of urgent and of patient decisions.
 *
 * @param runningPerEngine - generations in flight on each engine
 * @returns mean times in microseconds
 * @example
 * ```ts
 * decisionCost.measure(600, 1);
 * ```
 */
export function measure(upstreams: number, runningPerEngine: number): DecisionCost {
  const { clock } = kumquatfront.systemTime;
  const timers = kumquatfront.timerService.create(clock, { after: () => () => undefined });
  const table = new kumquatfront.upstreamTable.UpstreamTable();
  for (let position = 0; position < upstreams; position += 1) {
    addUpstream(table, `engine-${position}`);
  }
  const directoryStub = { table, onUpdate: () => undefined, onUpstreamExpired: () => undefined };
  const placement = new kumquatfront.localPlacement.LocalPlacement({
    directory: directoryStub,
    estimator: new kumquatfront.lengthEstimator.LengthEstimator(),
    outlierDetector: new kumquatfront.outlierDetector.OutlierDetector(),
    timers,
    random: kumquatfront.seededRandom.create(1),
    metrics: kumquatfront.statsdMetrics.noop,
    selectUpstream: kumquatfront.balancingPolicy.powerOfTwoChoices,
    headroom: kumquatfront.headroom.defaultSettings,
    queueBounds: () => ({ perAccount: 1e6, total: 1e6 }),
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
  for (let position = 0; position < upstreams * runningPerEngine; position += 1) {
    placement.importDispatch({
      requestId: `running-${position}`,
      upstream: `engine-${position % upstreams}`,
      promptTokens: 400,
      estimateKeys: ['a/m/t', 'm/t', 'm'],
      produced: 200,
    });
  }
  const measureCost = (urgency: 'urgent' | 'patient'): number => {
    const startedAt = clock.now();
    for (let round = 0; round < DECISIONS; round += 1) {
      const requestId = `${urgency}-${round}`;
      placement.place(request(requestId, urgency), () => undefined);
      placement.onFinished(requestId, 0, false);
    }
    return ((clock.now() - startedAt) / DECISIONS) * 1_000;
  };
  measureCost('urgent');
  measureCost('patient');
  return {
    upstreams,
    inFlight: upstreams * runningPerEngine,
    urgent: measureCost('urgent'),
    patient: measureCost('patient'),
  };
}
