/**
 * Hostile clients at the product's own interface: the entry and the control daemon.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as test from 'node:test';
import * as url from 'node:url';

import * as kumquatfront from 'kumquatfront';

import * as clients from './clients.js';
import * as freePorts from './freePorts.js';
import * as hostileCases from './hostileCases.js';
import * as hostileClients from './hostileClients.js';
import * as hostileSystem from './hostileSystem.js';
import * as sleep from './sleep.js';

const HOST = '127.0.23.9';
const CROWD = 60;
const HEAP_OPTIONS = ['--max-old-space-size=64', '--max-semi-space-size=8'];
const START_ATTEMPTS = 100;
const ORDINARY_TIMEOUT = 30_000;
const KEY_HASH = '0'.repeat(64);

/** Default bound on what clients hold, for a VM of the limits. */
const { heldBytes } = kumquatfront.defaultBounds.forCapacity(hostileSystem.LIMITS);

/** Starts a daemon, lets a crowd send to it, and checks what it has used. */
async function attack(kind: hostileClients.HostileKind, role: 'entry' | 'control'): Promise<void> {
  const [port = 0, peer = 0] = await freePorts.allocate(2);
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'kumquatfront-daemon-'));
  const common = {
    name: 'one',
    dataCentre: 'a',
    peerAddress: `${HOST}:${peer}`,
    control: [`${HOST}:${peer}`],
    callerBounds: { heldBytes },
  };
  const settings =
    role === 'entry'
      ? {
          callerAddress: `${HOST}:${port}`,
          signingKey: 'signing-key-0000-0000-0001',
          upstreamKeyHash: KEY_HASH,
        }
      : {
          operatorAddress: `${HOST}:${port}`,
          operatorKeyHash: KEY_HASH,
          dataFolder: path.join(folder, 'data'),
        };
  const file = path.join(folder, 'settings.json');
  fs.writeFileSync(
    file,
    JSON.stringify({
      [role]: { ...common, ...settings, clusterKey: 'cluster-key-0000-0000-0001', metrics: {} },
    }),
  );
  const program = url.fileURLToPath(new URL(`../../daemons/bin/kumquatfront-${role}.js`, import.meta.url));
  const child = childProcess.spawn(process.execPath, [...HEAP_OPTIONS, program, '--settings', file], {
    stdio: 'ignore',
  });
  const ordinary =
    role === 'entry' ? { path: '/v1/entries', status: 200 } : { path: '/v1/status', status: 401 };
  const call = async (timeout: number): Promise<number> => {
    const result = await clients.call({ host: HOST, port, path: ordinary.path, agent: false, timeout }, '');
    return result.status === ordinary.status ? 200 : result.status;
  };
  let crowd: hostileClients.HostileCrowd | undefined;
  try {
    for (let attempt = 0; attempt < START_ATTEMPTS && (await call(1_000)) !== 200; attempt += 1) {
      await sleep.forMilliseconds(100);
    }
    const probe = new hostileSystem.ResourceProbe(child.pid ?? 0, port);
    const request = role === 'entry' ? 'POST /v1/services/app/x' : 'PUT /v1/configuration/markets/x';
    crowd = new hostileClients.HostileCrowd({
      ...{ host: HOST, port, kinds: [kind], connections: CROWD, request },
      headers: ['Host: a', 'Authorization: Bearer x'],
    });
    await crowd.sendAll(() => {
      probe.sample();
    });
    const ordinaryStatus = await call(ORDINARY_TIMEOUT);
    hostileCases.check({
      isSameProcess: child.exitCode === null && child.signalCode === null,
      peakMegabytes: probe.peakMegabytes,
      peakDescriptors: probe.peakDescriptors,
      ordinaryStatus,
    });
  } finally {
    crowd?.close();
    child.kill('SIGKILL');
    fs.rmSync(folder, { recursive: true, force: true });
  }
}

/** Kinds of clients, each with a failure that the tests of the platform's addresses name. */
const KINDS = ['bytesOfBodies', 'bareRequestsAhead', 'bodiesCutShort', 'piecesOfBodies'] as const;

// The same failures as at the platform's addresses, through the servers of the daemons.
for (const role of ['entry', 'control'] as const) {
  for (const kind of KINDS) {
    void test.test(`${kind} at the interface of the ${role} daemon`, () => attack(kind, role));
  }
}
