/**
 * Kinds of upstreams and clients that may fill the heap of an entry, each played alone before real processes.
 */
import * as http from 'node:http';

import * as endlessThread from './endlessThread.js';
import type * as endlessUpstream from './endlessUpstream.js';
import * as hostileClients from './hostileClients.js';
import * as keptCalls from './keptCalls.js';
import * as pieceSystem from './pieceSystem.js';
import * as sleep from './sleep.js';
import * as smallSystem from './smallSystem.js';
import type * as supervisedProcess from './supervisedProcess.js';
import * as timedCalls from './timedCalls.js';

const ENTRY_COUNT = 2;
const SOUND_UPSTREAMS = 3;
const ANNOUNCED_MS = 2_500;
const CALL_TIME_LEFT_MS = 6_000;
const LONGEST_CALL_MS = 7_000;
const PAUSE_BETWEEN_CALLS_MS = 20;
const SLOW_PAUSE_MS = 100;

/** Longer than a call, so that a caller reads its first piece and no other. */
const UNREAD_PAUSE_MS = 60_000;

/** A crowd that is neither closed nor read any more makes room for the next one. */
const CROWD_ROUND_MS = 5_000;

const CROWD_POLL_MS = 100;
const BYTES_PER_MEGABYTE = 1_048_576;

/** Callers of each route that has no part in what is played. */
const ORDINARY_CALLERS = 2;

const PLAIN_ROUTE = 'fragile';
const STREAM_ROUTE = 'notes';

/** What a kind plays; without a form, all upstreams are sound. */
export interface PieceKind {
  readonly form?: endlessUpstream.EndlessForm;
  /** Callers of the service at each entry that has some. */
  readonly callers: number;
  /** Times for which callers read nothing after each piece, in turn. */
  readonly readPauses?: readonly number[];
  /** A crowd that does not behave, at the first entry. */
  readonly crowd?: hostileClients.HostileKind;
  readonly crowdConnections?: number;
  /** Whether the callers are those of the first entry alone. */
  readonly isAtOneEntry?: boolean;
}

/** The kinds by name. */
export const kinds: Readonly<Record<string, PieceKind>> = {
  sound: { callers: 10 },
  oneByteChunks: { form: 'oneByteChunks', callers: 10 },
  smallEvents: { form: 'smallEvents', callers: 10, readPauses: [SLOW_PAUSE_MS] },
  oneByteChunksAtOneEntry: { form: 'oneByteChunks', callers: 10, isAtOneEntry: true },
  smallEventsAtOneEntry: {
    ...{ form: 'smallEvents', callers: 10, readPauses: [SLOW_PAUSE_MS] },
    isAtOneEntry: true,
  },
  largeBody: { form: 'body', callers: 10 },
  endlessHead: { form: 'headLines', callers: 10 },
  errorBody: { form: 'errorBody', callers: 10 },
  slowCallers: { form: 'largeEvents', callers: 50, readPauses: [SLOW_PAUSE_MS, UNREAD_PAUSE_MS] },
  unfinishedHeads: { callers: 0, crowd: 'unfinishedHeads', crowdConnections: 1_000 },
  bodiesInPart: { callers: 0, crowd: 'bodiesCutShort', crowdConnections: 200 },
  oneByteBodies: { callers: 0, crowd: 'bytesOfBodies', crowdConnections: 200 },
  requestsAhead: { callers: 0, crowd: 'wholeRequestsAhead', crowdConnections: 200 },
  unreadAnswers: { form: 'largeEvents', callers: 100, readPauses: [UNREAD_PAUSE_MS], isAtOneEntry: true },
};

/** What became of one entry. */
export interface EntryResult {
  readonly name: string;
  readonly exits: number;
  readonly peakMegabytes: number;
  /** Callers of a plain route of another service. */
  readonly plain: keptCalls.KeptCounts;
  /** Callers of a stream of another service. */
  readonly streams: keptCalls.KeptCounts;
  readonly log: string;
}

/** How a kind is played. */
export interface PlayOptions {
  readonly limits: supervisedProcess.ProcessLimits;
  readonly playedMs: number;
}

/** Sends crowd after crowd to an entry. */
async function sendCrowds(
  entry: supervisedProcess.SupervisedProcess,
  port: number,
  { crowd, crowdConnections = 0 }: PieceKind,
  endsAt: number,
): Promise<void> {
  while (crowd !== undefined && performance.now() < endsAt) {
    const { processId } = entry;
    const hostile = new hostileClients.HostileCrowd({
      ...{ host: entry.host, port, kinds: [crowd], connections: crowdConnections },
      ...{ request: 'POST /payment/x', headers: hostileClients.callerHeaders },
    });
    const roundEndsAt = Math.min(endsAt, performance.now() + CROWD_ROUND_MS);
    do {
      await sleep.forMilliseconds(CROWD_POLL_MS);
    } while (performance.now() < roundEndsAt && entry.processId === processId && hostile.openConnections > 0);
    hostile.close();
  }
}

