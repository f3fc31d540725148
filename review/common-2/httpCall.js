/** A client stand-in: one request on a new connection, and what its caller can see of the answer. */
import * as http from 'node:http';

/**
 * Sends one request. Never rejects.
 *
 * @returns status (0 without an answer), headers, body, whether the framing says that the answer is whole, and whether the
 * request was sent on a connection that an earlier one had used
 */
export function call({ address, method, path, headers = {}, body, timeout = 40_000, onData, agent }) {
  const colon = address.lastIndexOf(':');
  return new Promise((resolve) => {
    const chunks = [];
    let status = 0;
    let received = {};
    const finish = (isComplete, reason) => {
      clearTimeout(timer);
      resolve({
        status,
        headers: received,
        body: Buffer.concat(chunks).toString('latin1'),
        isComplete,
        reason,
        wasKept: request.reusedSocket,
      });
    };
    const request = http.request({
      host: address.slice(0, colon),
      port: Number(address.slice(colon + 1)),
      method,
      path,
      headers: { ...headers, ...(body !== undefined && { 'Content-Length': Buffer.byteLength(body) }) },
      agent: agent ?? false,
    });
    const timer = setTimeout(() => {
      request.destroy(new Error('timed out'));
    }, timeout);
    request.on('response', (response) => {
      status = response.statusCode;
      received = response.headers;
      response.on('data', (bytes) => {
        chunks.push(bytes);
        onData?.(bytes, request);
      });
      response.on('end', () => {
        finish(response.complete, 'end');
      });
      response.on('error', (error) => {
        finish(false, error.message);
      });
    });
    request.on('error', (error) => {
      finish(false, error.message);
    });
    request.end(body);
  });
}
