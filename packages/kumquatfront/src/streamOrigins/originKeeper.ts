/**
 * Keeps origins of streams for other processes and answers their questions, at control replicas and at entries.
 */
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import type * as timerService from '../kernel/timerService.js';
import * as messages from './messages.js';
import * as originStore from './originStore.js';

const EXPIRY_INTERVAL: ports.Milliseconds = 2_000;

/** Dependencies of {@link serve}. */
export interface OriginKeeperOptions {
  readonly timers: timerService.TimerService;
  readonly peers: ports.PeerTransport;
  readonly metrics: ports.Metrics;
  /** Maximum number of records. */
  readonly capacity: number;
  /** Origins of this process's own streams, which are found as well; absent if it has none. */
  readonly own?: originStore.OriginStore;
}

/**
 * Serves the methods by which other processes store and find origins.
 *
 * @returns the store
 * @example
 * ```ts
 * const store = originKeeper.serve({ timers, peers, metrics, capacity: 20_000 });
 * ```
 */
export function serve(options: OriginKeeperOptions): originStore.OriginStore {
  const { timers, peers, metrics, capacity, own } = options;
  const store = new originStore.OriginStore(capacity);
  peers.serve(messages.methods.keep, (parameters, reply) => {
    for (const record of (parameters as messages.KeepRequest).records) {
      store.add(record, timers.now());
    }
    reply(results.Ok(null));
  });
  peers.serve(messages.methods.find, (parameters, reply) => {
    const { key } = parameters as messages.FindRequest;
    const origin = store.find(key, timers.now()) ?? own?.find(key, timers.now());
    reply(results.Ok({ ...(origin !== undefined && { origin }) } satisfies messages.FindAnswer));
  });
  timers.every(
    () => EXPIRY_INTERVAL,
    () => {
      store.removeExpired(timers.now());
      metrics.gauge('origins.kept', store.size);
    },
  );
  return store;
}
