/**
 * Applying a configuration file to control that loses its leader meanwhile.
 */
import * as assert from 'node:assert/strict';
import * as events from 'node:events';
import * as fs from 'node:fs';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as test from 'node:test';

import * as configuring from './configuring.js';

/** More than the attempts that the operator client makes for one request. */
const REFUSED_REQUESTS = 15;

/** Stand-in of a control replica that reports a leader, and then refuses requests as if it were lost. */
function createControl(): http.Server {
  let refused = 0;
  return http.createServer((incoming, outgoing) => {
    incoming.resume();
    if (incoming.url === '/v1/status') {
      outgoing.end(JSON.stringify({ replicas: [{ replica: { role: 'leader', fresh: true }, entries: [] }] }));
      return;
    }
    if (refused < REFUSED_REQUESTS) {
      refused += 1;
      outgoing.writeHead(503);
      outgoing.end(JSON.stringify({ error: { kind: 'notLeader', message: 'm', remedy: 'r', detail: {} } }));
      return;
    }
    outgoing.end(JSON.stringify(incoming.method === 'GET' ? { objects: [] } : { version: 7 }));
  });
}

// Guards against deployments without configuration when control elects another leader while it is applied.
void test.test('a configuration is applied after control has been without a leader', async () => {
  const server = createControl();
  server.listen(0, '127.0.0.1');
  await events.EventEmitter.once(server, 'listening');
  const { port } = server.address() as net.AddressInfo;
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'kumquatfront-'));
  const file = path.join(folder, 'configuration.json');
  fs.writeFileSync(file, JSON.stringify({ objects: [{ kind: 'limits', name: 'x', body: {} }] }));
  try {
    const running = { operatorAddresses: [`127.0.0.1:${port}`], entries: [] };
    const applied = await configuring.apply(running, file);
    assert.deepEqual(applied, { objects: 1, version: 7, entriesInForce: 0 });
  } finally {
    server.closeAllConnections();
    server.close();
    fs.rmSync(folder, { recursive: true, force: true });
  }
});
