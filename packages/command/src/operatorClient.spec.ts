/**
 * Answers that the operators' command reads.
 */
import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as test from 'node:test';

import * as kumquatfront from 'kumquatfront';

import type * as commandRunner from './commandRunner.js';
import * as operatorClient from './operatorClient.js';
import * as systemCommands from './systemCommands.js';

const BYTES_SENT = 20 * 1024 * 1024;

/** A server that sends an answer of 20 MiB to every request; returns how many there were. */
async function withLargeAnswers(run: (address: string) => Promise<void>): Promise<number> {
  let requests = 0;
  const server = http.createServer((_incoming, outgoing) => {
    requests += 1;
    outgoing.end(JSON.stringify({ entries: [], objects: ['x'.repeat(BYTES_SENT)] }));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  try {
    await run(`127.0.0.1:${(server.address() as net.AddressInfo).port}`);
  } finally {
    server.closeAllConnections();
    server.close();
  }
  return requests;
}

// Guards against a command that reads whatever an address sends, or asks for it twelve times.
void test.test('an answer of control that is too large fails once, with its reason', async () => {
  const requests = await withLargeAnswers(async (address) => {
    const client = new operatorClient.OperatorClient({
      ...{ control: [address], key: 'k', time: kumquatfront.systemTime },
      random: kumquatfront.seededRandom.create(1),
    });
    const result = await client.get('selector');
    await client.close();
    assert.ok(result.err);
    assert.equal(result.val.kind, 'tooLarge');
    assert.equal(
      result.val.message,
      `Control replica ${address}: the response has more than 16777216 bytes.`,
    );
  });
  assert.equal(requests, 1);
});

// Guards against the same at the address of an entry, which anybody may have taken.
void test.test('addresses of an entry that are too large are not read', async () => {
  await withLargeAnswers(async (address) => {
    const result = await systemCommands.addresses({} as commandRunner.CommandContext, `http://${address}`);
    assert.ok(result.err);
    assert.equal(result.val.message, `Entry http://${address}: the response has more than 4194304 bytes.`);
  });
});
