/**
 * An upstream without end in a thread of its own, announced to control.
 */
import * as worker from 'node:worker_threads';

import * as announcements from './announcements.js';
import type * as endlessUpstream from './endlessUpstream.js';
import type * as smallSystem from './smallSystem.js';

const HOST = '127.0.25.9';

const STREAM_FORMS: ReadonlySet<endlessUpstream.EndlessForm> = new Set([
  'event',
  'comments',
  'smallEvents',
  'largeEvents',
]);

/** A service, and the routes on which callers reach it. */
export interface EndlessService {
  readonly service: 'app' | 'llm';
  readonly routes: readonly string[];
}

/**
 * Returns the service whose upstreams answer in a form; the one of plain calls without a form.
 *
 * @example
 * ```ts
 * endlessThread.serviceOf('smallEvents').service; // 'llm'
 * ```
 */
export function serviceOf(form: endlessUpstream.EndlessForm | undefined): EndlessService {
  return form !== undefined && STREAM_FORMS.has(form)
    ? { service: 'llm', routes: ['stream'] }
    : { service: 'app', routes: ['lookUp', 'payment'] };
}

/** The running thread. */
export interface EndlessThread {
  /** Calls back for each of its connections that has closed. */
  readonly onClosed: (callback: (connection: endlessUpstream.ClosedConnection) => void) => void;
  readonly stop: () => Promise<void>;
}

/**
 * Starts the upstream as one of the service of its form.
 *
 * @param options - how its answers go on without end
 * @example
 * ```ts
 * const endless = endlessThread.start(system, { form: 'oneByteChunks' });
 * await endless.stop();
 * ```
 */
export function start(
  { ports, controlAddress }: smallSystem.SmallSystem,
  options: Pick<endlessUpstream.EndlessUpstreamOptions, 'form' | 'bytesPerSecond'>,
): EndlessThread {
  const { service } = serviceOf(options.form);
  const address = { host: HOST, port: ports.instance };
  const workerData: endlessUpstream.EndlessUpstreamOptions = { ...options, ...address };
  const thread = new worker.Worker(new URL('./endlessUpstream.js', import.meta.url), { workerData });
  const stopAnnouncing = announcements.start({ identity: 'endless', service, ...address }, controlAddress);
  return {
    onClosed: (callback) => {
      thread.on('message', callback);
    },
    stop: async () => {
      stopAnnouncing();
      await thread.terminate();
    },
  };
}
