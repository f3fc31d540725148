/**
 * Connection check against a listening and a closed port.
 */
import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as test from 'node:test';

import * as connectionCheck from './connectionCheck.js';
import * as systemTime from './systemTime.js';

async function listen(): Promise<{ server: net.Server; address: string }> {
  const server = net.createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  return { server, address: `127.0.0.1:${port}` };
}

function check(address: string): Promise<string> {
  return new Promise((resolve) => {
    connectionCheck.run(address, systemTime.scheduler, resolve);
  });
}

void test.test('the result is accepted while a server listens, and refused after it has closed', async () => {
  const { server, address } = await listen();
  assert.equal(await check(address), 'accepted');
  await new Promise((resolve) => server.close(resolve));
  assert.equal(await check(address), 'refused');
});

// Guards against an address that ends the process, because the network API throws for it.
void test.test('nothing is known of an address that cannot exist', async () => {
  for (const address of ['127.0.0.1:99999', '127.0.0.1:x', '127.0.0.1:-1']) {
    const result = await new Promise<string>((resolve) => {
      connectionCheck.run(address, systemTime.scheduler, resolve);
    });
    assert.equal(result, 'unknown', address);
  }
});
