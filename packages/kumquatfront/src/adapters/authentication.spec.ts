/**
 * Authentication: processes without the cluster key and upstreams without the upstream key are rejected.
 */
import * as assert from 'node:assert/strict';
import type * as http from 'node:http';
import * as net from 'node:net';
import * as test from 'node:test';

import * as undici from 'undici';

import * as unboundedRequests from '../callerBounds/unboundedRequests.js';
import * as responseMemory from '../relay/responseMemory.js';
import * as entryNode from '../entryNode/entryNode.js';
import type * as entryTypes from '../entryNode/types.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import * as virtualTime from '../kernel/virtualTime.js';
import * as trafficResolver from '../selectors/trafficResolver.js';
import * as defaultConfig from '../settings/defaultConfig.js';
import * as entryHttp from './entryHttp.js';
import * as entryHttpTestHarness from './entryHttpTestHarness.js';
import * as httpUpstreams from './httpUpstreams.js';
import * as jsonRpcTransport from './jsonRpcTransport.js';
import * as seededRandom from './seededRandom.js';
import * as statsdMetrics from './statsdMetrics.js';
import * as systemTime from './systemTime.js';

const noop = (): void => undefined;
const log: ports.Log = { debug: noop, info: noop, warn: noop, error: noop };
const LOCAL = '127.0.0.1';

/** Time of the transports stands still: how long a handshake may take is not tested here. */
function createTransport(clusterKey: string): jsonRpcTransport.JsonRpcTransport {
  return jsonRpcTransport.create({ clusterKey, scheduler: new virtualTime.VirtualTime(), log });
}

function listen(transport: jsonRpcTransport.JsonRpcTransport): Promise<string> {
  return new Promise((resolve) => {
    transport.listen(`${LOCAL}:0`, (port) => {
      resolve(`${LOCAL}:${port}`);
    });
  });
}

function sendRequest(transport: jsonRpcTransport.JsonRpcTransport, address: string): Promise<boolean> {
  return new Promise((resolve) => {
    transport.request(address, 'test.echo', { text: 'x' }, 3_000, (result) => {
      resolve(result.ok);
    });
  });
}

// A call from a process with a different cluster key must not reach the handler.
void test.test('requests of a process without the cluster key are rejected', async () => {
  const server = createTransport('the-right-cluster-key');
  let calls = 0;
  server.serve('test.echo', (parameters, reply) => {
    calls += 1;
    reply(results.Ok(parameters));
  });
  const address = await listen(server);
  const trustedPeer = createTransport('the-right-cluster-key');
  const untrustedPeer = createTransport('some-other-cluster-key');
  try {
    assert.equal(await sendRequest(trustedPeer, address), true);
    assert.equal(await sendRequest(untrustedPeer, address), false);
    assert.equal(calls, 1);
  } finally {
    for (const transport of [server, trustedPeer, untrustedPeer]) {
      transport.close();
    }
  }
});

// A process that sends a request or malformed data instead of a proof receives only the first handshake message.
void test.test('lines before the proof are not handled as requests', async () => {
  const server = createTransport('the-right-cluster-key');
  let calls = 0;
  server.serve('test.echo', () => {
    calls += 1;
  });
  const [host = '', port = ''] = (await listen(server)).split(':');
  for (const line of [
    '{"jsonrpc":"2.0","id":1,"method":"test.echo"}',
    'nonsense',
    '{"nonce":5,"proof":[]}',
  ]) {
    const socket = net.connect(Number(port), host);
    socket.write(`${line}\n`);
    const received = await new Promise<string>((resolve) => {
      let text = '';
      socket.on('data', (bytes) => {
        text += bytes.toString();
      });
      socket.on('error', noop);
      socket.on('close', () => {
        resolve(text);
      });
    });
    assert.ok(received.split('\n').length <= 2, received);
  }
  assert.equal(calls, 0);
  server.close();
});

async function withEntry(run: (address: string, node: entryNode.EntryNode) => Promise<void>): Promise<void> {
  const transport = createTransport('the-right-cluster-key');
  const settings: entryTypes.EntrySettings = {
    ...defaultConfig.entryDefaults,
    name: 'entry-1',
    dataCentre: 'c',
    callerAddress: `http://${LOCAL}`,
    peerAddress: `${LOCAL}:1`,
    control: [`${LOCAL}:1`],
    signingKey: 'signing-key',
    upstreamKeyHash: trafficResolver.hashKey('upstream-key'),
  };
  const node = entryNode.create(settings, {
    clock: systemTime.clock,
    scheduler: systemTime.scheduler,
    random: seededRandom.create(1),
    peers: transport,
    log,
    metrics: statsdMetrics.noop,
    engines: httpUpstreams.createGenerationPort(),
    services: httpUpstreams.createServicePort(),
    orders: httpUpstreams.createOrderPort(),
    checkUpstream: noop,
    onDrainRequest: noop,
  });
  const server: http.Server = entryHttp.createServer(
    settings,
    node,
    { log, recentPause: () => 0 },
    unboundedRequests.create(),
    {
      responses: new responseMemory.ResponseMemory(log, statsdMetrics.noop),
      readers: entryHttpTestHarness.createReaders(),
    },
  );
  await new Promise<void>((resolve) => {
    server.listen(0, LOCAL, resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  try {
    await run(`http://${LOCAL}:${port}`, node);
  } finally {
    node.stop();
    transport.close();
    server.closeAllConnections();
    server.close();
  }
}

const ANNOUNCEMENT = JSON.stringify({
  type: 'announce',
  announcement: {
    ...{ name: 'e1', incarnation: 1, sequence: 1, address: 'http://127.0.0.1:9', kind: 'engine', labels: {} },
    ...{ dataCentre: 'c', memoryTokens: 1, slots: 1, lease: 60_000, leaving: false },
  },
});

async function post(address: string, key: string, body: string): Promise<number> {
  const headers = { authorization: `Bearer ${key}`, 'content-type': 'application/json' };
  const response = await undici.request(`${address}/v1/announcements`, { method: 'POST', headers, body });
  await response.body.dump();
  return response.statusCode;
}

// An unauthenticated announcement would route callers' prompts to an untrusted engine.
void test.test('announcements without the upstream key are refused, and body size is limited', async () => {
  await withEntry(async (address, node) => {
    const known = (): number => node.services.find('directory').table.all().length;
    assert.equal(await post(address, 'wrong-key', ANNOUNCEMENT), 401);
    assert.equal(await post(address, '', ANNOUNCEMENT), 401);
    assert.equal(known(), 0);
    assert.equal(await post(address, 'upstream-key', '{"type":"announce"}'), 400);
    assert.equal(await post(address, 'upstream-key', ' '.repeat(5_000_000)), 413);
    assert.equal(known(), 0);
    assert.equal(await post(address, 'upstream-key', ANNOUNCEMENT), 200);
    assert.equal(known(), 1);
  });
});
