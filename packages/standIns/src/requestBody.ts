/**
 * Reads the bodies of requests to the stand-ins.
 */
import type * as http from 'node:http';

import * as kumquatfront from 'kumquatfront';

/**
 * Reads the body of a request.
 *
 * @param done - called once with the body decoded as UTF-8; not called if the client disconnects
 * @example
 * ```ts
 * requestBody.read(request, (body) => body.ok && handle(body.val));
 * ```
 */
export function read(request: http.IncomingMessage, done: kumquatfront.httpMessages.BodyCallback): void {
  const chunks: Buffer[] = [];
  request.on('data', (bytes: Buffer) => {
    chunks.push(bytes);
  });
  request.on('end', () => {
    done(kumquatfront.results.Ok(Buffer.concat(chunks).toString('utf8')));
  });
  request.on('error', () => undefined);
}
