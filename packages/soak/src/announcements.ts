/**
 * Announcements of upstreams that are not stub instances.
 */
import * as http from 'node:http';

const INTERVAL_MS = 400;

/** An upstream that is announced. */
export interface AnnouncedUpstream {
  readonly identity: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
}

/**
 * Announces an upstream to control.
 *
 * @param controlAddress - address of a control replica for operators
 * @returns a function that stops the announcements
 * @example
 * ```ts
 * const stop = announcements.start({ identity: 'one', service: 'app', host, port }, system.controlAddress);
 * ```
 */
export function start(upstream: AnnouncedUpstream, controlAddress: string): () => void {
  const { identity, service } = upstream;
  let sequence = 0;
  const [host, port] = controlAddress.split(':');
  const address = `${upstream.host}:${upstream.port}`;
  const heartbeat = { service, address, zone: 'a', slots: 24, state: 'ready', version: 'v1' };
  const timer = setInterval(() => {
    sequence += 1;
    const request = http.request({ host, port, method: 'POST', path: `/-/instances/${identity}/heartbeat` });
    request.on('error', () => undefined);
    request.on('response', (response) => response.resume());
    request.end(JSON.stringify({ ...heartbeat, cold_remaining_ms: 0, sequence }));
  }, INTERVAL_MS);
  return () => {
    clearInterval(timer);
  };
}
