/**
 * A system of real processes with the limits of the deploy file and four upstreams of a service, of which one sends bytes without end
 * in small pieces. Callers of another service tell what the entries do for those that have no part in it.
 */
import * as crypto from 'node:crypto';

import * as endlessThread from './endlessThread.js';
import type * as endlessUpstream from './endlessUpstream.js';
import * as sleep from './sleep.js';
import * as smallSystem from './smallSystem.js';
import type * as stubInstance from './stubInstance.js';
import type * as supervisedProcess from './supervisedProcess.js';
import * as timedCalls from './timedCalls.js';

/** Memory of the machine of an entry, as the deployment states it. */
export const MEMORY_MEGABYTES = 200;

const ENTRY_COUNT = 2;
const SOUND_UPSTREAMS = 3;
const CALLERS_PER_ENTRY = 10;
const ORDINARY_CALLERS_PER_ENTRY = 2;
const PLAYED_MS = 6_000;
const CALL_TIME_LEFT_MS = 6_000;
const PAUSE_BETWEEN_CALLS_MS = 20;

/** A caller of a stream reads 64 KiB at most between two pauses, so less than a megabyte in a second. */
const PAUSE_AFTER_READ_MS = 100;

const SAMPLE_INTERVAL_MS = 20;
const ANNOUNCED_MS = 2_500;
const CUT_DETECTION_MS = 1_500;
const ORDINARY_HOST = '127.0.25.8';
const ORDINARY_ROUTE = 'fragile';
const BYTES_PER_MEGABYTE = 1_048_576;

/** Which way the calls of the service take. */
export type Way = 'direct' | 'relayed';

/** What callers of an entry got. */
export interface CallCounts {
  /** Complete answers with status 200. */
  answered: number;
  /** Complete answers with another status. */
  refused: number;
  /** Answers that began and did not end. */
  cut: number;
  /** Calls whose connection ended without a head. */
  lost: number;
}

/** What became of one entry. */
export interface EntryUse {
  readonly name: string;
  readonly isSameProcess: boolean;
  readonly exits: number;
  readonly peakMegabytes: number;
  /** Callers of the service with the endless upstream. */
  readonly service: CallCounts;
  /** Callers of another service. */
  readonly ordinary: CallCounts;
  readonly log: string;
}

function noCalls(): CallCounts {
  return { answered: 0, refused: 0, cut: 0, lost: 0 };
}

function record(counts: CallCounts, { status, isComplete }: timedCalls.TimedResult): void {
  if (isComplete) {
    counts[status === 200 ? 'answered' : 'refused'] += 1;
  } else {
    counts[status === 0 ? 'lost' : 'cut'] += 1;
  }
}

/** Samples the peak of the memory of an entry, across its restarts. */
export class PeakProbe {
  peakBytes = 0;
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly entry: supervisedProcess.SupervisedProcess) {
    this.timer = setInterval(() => {
      this.sample();
    }, SAMPLE_INTERVAL_MS);
  }

  private sample(): void {
    try {
      this.peakBytes = Math.max(this.peakBytes, this.entry.peakBytes);
    } catch {
      // The process is gone, which its identifier shows.
    }
  }

  stop(): void {
    this.sample();
    clearInterval(this.timer);
  }
}

/** What is played. */
export interface PlayOptions {
  readonly form: endlessUpstream.PieceForm;
  readonly way: Way;
  readonly bytesPerSecond?: number;
  readonly limits?: supervisedProcess.ProcessLimits;
}

/** The system; see the module comment. */
export class PieceSystem {
  private constructor(
    private readonly options: PlayOptions,
    private readonly processes: smallSystem.SmallSystem,
    private readonly sound: readonly stubInstance.StubInstance[],
  ) {}

