/**
 * An entry machine is stopped as planned. Clients that still hold an address list with it send requests that take some
 * seconds; the entry takes them, passes them on, and is killed at the end of its grace period. Counts the requests that a
 * runner ran and that ended without an answer.
 */
import { Deployment, sleep } from '../common-2/deployment.js';
import { call } from '../common-2/httpCall.js';
import { runCase } from '../common-2/runCase.js';

const GRACE_PERIOD = 8_000;
const WORK_TIME = 2_600;

/** `timeout_ms` of the route, and what the clients wait. */
const TIMEOUT = 5_000;

/** "Clients keep a response for that long, some of them three times as long." */
const LIFE_FACTOR = 3;

const REQUESTS = 12;
const FIRST_SENT_BEFORE_END = 500;
const SEND_INTERVAL = 35;

async function lookUp(deployment) {
  const [{ host }] = deployment.control;
  const address = `${host}:${deployment.ports.registry}`;
  const path = '/-/lookup?name=review.example&region=region-1&zone=zone-a';
  const { status, body } = await call({ address, method: 'GET', path, timeout: 1_000 });
  deployment.record(`client looks up: ${status} ${body}`);
  return JSON.parse(body);
}

await runCase(import.meta.url, new Deployment({ entries: 3 }), async (deployment, trouble) => {
  await deployment.startReady({ app: 3, runnerOptions: { framing: 'length', workTime: WORK_TIME } });
  const [entry] = deployment.entries;
  const address = `${entry.host}:${deployment.ports.frontend}`;
  const list = await lookUp(deployment);
  const listedUntil = Date.now() + LIFE_FACTOR * list.ttl_s * 1_000;
  if (!list.addresses.includes(address)) {
    throw new Error('the address list lacks the entry');
  }
  const stoppedAt = Date.now();
  if (trouble !== '0') {
    deployment.record(`trouble ${entry.name} gets SIGTERM`);
    entry.signal('SIGTERM');
    setTimeout(() => {
      deployment.record(`trouble ${entry.name} gets SIGKILL`);
      entry.signal('SIGKILL');
    }, GRACE_PERIOD);
  }
  await sleep(listedUntil - FIRST_SENT_BEFORE_END - Date.now());
  const answers = [];
  for (let index = 1; index <= REQUESTS; index += 1) {
    const attempt = `request-${index}`;
    const sentAfter = Date.now() - stoppedAt;
    deployment.record(`client ${attempt} sends to ${entry.name}, ${sentAfter} ms after its SIGTERM`);
    const answer = call({
      address,
      method: 'POST',
      path: '/post/x',
      headers: {
        Host: 'review.example',
        'X-Attempt-Id': attempt,
        'X-Deadline-Ms': String(TIMEOUT),
        Authorization: 'Token key-1',
      },
      body: 'reimburse',
      timeout: TIMEOUT,
    });
    answers.push(answer.then((result) => ({ attempt, result, took: Date.now() - stoppedAt - sentAfter })));
    await sleep(SEND_INTERVAL);
  }
  let lost = 0;
  let answered = 0;
  for (const { attempt, result, took } of await Promise.all(answers)) {
    const hasRun = deployment.runs.some(({ event, id }) => event === 'ran' && id === attempt);
    const isLost = hasRun && !result.isComplete && took < TIMEOUT;
    lost += isLost ? 1 : 0;
    answered += result.isComplete ? 1 : 0;
    deployment.record(
      `client ${attempt} ${result.isComplete ? `status ${result.status}` : `no answer (${result.reason})`} after ` +
        `${took} ms, ${hasRun ? 'ran' : 'did not run'}${isLost ? ', LOST BROKEN' : ''}`,
    );
  }
  const verdict = `${lost} of ${REQUESTS} requests ran and got no answer, ${answered} got one`;
  return { isBroken: lost > 0, verdict };
});
