/**
 * StatsD metrics with `hot-shots`; without a configured host they are discarded.
 */
import * as hotShots from 'hot-shots';

import type * as ports from '../kernel/ports.js';

/** Address of the StatsD collector; metrics are discarded if the host is undefined. */
export interface MetricsSettings {
  readonly host?: string;
  readonly port?: number;
}

const PREFIX = 'kumquatfront.';

/**
 * Creates a StatsD client.
 *
 * @param settings - address of the collector
 * @param process - name of the process, set as a tag on every metric
 * @example
 * ```ts
 * const metrics = statsdMetrics.create({ host: '127.0.0.1', port: 8125 }, 'entry-1');
 * ```
 */
export function create(settings: MetricsSettings, process: string): ports.Metrics {
  // Avoids opening a socket if no collector is configured.
  if (settings.host === undefined) {
    return noop;
  }
  const client = new hotShots.StatsD({
    host: settings.host,
    port: settings.port,
    prefix: PREFIX,
    globalTags: { process },
    maxBufferSize: 1_400,
    // Metrics may be lost; an unreachable collector must not crash the process.
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

/** Metrics that discard all values. */
export const noop: ports.Metrics = {
  count: () => undefined,
  gauge: () => undefined,
  timing: () => undefined,
};
