/**
 * Prometheus metrics with `prom-client`: counters, gauges and histograms, registered on first use. They are
 * documented in docs/metrics.md.
 */
import * as promClient from 'prom-client';

import type * as ports from '../kernel/ports.js';

/** Bucket bounds of the duration histograms, in milliseconds. */
const BUCKET_BOUNDS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 20_000, 60_000];

const PREFIX = 'kumquatfront_';

/** Metrics that can be rendered for scraping. */
export interface PrometheusMetrics extends ports.Metrics {
  /** Content type of the rendered metrics. */
  readonly contentType: string;
  /** Renders all metrics in the text format. */
  readonly render: () => Promise<string>;
}

function prometheusName(name: string): string {
  return PREFIX + name.replaceAll('.', '_');
}

/**
 * Creates a registry of Prometheus metrics.
 *
 * @param process - name of the process, set as a label on every metric
 * @returns the metrics
 * @example
 * ```ts
 * const metrics = prometheusMetrics.create('entry-1');
 * metrics.count('refusals', 1, { kind: 'overloaded' });
 * await metrics.render();
 * ```
 */
export function create(process: string): PrometheusMetrics {
  const registry = new promClient.Registry();
  registry.setDefaultLabels({ process });
  const registers = [registry];
  const counters = new Map<string, promClient.Counter>();
  const gauges = new Map<string, promClient.Gauge>();
  const histograms = new Map<string, promClient.Histogram>();

  const getOrCreate = <Kind>(
    metrics: Map<string, Kind>,
    name: string,
    tags: ports.MetricTags,
    createMetric: (options: {
      name: string;
      help: string;
      labelNames: string[];
      registers: typeof registers;
    }) => Kind,
  ): Kind => {
    const existing = metrics.get(name);
    if (existing !== undefined) {
      return existing;
    }
    const help = `See docs/metrics.md, ${name}.`;
    const created = createMetric({
      name: prometheusName(name),
      help,
      labelNames: Object.keys(tags),
      registers,
    });
    metrics.set(name, created);
    return created;
  };

  return {
    count: (name, value = 1, tags = {}) => {
      getOrCreate(counters, name, tags, (options) => new promClient.Counter(options)).inc({ ...tags }, value);
    },
    gauge: (name, value, tags = {}) => {
      getOrCreate(gauges, name, tags, (options) => new promClient.Gauge(options)).set({ ...tags }, value);
    },
    timing: (name, milliseconds, tags = {}) => {
      getOrCreate(
        histograms,
        name,
        tags,
        (options) => new promClient.Histogram({ ...options, buckets: BUCKET_BOUNDS }),
      ).observe({ ...tags }, milliseconds);
    },
    contentType: registry.contentType,
    render: () => registry.metrics(),
  };
}
