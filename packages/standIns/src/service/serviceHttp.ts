/**
 * HTTP server of the simulated service.
 */
import * as http from 'node:http';

import * as kumquatfront from 'kumquatfront';

import * as requestBody from '../requestBody.js';
import * as responseFraming from '../responseFraming.js';
import type * as serviceModel from './serviceModel.js';

/**
 * Creates the server. `GET /stand-in/runs` returns how often each call ran.
 *
 * @param model - the service model
 * @returns the server, not yet listening
 * @example
 * ```ts
 * serviceHttp.createServer(new serviceModel.ServiceModel()).listen(0, '127.0.0.1');
 * ```
 */
export function createServer(model: serviceModel.ServiceModel): http.Server {
  const framings = new responseFraming.FramingRotation();
  return http.createServer((request, response) => {
    if (request.url === '/stand-in/runs') {
      kumquatfront.httpMessages.sendJson(response, 200, Object.fromEntries(model.runCounts));
      return;
    }
    requestBody.read(request, () => {
      const key = kumquatfront.httpMessages.header(request, 'idempotency-key') ?? '';
      const body = model.run(request.method ?? 'GET', request.url ?? '/', key);
      framings.apply(response, Buffer.byteLength(body));
      response.writeHead(200, { 'content-type': 'application/json' });
      response.end(body);
    });
  });
}
