/**
 * The baseline of the relay: a process that pipes a request to the source with Node's `http` and `undici`,
 * and looks at nothing. Told its address and the ports on the command line.
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
