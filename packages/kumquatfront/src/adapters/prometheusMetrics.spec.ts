/**
 * Rendering of Prometheus metrics.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as prometheusMetrics from './prometheusMetrics.js';

void test.test('counters, gauges and histograms are rendered with their labels', async () => {
  const metrics = prometheusMetrics.create('entry-1');
  metrics.count('refusals', 2, { kind: 'overloaded' });
  metrics.count('refusals', 1, { kind: 'overloaded' });
  metrics.gauge('placement.waiting', 7);
  metrics.timing('relayed.whole', 42, { kind: 'stream' });
  const page = await metrics.render();
  assert.match(page, /kumquatfront_refusals\{kind="overloaded",process="entry-1"\} 3/);
  assert.match(page, /kumquatfront_placement_waiting\{process="entry-1"\} 7/);
  assert.match(page, /kumquatfront_relayed_whole_bucket\{le="50",process="entry-1",kind="stream"\} 1/);
  assert.match(page, /kumquatfront_relayed_whole_sum\{process="entry-1",kind="stream"\} 42/);
});
