/**
 * Metrics by `hot-shots`, to a StatsD address; without an address they go nowhere.
 */
import * as hotShots from 'hot-shots';

import type * as ports from '../kernel/ports.js';

/** Where metrics go. */
export interface MetricsSettings {
  readonly host?: string;
  readonly port?: number;
}

const PREFIX = 'kumquatfront.';

/**
 * Creates metrics.
 *
 * @param settings - where they go
 * @param process - the process, a tag on every metric
 * @returns the metrics
 * @example
 * ```ts
 * const metrics = statsdMetrics.create({ host: '127.0.0.1', port: 8125 }, 'entry-1');
 * ```
 */
export function create(settings: MetricsSettings, process: string): ports.Metrics {
  // Without a collector there is nothing to open a socket for.
  if (settings.host === undefined) {
    return silent;
  }
  const client = new hotShots.StatsD({
    host: settings.host,
    port: settings.port,
    prefix: PREFIX,
    globalTags: { process },
    maxBufferSize: 1_400,
    // Metrics may be lost; an unreachable collector must not end the process.
    errorHandler: () => undefined,
  });
  return {
    count: (name, value = 1, tags = {}) => {
      client.increment(name, value, { ...tags });
    },
    gauge: (name, value, tags = {}) => {
      client.gauge(name, value, { ...tags });
    },
    timing: (name, milliseconds, tags = {}) => {
      client.timing(name, milliseconds, { ...tags });
    },
  };
}

/** Metrics that go nowhere. */
export const silent: ports.Metrics = {
  count: () => undefined,
  gauge: () => undefined,
  timing: () => undefined,
};