/** Calls the service of the kind until the end. */
async function callService(
  { host }: supervisedProcess.SupervisedProcess,
  port: number,
  { form, readPauses = [] }: PieceKind,
  index: number,
  endsAt: number,
): Promise<void> {
  const { routes } = endlessThread.serviceOf(form);
  const pauseAfterRead = readPauses[index % readPauses.length];
  for (let count = 0; performance.now() < endsAt; count += 1) {
    await timedCalls.send({
      ...{ host, port, route: routes[count % routes.length] ?? '', attempt: crypto.randomUUID() },
      ...{ timeLeft: CALL_TIME_LEFT_MS, longest: LONGEST_CALL_MS },
      ...(pauseAfterRead !== undefined && { pauseAfterRead }),
    });
    await sleep.forMilliseconds(PAUSE_BETWEEN_CALLS_MS);
  }
}

/** Calls another service on one kept connection until the end. */
async function callOrdinary(
  call: Omit<keptCalls.KeptCall, 'agent' | 'timeLeft'>,
  counts: keptCalls.KeptCounts,
  endsAt: number,
): Promise<void> {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  while (performance.now() < endsAt) {
    await keptCalls.send({ ...call, agent, timeLeft: CALL_TIME_LEFT_MS }, counts);
    await sleep.forMilliseconds(PAUSE_BETWEEN_CALLS_MS);
  }
  agent.destroy();
}

async function playAt(
  system: smallSystem.SmallSystem,
  index: number,
  kind: PieceKind,
  endsAt: number,
): Promise<EntryResult> {
  const entry = system.entries[index];
  if (entry === undefined) {
    throw new Error('The system has no such entry.');
  }
  const port = system.ports.caller;
  const probe = new pieceSystem.PeakProbe(entry);
  const plain = keptCalls.none();
  const streams = keptCalls.none();
  const { host } = entry;
  const callers = kind.isAtOneEntry === true && index > 0 ? 0 : kind.callers;
  await Promise.all([
    ...Array.from({ length: callers }, (_none, caller) => callService(entry, port, kind, caller, endsAt)),
    ...Array.from({ length: ORDINARY_CALLERS }, () => [
      callOrdinary({ host, port, route: PLAIN_ROUTE }, plain, endsAt),
      callOrdinary({ host, port, route: STREAM_ROUTE }, streams, endsAt),
    ]).flat(),
    ...(index === 0 ? [sendCrowds(entry, port, kind, endsAt)] : []),
  ]);
  probe.stop();
  const { name, unexpectedExits: exits, log } = entry;
  return { name, exits, peakMegabytes: probe.peakBytes / BYTES_PER_MEGABYTE, plain, streams, log };
}

/** Waits until each entry answers a call. */
async function waitUntilServing({ entries, ports }: smallSystem.SmallSystem): Promise<void> {
  for (const { host } of entries) {
    await timedCalls.untilServed({
      host,
      port: ports.caller,
      route: PLAIN_ROUTE,
      timeLeft: CALL_TIME_LEFT_MS,
    });
  }
}

/**
 * Plays a kind against three control replicas and two entries of their own.
 *
 * @throws Error with what the processes have written, if they do not start
 * @example
 * ```ts
 * const [first] = await pieceKinds.play({ callers: 10 }, { limits: {}, playedMs: 20_000 });
 * ```
 */
export async function play(
  kind: PieceKind,
  { limits, playedMs }: PlayOptions,
): Promise<readonly EntryResult[]> {
  const system = await smallSystem.SmallSystem.start(ENTRY_COUNT, limits);
  const { service } = endlessThread.serviceOf(kind.form);
  const sound = [
    system.startUpstream('ordinary', 'fragile', '127.0.25.8'),
    system.startUpstream('notes', 'notes', '127.0.25.7'),
    ...Array.from({ length: SOUND_UPSTREAMS }, (_none, index) =>
      system.startUpstream(`sound-${index}`, service, `127.0.25.${index + 1}`),
    ),
  ];
  let endless: endlessThread.EndlessThread | undefined;
  try {
    await system.configure();
    await waitUntilServing(system);
    if (kind.form !== undefined) {
      endless = endlessThread.start(system, { form: kind.form });
    }
    await sleep.forMilliseconds(ANNOUNCED_MS);
    const endsAt = performance.now() + playedMs;
    return await Promise.all(system.entries.map((_entry, index) => playAt(system, index, kind, endsAt)));
  } catch (error) {
    const logs = [...system.entries, ...system.control].map(({ name, log }) => `${name}:\n${log}`);
    throw new Error(`${String(error)}\n${logs.join('\n')}`, { cause: error });
  } finally {
    await endless?.stop();
    system.stop();
    for (const upstream of sound) {
      upstream.close();
    }
  }
}
