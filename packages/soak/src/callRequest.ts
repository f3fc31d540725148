/**
 * Requests of callers of the routes of `clients.configurationText`.
 */
import * as http from 'node:http';

import * as platform from 'kumquatfront-platform';

const { headers } = platform.httpNames;

/** One request. */
export interface CallRequest {
  readonly host: string;
  readonly port: number;
  /** Route of `clients.configurationText`. */
  readonly route: string;
  readonly attempt: string;
  /** Time left that the request states, in milliseconds; the caller leaves after as much time without a byte. */
  readonly timeLeft: number;
  /** Keeps connections; by default each request has one of its own. */
  readonly agent?: http.Agent;
  /** Further header fields. */
  readonly fields?: Readonly<Record<string, string>>;
}

/**
 * Sends a request with a small body.
 *
 * @returns the request, whose events are still to come
 * @example
 * ```ts
 * const request = callRequest.send({ host, port, route: 'payment', attempt: 'one', timeLeft: 3_000 });
 * request.on('response', (response) => response.resume());
 * ```
 */
export function send({
  host,
  port,
  route,
  attempt,
  timeLeft,
  agent,
  fields,
}: CallRequest): http.ClientRequest {
  const request = http.request({
    ...{ host, port, method: 'POST', path: `/${route}/x`, agent: agent ?? false, timeout: timeLeft },
    headers: {
      Host: 'soak.example',
      [headers.attempt]: attempt,
      [headers.timeLeft]: String(timeLeft),
      Authorization: 'Token key',
      ...fields,
    },
  });
  request.on('timeout', () => request.destroy());
  request.end('x');
  return request;
}