  /**
   * Starts the processes and waits until the entries serve.
   *
   * @example
   * ```ts
   * const system = await pieceSystem.PieceSystem.start({ form: 'oneByteChunks', way: 'direct' });
   * const uses = await system.play();
   * ```
   */
  static async start(options: PlayOptions): Promise<PieceSystem> {
    const processes = await smallSystem.SmallSystem.start(ENTRY_COUNT, {
      settings: { capacity: { memoryMegabytes: MEMORY_MEGABYTES } },
      ...options.limits,
    });
    const { service } = endlessThread.serviceOf(options.form);
    const sound = [
      processes.startUpstream('ordinary', 'fragile', ORDINARY_HOST),
      ...Array.from({ length: SOUND_UPSTREAMS }, (_none, index) =>
        processes.startUpstream(`sound-${index}`, service, `127.0.25.${index + 1}`),
      ),
    ];
    const system = new PieceSystem(options, processes, sound);
    await processes.configure();
    await system.waitUntilServing();
    return system;
  }

  /** Waits until each entry answers an ordinary call. */
  async waitUntilServing(): Promise<void> {
    for (const entry of this.processes.entries) {
      await timedCalls.untilServed(this.callTo(entry, ORDINARY_ROUTE));
    }
  }

  private callTo(
    { host }: supervisedProcess.SupervisedProcess,
    route: string,
  ): Omit<timedCalls.TimedCall, 'attempt'> {
    return {
      ...{ host, port: this.processes.ports.caller, route, timeLeft: CALL_TIME_LEFT_MS },
      ...(route === 'stream' && { pauseAfterRead: PAUSE_AFTER_READ_MS }),
    };
  }

  /** Lets the endless upstream send for some seconds. */
  async play(): Promise<readonly EntryUse[]> {
    const { entries } = this.processes;
    const { form, way, bytesPerSecond } = this.options;
    const endless = endlessThread.start(this.processes, {
      form,
      ...(bytesPerSecond !== undefined && { bytesPerSecond }),
    });
    if (way === 'relayed') {
      entries[1]?.setUpstreamCut('newRefused');
      await sleep.forMilliseconds(CUT_DETECTION_MS);
    }
    await sleep.forMilliseconds(ANNOUNCED_MS);
    const endsAt = performance.now() + PLAYED_MS;
    const uses = await Promise.all(entries.map((entry, index) => this.playAt(entry, index, endsAt)));
    await endless.stop();
    return uses;
  }

  private async playAt(
    entry: supervisedProcess.SupervisedProcess,
    index: number,
    endsAt: number,
  ): Promise<EntryUse> {
    const { form, way } = this.options;
    const { processId } = entry;
    const probe = new PeakProbe(entry);
    const service = noCalls();
    const ordinary = noCalls();
    const runCaller = async (routes: readonly string[], counts: CallCounts): Promise<void> => {
      for (let count = 0; performance.now() < endsAt; count += 1) {
        const call = this.callTo(entry, routes[count % routes.length] ?? '');
        record(counts, await timedCalls.send({ ...call, attempt: crypto.randomUUID() }));
        await sleep.forMilliseconds(PAUSE_BETWEEN_CALLS_MS);
      }
    };
    const { routes } = endlessThread.serviceOf(form);
    // Relayed calls alone show what the entry without callers of its own holds for the other one.
    const callers = way === 'direct' ? CALLERS_PER_ENTRY : index * ENTRY_COUNT * CALLERS_PER_ENTRY;
    await Promise.all([
      ...Array.from({ length: callers }, () => runCaller(routes, service)),
      ...Array.from({ length: ORDINARY_CALLERS_PER_ENTRY }, () => runCaller([ORDINARY_ROUTE], ordinary)),
    ]);
    probe.stop();
    return {
      ...{ name: entry.name, exits: entry.unexpectedExits, service, ordinary, log: entry.log },
      isSameProcess: entry.processId === processId && entry.unexpectedExits === 0,
      peakMegabytes: probe.peakBytes / BYTES_PER_MEGABYTE,
    };
  }

  stop(): void {
    this.processes.stop();
    for (const upstream of this.sound) {
      upstream.close();
    }
  }
}
