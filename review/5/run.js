/**
 * The operator adds a tenant whose name has characters outside of Latin-1. A client of that tenant sends single requests;
 * clients of another tenant use connections that they keep. Counts the requests of the latter that a runner ran and whose
 * connection was closed without an answer, and the entries that ended by themselves.
 */
import { Deployment, sleep } from '../common-2/deployment.js';
import { call } from '../common-2/httpCall.js';
import { KeptClients } from '../common-2/keptClients.js';
import { runCase } from '../common-2/runCase.js';

const TIMEOUT = 3_000;
const WORK_TIME = 300;
const CLIENTS_PER_ENTRY = 4;
const REQUESTS = 12;

/** The rule LOST: "more than three times". */
const ALLOWED_LOST = 3;

/** The rule Fault: "on a tenth of the machines in use (two at least) ... processes end by themselves three times". */
const FAULT_MACHINES = 2;
const FAULT_ENDS = 3;

await runCase(import.meta.url, new Deployment({ entries: 3 }), async (deployment, trouble) => {
  await deployment.startReady({ app: 3, runnerOptions: { framing: 'length', workTime: WORK_TIME } });
  const clients = new KeptClients(deployment, { key: 'key-1', timeout: TIMEOUT });
  for (const entry of deployment.entries) {
    clients.start(entry, CLIENTS_PER_ENTRY);
  }
  const configuration = deployment.configuration(2);
  const name = trouble === '0' ? 'school' : '学校';
  configuration.tenants.push({ name, api_keys: ['key-2'], priority: 1 });
  deployment.record(`operator sends a configuration with the tenant ${name}`);
  await deployment.configure(configuration);
  await sleep(2_500);
  for (let index = 1; index <= REQUESTS; index += 1) {
    const entry = deployment.entries[index % deployment.entries.length];
    const attempt = `school-${index}`;
    const { status, reason } = await call({
      address: `${entry.host}:${deployment.ports.frontend}`,
      method: 'POST',
      path: '/post/x',
      headers: {
        Host: 'review.example',
        'X-Attempt-Id': attempt,
        'X-Deadline-Ms': String(TIMEOUT),
        Authorization: 'Token key-2',
      },
      body: 'reimburse',
      timeout: TIMEOUT,
    });
    deployment.record(`client ${attempt} to ${entry.name}: ${status === 0 ? reason : `status ${status}`}`);
    await sleep(700);
  }
  await clients.stop();
  const lost = clients.lost();
  const ends = deployment.entries.map(({ ownEnds }) => ownEnds);
  const verdict =
    `${lost.length} of ${clients.sent.length} requests of another tenant ran and got no answer on a kept connection; ` +
    `entries ended by themselves ${ends.join(', ')} times`;
  const isFault = ends.filter((count) => count >= FAULT_ENDS).length >= FAULT_MACHINES;
  return { isBroken: lost.length > ALLOWED_LOST || isFault, verdict };
});
