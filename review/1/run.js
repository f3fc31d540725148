/**
 * A zone is evacuated, restored and evacuated again. The restoration is first sent to a control process that stands
 * still, then to another one, which acknowledges it. When the first one wakes, it must not restore the zone again.
 */
import * as path from 'node:path';
import * as url from 'node:url';

import { Deployment, perthBounds, sleep } from '../common/deployment.js';
import { call } from '../common/http.js';
import { Record } from '../common/record.js';
import { PlainRunner } from '../common/runner.js';

const FOLDER = path.dirname(url.fileURLToPath(import.meta.url));
const TROUBLE = process.env.TROUBLE !== '0';

/** Bounds of the deployment tuckshop-perth-now-grown. */
const CONTACT_MS = 4000;
const EVACUATION_MS = 5000;
const ACK_TIMEOUT_MS = 5000;
const bounds = {
  ...perthBounds,
  ...{ contact_ms: CONTACT_MS, evacuation_ms: EVACUATION_MS, ack_timeout_ms: ACK_TIMEOUT_MS },
  ...{ config_apply_ms: 2500, cold_overshoot: 1.5, cold_tolerance: 5, budget_slack: 190 },
};

const FREEZE_MS = 3500;
const OBSERVED_MS = 8000;
const REQUEST_INTERVAL_MS = 50;
const ZONES = ['perth-a', 'perth-b', 'perth-c'];
const EVACUATED = 'perth-a';

const record = new Record(FOLDER);
const deployment = new Deployment({ controls: ZONES, entries: ZONES, bounds });
const runners = [];
const runs = [];
let requests = 0;
let served = 0;
let clientTimer;

class CannotRun extends Error {}

/** Sends one order of the operator: to one node after another, with growing pauses, until it is acknowledged. */
async function order(text, { method = 'POST', path: target, body = '', first = 0, limit = 15_000 }) {
  const startedAt = Date.now();
  for (let tries = 0; Date.now() - startedAt < limit; tries += 1) {
    const address = deployment.adminAddresses[(first + tries) % ZONES.length];
    const answer = await call({ address, method, path: target, body });
    record.add(`operator: ${text} sent to ${address}: ${answer.status ?? answer.error}`);
    if (answer.status === 200) {
      return Date.now();
    }
    await sleep(Math.min(1000, 100 * 2 ** tries));
  }
  throw new CannotRun(`${text} was not acknowledged`);
}

const configuration = JSON.stringify({
  version: 1,
  routes: [
    {
      ...{ name: 'balance', host: 'shop.example', path_prefix: '/balance/', route_type: 'idempotent' },
      ...{ timeout_ms: 800, target_latency_ms: 100, priority: 2, service: 'app', max_attempts: 2 },
      ...{ anonymous: true, session_affinity: false, stream_resume: false },
    },
  ],
  services: [
    { name: 'app', health_check_path: '/healthz', max_connections: 110, protocol: 'h1', tls: false },
  ],
  limits: {
    max_header_bytes: 16384,
    max_body_bytes: 4194304,
    header_timeout_ms: 3000,
    idle_timeout_ms: 15000,
  },
  tenants: [{ name: 'school', api_keys: ['k1'], priority: 1 }],
});

function startClients() {
  const addresses = deployment.entries.map((entry) => entry.fields.listen.frontend);
  clientTimer = setInterval(async () => {
    requests += 1;
    const attempt = requests.toString(16).padStart(16, '0');
    const answer = await call({
      address: addresses[requests % addresses.length],
      path: `/balance/${requests}`,
      headers: { Host: 'shop.example', 'X-Attempt-Id': attempt, 'X-Deadline-Ms': '1500' },
      timeout: 1500,
    });
    served += answer.status === 200 ? 1 : 0;
  }, REQUEST_INTERVAL_MS);
}

/** Control process that neither leads nor receives the operator's other orders first. */
function chooseFollower() {
  const leader = deployment.controls.findLastIndex(({ log }) => log.includes('event=leaderElected'));
  return [2, 1, 0].find((index) => index !== leader);
}

async function play() {
  await deployment.start();
  ZONES.forEach((zone, index) => {
    runners.push(
      new PlainRunner({
        ...{ id: `i-${zone}`, service: 'app', zone, address: `${deployment.subnet}.${17 + index}:8080` },
        controls: deployment.adminAddresses,
        onRun: (runner, target, attempt) => runs.push({ at: Date.now(), zone: runner.zone, target, attempt }),
      }),
    );
  });
  await sleep(1000);
  await order('configuration', { path: '/-/config/replace', body: configuration });
  await sleep(1500);
  startClients();
  await sleep(2000);
  const before = runs.filter(({ zone }) => zone === EVACUATED).length;
  if (before === 0) {
    throw new CannotRun(`${EVACUATED} ran nothing before its evacuation`);
  }
  const frozen = chooseFollower();
  const awake = (frozen + 1) % ZONES.length;
  await order('first evacuation', { path: `/-/drain/${EVACUATED}/begin`, first: awake });
  await sleep(2000);
  const control = deployment.controls[frozen];
  if (TROUBLE) {
    control.signal('SIGSTOP');
    record.add(`${control.name} stands still`);
  }
  const frozenAt = Date.now();
  await sleep(300);
  await order('restoration', { path: `/-/drain/${EVACUATED}/finish`, first: frozen });
  await sleep(300);
  const evacuatedAt = await order('second evacuation', { path: `/-/drain/${EVACUATED}/begin`, first: awake });
  await sleep(Math.max(0, frozenAt + FREEZE_MS - Date.now()));
  const wokenAt = Date.now();
  if (TROUBLE) {
    control.signal('SIGCONT');
    record.add(`${control.name} wakes after ${wokenAt - frozenAt} ms`);
  }
  const judgedFrom = Math.max(evacuatedAt + EVACUATION_MS, wokenAt + CONTACT_MS);
  await sleep(judgedFrom + OBSERVED_MS - Date.now());
  clearInterval(clientTimer);
  const late = runs.filter(({ at, zone }) => at > judgedFrom && zone === EVACUATED);
  const elsewhere = runs.filter(({ at, zone }) => at > judgedFrom && zone !== EVACUATED);
  for (const { at, zone, target, attempt } of runs) {
    const sinceAck = at - evacuatedAt;
    record.add(
      `run: ${target} (${attempt}) in ${zone}, ${sinceAck} ms after the second evacuation was acknowledged`,
    );
  }
  record.add(`${requests} requests, ${served} served`);
  record.add(`judged from ${judgedFrom - evacuatedAt} ms after the acknowledgement, for ${OBSERVED_MS} ms`);
  record.add(`runs in the evacuated zone: ${late.length}; in the others: ${elsewhere.length}`);
  if (elsewhere.length === 0 && late.length === 0) {
    throw new CannotRun('nothing ran in the observed time');
  }
  return late.length > 0 ? 1 : 0;
}

let result = 2;
try {
  result = await play();
} catch (error) {
  record.add(`cannot run: ${error.message}`);
} finally {
  clearInterval(clientTimer);
  for (const runner of runners) {
    runner.stop();
  }
  if (process.env.KEEP_LOGS !== undefined) {
    deployment.keepLogs(process.env.KEEP_LOGS);
  }
  await deployment.stop();
}
record.add(['EVAC held', 'EVAC was broken', 'the case could not run'][result]);
process.exit(result);
