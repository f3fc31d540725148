/**
 * `npm run measure:endless [FORM ...]`: real entries with four upstreams of which one sends bytes without end. Prints, for each way,
 * the peak memory of an entry, how long the connections live, and what callers get.
 */
import * as endlessThread from './endlessThread.js';
import * as endlessUpstream from './endlessUpstream.js';
import * as sleep from './sleep.js';
import * as smallSystem from './smallSystem.js';
import * as timedCalls from './timedCalls.js';

const ENTRY_COUNT = 2;
const SOUND_UPSTREAMS = 3;
const CLIENTS_PER_ENTRY = 10;
const CALL_TIMEOUT_MS = 3_000;
const MEASURED_MS = 6_000;
const MEBIBYTE = 1_048_576;

function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((one, other) => one - other);
  return Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0);
}

async function measure(form: endlessUpstream.EndlessForm): Promise<void> {
  const system = await smallSystem.SmallSystem.start(ENTRY_COUNT);
  const { entries } = system;
  const { caller } = system.ports;
  await system.configure();
  const { service, routes } = endlessThread.serviceOf(form);
  const sound = Array.from({ length: SOUND_UPSTREAMS }, (_none, index) =>
    system.startUpstream(`sound-${index}`, service, `127.0.25.${index + 1}`),
  );
  const endless = endlessThread.start(system, { form });
  const closed: endlessUpstream.ClosedConnection[] = [];
  endless.onClosed((connection) => {
    closed.push(connection);
  });
  await sleep.forMilliseconds(2_500);
  const calls: timedCalls.TimedResult[] = [];
  const endsAt = performance.now() + MEASURED_MS;
  const runClient = async (host: string, name: string): Promise<void> => {
    for (let count = 0; performance.now() < endsAt; count += 1) {
      const route = routes[count % routes.length] ?? '';
      const attempt = `${name}-${count}`;
      calls.push(await timedCalls.send({ host, port: caller, route, attempt, timeLeft: CALL_TIMEOUT_MS }));
      await sleep.forMilliseconds(20);
    }
  };
  await Promise.all(
    entries.flatMap(({ host, name }) =>
      Array.from({ length: CLIENTS_PER_ENTRY }, (_none, index) => runClient(host, `${name}-${index}`)),
    ),
  );
  const peak = Math.max(...entries.map((entry) => entry.peakBytes));
  const served = calls
    .filter(({ status, isComplete }) => isComplete && status === 200)
    .map(({ milliseconds }) => milliseconds);
  const late = calls.filter(({ milliseconds }) => milliseconds >= CALL_TIMEOUT_MS * 0.95).length;
  const unclear = calls.filter(({ isComplete }) => !isComplete).length;
  const lives = closed.map(({ milliseconds }) => milliseconds);
  process.stdout.write(
    `${form}: peak ${Math.round(peak / MEBIBYTE)} MB, ${closed.length} connections of ${quantile(lives, 0.5)} ms at the ` +
      `median and ${quantile(lives, 1)} ms at most, ${calls.length} calls, ${served.length} served in ` +
      `${quantile(served, 0.5)} ms at the median and ${quantile(served, 0.99)} ms at 0.99, ${late} until the deadline, ` +
      `${unclear} without a response\n`,
  );
  await endless.stop();
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
