/**
 * Embeds the admission policy alone, behind a custom transport: requests wait in a fair queue until an engine has
 * headroom, and the transport reports their outcome to the policy. Run with `node dist/embed.js`.
 */
import * as kumquatfront from 'kumquatfront';

const { clock, scheduler } = kumquatfront.systemTime;
const timers = kumquatfront.timerService.create(clock, scheduler);
const table = new kumquatfront.upstreamTable.UpstreamTable();
const ignore = (): void => undefined;

// In production, announcements come from the engines' reports; here two engines are announced once.
for (const name of ['engine-1', 'engine-2']) {
  const announcement: kumquatfront.directoryTypes.Announcement = {
    ...{
      name,
      incarnation: 1,
      sequence: 1,
      address: `http://${name}`,
      kind: 'engine',
      labels: { pool: 'llm' },
    },
    ...{ dataCentre: 'here', memoryTokens: 4_000, slots: 4, lease: 60_000, leaving: false },
  };
  table.applyAnnouncement(announcement, 0, timers.now());
}

const placement = new kumquatfront.localPlacement.LocalPlacement({
  directory: { table, onUpdate: ignore, onUpstreamExpired: ignore },
  estimator: new kumquatfront.lengthEstimator.LengthEstimator(),
  outlierDetector: new kumquatfront.outlierDetector.OutlierDetector(),
  timers,
  random: kumquatfront.seededRandom.create(1),
  metrics: kumquatfront.statsdMetrics.noop,
  selectUpstream: kumquatfront.balancingPolicy.powerOfTwoChoices,
  headroom: kumquatfront.headroom.defaultSettings,
  queueBounds: () => ({ perAccount: 10, total: 40 }),
  weightOf: () => 1,
  upstreamWait: 1_000,
});

for (let count = 1; count <= 4; count += 1) {
  const requestId = `request-${count}`;
  const request: kumquatfront.routingTypes.PlacementRequest = {
    ...{
      requestId,
      account: 'school-1',
      deployment: 'llm',
      upstreams: 'pool=llm',
      kind: 'engine',
      urgency: 'patient',
    },
    ...{ promptTokens: 300, prefix: '', estimateKeys: ['school-1', 'all'], exclude: new Set<string>() },
  };
  placement.place(request, (answer) => {
    const where = answer.type === 'granted' ? answer.upstream.announcement.name : answer.refusal.reason;
    process.stdout.write(`${requestId}: ${where}\n`);
    // The transport executes the request here and reports the output length to the policy.
    placement.onFinished(requestId, 250, true);
  });
}
timers.stop();
