/**
 * Baseline of the relay benchmark: a process that forwards requests to the token source with Node's `http` and `undici`
 * without reading them. Takes its host, its port and the source's port as command line arguments.
 */
import * as http from 'node:http';

import * as undici from 'undici';

const [, , host = '', ownPort = '', sourcePort = ''] = process.argv;
const agent = new undici.Agent({ headersTimeout: 0, bodyTimeout: 0, pipelining: 1 });

http
  .createServer((request, response) => {
    undici
      .request(`http://${host}:${sourcePort}/v1/completions`, {
        dispatcher: agent,
        method: 'POST',
        body: request,
      })
      .then(
        (answer) => {
          response.writeHead(200, { 'content-type': 'text/event-stream' });
          answer.body.pipe(response);
        },
        () => {
          response.writeHead(502).end();
        },
      );
  })
  .listen(Number(ownPort), host);
