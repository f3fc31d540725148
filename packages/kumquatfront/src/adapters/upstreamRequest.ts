/**
 * Encodes requests of the own interface to upstreams, whose addresses are URLs.
 */
import type * as relayTypes from '../relay/types.js';
import type * as singleUseConnection from './singleUseConnection.js';

/** A request without its address. */
export interface RequestContent {
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | undefined;
}

const DEFAULT_PORT = '80';

/** Host and port of a URL; one that cannot be read is no address, and a request to it is reported as not sent. */
function hostAndPort(address: string): string {
  if (!URL.canParse(address)) {
    return address;
  }
  const { hostname, port } = new URL(address);
  return `${hostname}:${port === '' ? DEFAULT_PORT : port}`;
}

/**
 * Encodes a request.
 *
 * @param address - `http://ip:port`
 * @returns the request for `singleUseConnection` and `wholeResponse`
 * @example
 * ```ts
 * upstreamRequest.create('http://10.0.0.9:8080', { method: 'GET', path: '/v1/orders' });
 * ```
 */
export function create(
  address: string,
  { method, path, headers = {}, body }: RequestContent,
): singleUseConnection.OutgoingRequest {
  const target = hostAndPort(address);
  const bytes = Buffer.from(body ?? '');
  const length: readonly relayTypes.Header[] =
    body === undefined ? [] : [['Content-Length', String(bytes.length)]];
  return {
    ...{ address: target, method, path, body: bytes },
    headers: [['Host', target], ...Object.entries(headers), ...length],
  };
}
