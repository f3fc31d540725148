/** HTTP calls of the stand-ins, each on a connection of its own. */
import * as http from 'node:http';

/**
 * Sends one request. The result has the status, or the reason why there is none.
 *
 * @param timeout - the caller gives up, and closes its connection, after so many milliseconds
 */
export function call({
  address,
  method = 'GET',
  path,
  headers = {},
  body = '',
  timeout = 1000,
  agent = false,
}) {
  return new Promise((resolve) => {
    const [host, port] = address.split(':');
    const startedAt = Date.now();
    let done = false;
    const finish = (result) => {
      if (!done) {
        done = true;
        clearTimeout(timer);
        resolve({ ...result, milliseconds: Date.now() - startedAt });
      }
    };
    const length = Buffer.byteLength(body);
    const request = http.request({
      ...{ host, port: Number(port), method, path, agent },
      headers: { ...headers, ...((length > 0 || method !== 'GET') && { 'Content-Length': length }) },
    });
    const timer = setTimeout(() => {
      finish({ error: `no answer in ${timeout} ms` });
      request.destroy();
    }, timeout);
    request.on('error', (error) => {
      finish({ error: error.message });
    });
    request.on('response', (response) => {
      const chunks = [];
      response.on('data', (bytes) => chunks.push(bytes));
      response.on('error', (error) => {
        finish({ error: error.message });
      });
      response.on('close', () => {
        const text = Buffer.concat(chunks).toString('utf8');
        if (response.complete) {
          finish({ status: response.statusCode, headers: response.headers, body: text });
        } else {
          finish({ error: 'the response is not complete', status: undefined, body: text });
        }
      });
    });
    request.end(body);
  });
}
