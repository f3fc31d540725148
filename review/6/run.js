/**
 * One heartbeat of another writer reaches control, with an id of bytes that cannot be read. Counts the requests of sound
 * clients that a sound runner ran and whose kept connection was closed without an answer, and the entries that ended by
 * themselves.
 */
import { Deployment, sleep } from '../common-2/deployment.js';
import { call } from '../common-2/httpCall.js';
import { KeptClients } from '../common-2/keptClients.js';
import { runCase } from '../common-2/runCase.js';

const TIMEOUT = 3_000;
const WORK_TIME = 300;
const CLIENTS_PER_ENTRY = 10;
const PLAY_TIME = 8_000;

/** The rule LOST: "more than three times". */
const ALLOWED_LOST = 3;

/** The rule Fault: "on a tenth of the machines in use (two at least) ... processes end by themselves three times". */
const FAULT_MACHINES = 2;
const FAULT_ENDS = 3;

/** Percent-encoded control bytes, in the place of the id in the path. */
const UNREADABLE_ID = '%01%02%03';

await runCase(import.meta.url, new Deployment({ entries: 3 }), async (deployment, trouble) => {
  await deployment.startReady({ app: 3, runnerOptions: { framing: 'length', workTime: WORK_TIME } });
  const clients = new KeptClients(deployment, { key: 'key-1', timeout: TIMEOUT });
  for (const entry of deployment.entries) {
    clients.start(entry, CLIENTS_PER_ENTRY);
  }
  await sleep(2_000);
  if (trouble !== '0') {
    const heartbeat = {
      ...{ service: 'app', address: `${deployment.network}.90:${deployment.ports.runner}`, zone: 'zone-a' },
      ...{ version: 'v1', slots: 6, state: 'ready', cold_remaining_ms: 0, sequence: 1 },
    };
    const { status } = await call({
      address: deployment.adminAddresses[0],
      method: 'POST',
      path: `/-/instances/${UNREADABLE_ID}/heartbeat`,
      body: JSON.stringify(heartbeat),
      timeout: 1_000,
    });
    deployment.record(`trouble heartbeat of another writer, id ${UNREADABLE_ID}: status ${status}`);
  }
  await sleep(PLAY_TIME);
  await clients.stop();
  const lost = clients.lost();
  const ends = deployment.entries.map(({ ownEnds }) => ownEnds);
  const verdict =
    `${lost.length} of ${clients.sent.length} requests ran and got no answer on a kept connection; ` +
    `entries ended by themselves ${ends.join(', ')} times`;
  const isFault = ends.filter((count) => count >= FAULT_ENDS).length >= FAULT_MACHINES;
  return { isBroken: lost.length > ALLOWED_LOST || isFault, verdict };
});
