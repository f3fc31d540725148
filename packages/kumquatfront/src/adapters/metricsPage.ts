/**
 * Metrics as a page of text, by `prom-client`: counters, gauges and histograms of times, made when they are
 * first used. docs/metrics.md is their catalogue.
 */
import * as promClient from 'prom-client';

import type * as ports from '../kernel/ports.js';

/** Bounds of the histograms: from one local call to the longest generation. */
const BUCKETS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 20_000, 60_000];

const PREFIX = 'kumquatfront_';

/** Metrics with their page. */
export interface PagedMetrics extends ports.Metrics {
  /** The page, and the content type to serve it with. */
  readonly contentType: string;
  readonly render: () => Promise<string>;
}

function pageName(name: string): string {
  return PREFIX + name.replaceAll('.', '_');
}

/**
 * Creates metrics that are read from a page.
 *
 * @param process - the process, a label on every metric
 * @returns the metrics
 * @example
 * ```ts
 * const metrics = metricsPage.create('entry-1');
 * metrics.count('refusals', 1, { kind: 'overloaded' });
 * await metrics.render();
 * ```
 */
export function create(process: string): PagedMetrics {
  const registry = new promClient.Registry();
  registry.setDefaultLabels({ process });
  const registers = [registry];
  const counters = new Map<string, promClient.Counter>();
  const gauges = new Map<string, promClient.Gauge>();
  const histograms = new Map<string, promClient.Histogram>();

  const known = <Kind>(
    kinds: Map<string, Kind>,
    name: string,
    tags: ports.MetricTags,
    make: (options: {
      name: string;
      help: string;
      labelNames: string[];
      registers: typeof registers;
    }) => Kind,
  ): Kind => {
    const found = kinds.get(name);
    if (found !== undefined) {
      return found;
    }
    const help = `See docs/metrics.md, ${name}.`;
    const made = make({ name: pageName(name), help, labelNames: Object.keys(tags), registers });
    kinds.set(name, made);
    return made;
  };

  return {
    count: (name, value = 1, tags = {}) => {
      known(counters, name, tags, (options) => new promClient.Counter(options)).inc({ ...tags }, value);
    },
    gauge: (name, value, tags = {}) => {
      known(gauges, name, tags, (options) => new promClient.Gauge(options)).set({ ...tags }, value);
    },
    timing: (name, milliseconds, tags = {}) => {
      known(
        histograms,
        name,
        tags,
        (options) => new promClient.Histogram({ ...options, buckets: BUCKETS_MS }),
      ).observe({ ...tags }, milliseconds);
    },
    contentType: registry.contentType,
    render: () => registry.metrics(),
  };
}
