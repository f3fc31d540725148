/**
 * `npm run measure:endless [FORM ...]`: real entries with four upstreams of which one sends bytes without end. Prints, for each way,
 * the peak memory of an entry, how long the connections live, and what callers get.
 */
import * as http from 'node:http';
import * as worker from 'node:worker_threads';

import * as platform from 'kumquatfront-platform';

import * as endlessUpstream from './endlessUpstream.js';
import * as sleep from './sleep.js';
import * as smallSystem from './smallSystem.js';

const ENTRY_COUNT = 2;
const SOUND_UPSTREAMS = 3;
const CLIENTS_PER_ENTRY = 10;
const CALL_TIMEOUT_MS = 3_000;
const MEASURED_MS = 6_000;
const MEBIBYTE = 1_048_576;

const { headers } = platform.httpNames;

interface Call {
  readonly status: number;
  readonly milliseconds: number;
}

function sendCall(host: string, port: number, route: string, attempt: string): Promise<Call> {
  const startedAt = performance.now();
  return new Promise((resolve) => {
    const finish = (status: number): void => {
      resolve({ status, milliseconds: performance.now() - startedAt });
    };
    const request = http.request({
      ...{ host, port, method: 'POST', path: `/${route}/x`, agent: false, timeout: CALL_TIMEOUT_MS },
      headers: {
        Host: 'soak.example',
        [headers.attempt]: attempt,
        [headers.timeLeft]: String(CALL_TIMEOUT_MS),
        Authorization: 'Token key',
      },
    });
    request.on('timeout', () => request.destroy());
    request.on('error', () => {
      finish(0);
    });
    request.on('response', (response) => {
      response.resume();
      response.on('error', () => undefined);
      response.on('close', () => {
        finish(response.complete ? (response.statusCode ?? 0) : 0);
      });
    });
    request.end('x');
  });
}

/** Announces an upstream until the timer is cleared. */
function announce(
  identity: string,
  service: string,
  address: string,
  controlAddress: string,
): NodeJS.Timeout {
  let sequence = 0;
  const [host, port] = controlAddress.split(':');
  const heartbeat = { service, address, zone: 'a', slots: 24, state: 'ready', version: 'v1' };
  return setInterval(() => {
    sequence += 1;
    const request = http.request({ host, port, method: 'POST', path: `/-/instances/${identity}/heartbeat` });
    request.on('error', () => undefined);
    request.on('response', (response) => response.resume());
    request.end(JSON.stringify({ ...heartbeat, cold_remaining_ms: 0, sequence }));
  }, 400);
}

function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((one, other) => one - other);
  return Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0);
}

async function measure(form: endlessUpstream.EndlessForm): Promise<void> {
  const system = await smallSystem.SmallSystem.start(ENTRY_COUNT);
  const { entries, controlAddress } = system;
  const { caller, instance } = system.ports;
  await system.configure();
  const isStream = form === 'event' || form === 'comments';
  const service = isStream ? 'llm' : 'app';
  const sound = Array.from({ length: SOUND_UPSTREAMS }, (_none, index) =>
    system.startUpstream(`sound-${index}`, service, `127.0.25.${index + 1}`),
  );
  const endlessHost = '127.0.25.9';
  const workerData: endlessUpstream.EndlessUpstreamOptions = { form, host: endlessHost, port: instance };
  const thread = new worker.Worker(new URL('./endlessUpstream.js', import.meta.url), { workerData });
  const closed: endlessUpstream.ClosedConnection[] = [];
  thread.on('message', (connection: endlessUpstream.ClosedConnection) => {
    closed.push(connection);
  });
  const announcing = announce('endless', service, `${endlessHost}:${instance}`, controlAddress);
  await sleep.forMilliseconds(2_500);
  const calls: Call[] = [];
  const endsAt = performance.now() + MEASURED_MS;
  const routes = isStream ? ['stream'] : ['lookUp', 'payment'];
  const runClient = async (host: string, name: string): Promise<void> => {
    for (let count = 0; performance.now() < endsAt; count += 1) {
      const route = routes[count % routes.length] ?? '';
      calls.push(await sendCall(host, caller, route, `${name}-${count}`));
      await sleep.forMilliseconds(20);
    }
  };
  await Promise.all(
    entries.flatMap(({ host, name }) =>
      Array.from({ length: CLIENTS_PER_ENTRY }, (_none, index) => runClient(host, `${name}-${index}`)),
    ),
  );
  const peak = Math.max(...entries.map((entry) => entry.peakBytes));
  const served = calls.filter(({ status }) => status === 200).map(({ milliseconds }) => milliseconds);
  const late = calls.filter(({ milliseconds }) => milliseconds >= CALL_TIMEOUT_MS * 0.95).length;
  const unclear = calls.filter(({ status }) => status === 0).length;
  const lives = closed.map(({ milliseconds }) => milliseconds);
  process.stdout.write(
    `${form}: peak ${Math.round(peak / MEBIBYTE)} MB, ${closed.length} connections of ${quantile(lives, 0.5)} ms at the ` +
      `median and ${quantile(lives, 1)} ms at most, ${calls.length} calls, ${served.length} served in ` +
      `${quantile(served, 0.5)} ms at the median and ${quantile(served, 0.99)} ms at 0.99, ${late} until the deadline, ` +
      `${unclear} without a response\n`,
  );
  clearInterval(announcing);
  await thread.terminate();
  system.stop();
  for (const upstream of sound) {
    upstream.close();
  }
}

const [, , ...selected] = process.argv;
for (const form of endlessUpstream.forms) {
  if (selected.length === 0 || selected.includes(form)) {
    await measure(form);
  }
}
process.exit(0);
