/**
 * A deployment of real daemons whose upstreams answer with bytes that a test gives, and calls to its entries.
 */
import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';

import * as kumquatfront from 'kumquatfront';
import * as standIns from 'kumquatfront-stand-ins';

import * as cluster from './cluster.js';
import * as configuring from './configuring.js';
import * as deployments from './deployments.js';

const WORKSPACE = new URL('../../../', import.meta.url).pathname;
/** Time between two announcements of an upstream, in milliseconds; longer for many, whose leases are 4 s. */
const ANNOUNCEMENT_INTERVAL = { ofOne: 300, ofMany: 1_000 } as const;
const CALL_TIMEOUT = 8_000;

/** The deployment without upstreams of its own. */
const deployment: deployments.Deployment = {
  ...deployments.tuckshop,
  engines: { pool: 'ledger-llm', count: 0 },
  services: { pool: 'tuckshop-app', count: 0 },
};

/** Announces an upstream until the returned function is called. */
function announce(
  running: cluster.Cluster,
  kind: 'engine' | 'plainService',
  pool: string,
  address: string,
  number: number,
  interval: number,
): () => void {
  const random = kumquatfront.seededRandom.createUnpredictable();
  const post = standIns.httpPoster.create({
    ...{ entries: running.entryAddresses, upstreamKey: cluster.keys.upstream, random },
  });
  let sequence = 0;
  const incarnation = kumquatfront.systemTime.clock.wall();
  const timer = setInterval(() => {
    sequence += 1;
    post({
      type: 'announce',
      announcement: {
        ...{ name: `${pool}-${number}`, incarnation, address, kind, labels: { pool }, dataCentre: 'perth-1' },
        ...{ memoryTokens: 6_000, slots: 16, lease: 4_000, sequence, leaving: false },
      },
    });
  }, interval);
  return () => {
    clearInterval(timer);
  };
}

/**
 * Sends a call of an account of the example configuration.
 *
 * @param request - method and path
 * @param lines - lines of the head
 * @param entry - position of the entry
 * @example
 * ```ts
 * const { bytes } = await rawDeployment.send(running, 'GET /v1/services/tuckshop/balances', lines);
 * ```
 */
export function send(
  running: cluster.Cluster,
  request: string,
  lines: readonly string[],
  body = '',
  entry = 0,
): Promise<standIns.rawCaller.RawResult> {
  const head = [
    `${request} HTTP/1.1`,
    'Host: a',
    'Connection: close',
    ...lines,
    `Content-Length: ${body.length}`,
  ];
  return standIns.rawCaller.send({
    ...{ host: cluster.LOOPBACK, port: running.entries[entry]?.port ?? 0, timeout: CALL_TIMEOUT },
    parts: [`${head.join('\r\n')}\r\n\r\n${body}`],
  });
}

/** What upstreams answer, and how many there are. */
export interface UpstreamOptions {
  readonly answerTo: (request: standIns.rawAnswerServer.RawRequest) => standIns.rawAnswerServer.RawAnswer;
  /** Number of engines, and of services. */
  readonly count?: number;
  /** Names of processes that a test ends. */
  readonly ended?: ReadonlySet<string>;
}

/**
 * Runs a test with a deployment, of which no other process may end.
 *
 * @example
 * ```ts
 * await rawDeployment.withUpstreams({ answerTo }, async (running) => run(running));
 * ```
 */
export async function withUpstreams(
  { answerTo, count = 1, ended = new Set() }: UpstreamOptions,
  run: (running: cluster.Cluster) => Promise<void>,
): Promise<void> {
  // Before the deployment allocates its ports, one of which they would take otherwise before a daemon has bound it.
  const servers = Array.from({ length: count }, () => new standIns.rawAnswerServer.RawAnswerServer(answerTo));
  const serverPorts = await Promise.all(servers.map((server) => server.listen(0, cluster.LOOPBACK)));
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'kumquatfront-'));
  const running = await cluster.start(deployment, folder);
  const interval = count === 1 ? ANNOUNCEMENT_INTERVAL.ofOne : ANNOUNCEMENT_INTERVAL.ofMany;
  const stops = serverPorts.flatMap((port, index) => {
    const address = `http://${cluster.LOOPBACK}:${port}`;
    return [
      announce(running, 'engine', 'ledger-llm', address, index + 1, interval),
      announce(running, 'plainService', 'tuckshop-app', address, index + 1, interval),
    ];
  });
  try {
    await configuring.apply(running, path.join(WORKSPACE, deployment.configurationFile));
    await run(running);
    for (const { name, child } of [...running.control, ...running.entries]) {
      if (!ended.has(name)) {
        assert.deepEqual([child.exitCode, child.signalCode], [null, null], `${name} has ended`);
      }
    }
  } finally {
    stops.forEach((stop) => {
      stop();
    });
    for (const server of servers) {
      server.close();
    }
    await running.stop();
    fs.rmSync(folder, { recursive: true, force: true });
  }
}
