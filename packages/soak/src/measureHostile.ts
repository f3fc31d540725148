/**
 * `npm run measure:hostile [KIND ...]`: a crowd of hostile clients at the address for callers of a real entry with lowered limits. Prints, for
 * each kind, whether the entry lives, its peak memory with unread bytes, its descriptors, and the time of an ordinary request.
 */
import * as hostileClients from './hostileClients.js';
import * as hostileSystem from './hostileSystem.js';

const ORDINARY_TIMEOUT_MS = 30_000;
const CONNECTIONS = [1, 10, 60] as const;

const KINDS: readonly hostileClients.HostileKind[] = [
  'bytesOfBodies',
  'piecesOfBodies',
  'bodiesCutShort',
  'bareRequestsAhead',
  'wholeRequestsAhead',
  'bodiesAhead',
];

async function measure(kind: hostileClients.HostileKind, connections: number): Promise<void> {
  const system = await hostileSystem.HostileSystem.start();
  const crowd = {
    ...{ kinds: [kind], connections, request: 'POST /payment/x' },
    headers: hostileClients.callerHeaders,
  };
  const use = await system.attack('callers', crowd, ORDINARY_TIMEOUT_MS);
  const startedAt = performance.now();
  const status = await system.callOnce('callers', ORDINARY_TIMEOUT_MS);
  const milliseconds = Math.round(performance.now() - startedAt);
  process.stdout.write(
    `${kind}, ${connections} connections: ${use.isSameProcess ? 'lives' : 'has ended'}, ` +
      `${Math.round(use.peakMegabytes)} MB, ${use.peakDescriptors} descriptors, ` +
      `ordinary request ${use.ordinaryStatus}, after the crowd ${status} in ${milliseconds} ms\n`,
  );
  system.stop();
}

const [, , ...selected] = process.argv;
for (const kind of KINDS) {
  for (const connections of CONNECTIONS) {
    if (selected.length === 0 || selected.includes(kind)) {
      await measure(kind, connections);
    }
  }
}
process.exit(0);
