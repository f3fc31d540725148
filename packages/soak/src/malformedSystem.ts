/**
 * A system of real processes with one sound upstream, and one whose answers a test writes byte by byte. The second entry can be cut
 * off from the upstreams, so that its calls are relayed through the first.
 */
import * as crypto from 'node:crypto';

import * as platform from 'kumquatfront-platform';
import * as standIns from 'kumquatfront-stand-ins';

import * as invariantChecker from './invariantChecker.js';
import * as rawUpstreams from './rawUpstreams.js';
import * as sleep from './sleep.js';
import * as smallSystem from './smallSystem.js';
import type * as stubInstance from './stubInstance.js';
import type * as supervisedProcess from './supervisedProcess.js';
import * as unreadCall from './unreadCall.js';

const ENTRY_COUNT = 2;
const CUT_DETECTION_MS = 1_500;

/** Time left that a call states, in milliseconds, unless it is to end at its deadline: no machine is so slow that another call does. */
export const TIME_LEFT_MS = 20_000;

/** Services whose upstreams send malformed answers; their routes are `fragile`, `stream` and `notes`. */
const MALFORMED_SERVICES = ['fragile', 'llm', 'notes'] as const;

/** Instances of each of these services: one that fails is left out for a while, and others take its calls. */
const INSTANCES_PER_SERVICE = 40;

/** A call of a test. */
export interface TestCall {
  readonly method?: string;
  /** Path on a route of `clients.configurationText`. */
  readonly path: string;
  readonly attempt: string;
  readonly body?: string;
  /** Pause in the middle of the body, in milliseconds. */
  readonly pause?: number;
  readonly leavesAfter?: number;
  /** Time left that the call states, in milliseconds; {@link TIME_LEFT_MS} by default. */
  readonly timeLeft?: number;
}

function requestParts({
  method = 'POST',
  path: target,
  attempt,
  body = '',
  timeLeft = TIME_LEFT_MS,
}: TestCall): readonly string[] {
  const { headers } = platform.httpNames;
  const lines = [
    `${method} ${target} HTTP/1.1`,
    'Host: soak.example',
    'Connection: close',
    'Authorization: Token key',
    `${headers.attempt}: ${attempt}`,
    `${headers.timeLeft}: ${timeLeft}`,
    `${headers.tokens}: 300,160`,
    `Content-Length: ${body.length}`,
  ];
  const half = Math.floor(body.length / 2);
  return [`${lines.join('\r\n')}\r\n\r\n${body.slice(0, half)}`, body.slice(half)].filter(
    (part) => part !== '',
  );
}

/** The system; see the module comment. */
export class MalformedSystem {
  private constructor(
    private readonly processes: smallSystem.SmallSystem,
    private readonly sound: stubInstance.StubInstance,
    readonly upstreams: rawUpstreams.RawUpstreams,
  ) {}

  /**
   * Starts the processes and waits until the entries serve.
   *
   * @param answerTo - answers of the upstreams behind the routes `fragile`, `stream` and `notes`
   * @param nodeOptions - options of Node.js for the processes
   * @param entryCount - number of entries
   * @param settings - fields of the settings files that replace the usual ones
   */
  static async start(
    answerTo: rawUpstreams.RawUpstreamsOptions['answerTo'],
    nodeOptions: readonly string[] = [],
    entryCount = ENTRY_COUNT,
    settings: Readonly<Record<string, unknown>> = {},
  ): Promise<MalformedSystem> {
    const processes = await smallSystem.SmallSystem.start(entryCount, { nodeOptions, settings });
    const sound = processes.startUpstream('sound', 'app', '127.0.25.1');
    const upstreams = await rawUpstreams.RawUpstreams.start({
      ...{ port: processes.ports.instance, controlAddress: processes.controlAddress, answerTo },
      instances: MALFORMED_SERVICES.flatMap((service, block) =>
        Array.from({ length: INSTANCES_PER_SERVICE }, (_none, index) => ({
          ...{ identity: `${service}-${index}`, service },
          host: `127.0.25.${2 + block * INSTANCES_PER_SERVICE + index}`,
        })),
      ),
    });
    const system = new MalformedSystem(processes, sound, upstreams);
    await system.prepare();
    return system;
  }

  private async prepare(): Promise<void> {
    await this.processes.configure();
    for (const entry of this.entries) {
      await smallSystem.until(() => this.isServing(entry));
    }
    // Behind the heartbeats of the other upstream, which the calls above do not need.
    await sleep.forMilliseconds(1_000);
  }

  get entries(): readonly supervisedProcess.SupervisedProcess[] {
    return this.processes.entries;
  }

  /** Whether an entry serves a call to the sound upstream. */
  async isServing(entry: supervisedProcess.SupervisedProcess): Promise<boolean> {
    const attempt = `sound-${crypto.randomUUID()}`;
    const { bytes } = await this.call(entry, { path: `/lookUp/${attempt}`, attempt });
    return bytes.startsWith('HTTP/1.1 200 ') && bytes.endsWith(invariantChecker.bodyOf(attempt));
  }

  /** Sends a call on a connection of its own. */
  call(entry: supervisedProcess.SupervisedProcess, call: TestCall): Promise<standIns.rawCaller.RawResult> {
    return standIns.rawCaller.send({
      ...{ host: entry.host, port: this.processes.ports.caller, parts: requestParts(call) },
      ...(call.pause !== undefined && { pause: call.pause }),
      ...(call.leavesAfter !== undefined && { leavesAfter: call.leavesAfter }),
      timeout: 2 * (call.timeLeft ?? TIME_LEFT_MS),
    });
  }

  /** Sends a call of which the caller reads nothing yet. */
  open(entry: supervisedProcess.SupervisedProcess, call: TestCall): unreadCall.UnreadCall {
    const { host } = entry;
    return unreadCall.open(host, this.processes.ports.caller, requestParts(call).join(''));
  }

  /** Cuts the second entry off from all upstreams; its calls go through the first from then on. */
  async cutSecondEntry(): Promise<void> {
    this.entries[1]?.setUpstreamCut('newRefused');
    await sleep.forMilliseconds(CUT_DETECTION_MS);
  }

  /** Identifiers of the processes, which change when one has ended. */
  get processIds(): readonly (number | undefined)[] {
    return [...this.processes.control, ...this.entries].map(({ processId }) => processId);
  }

  stop(): void {
    this.processes.stop();
    this.sound.close();
    this.upstreams.close();
  }
}
