/**
 * One seeded run: real processes, clients and an operator, faults in series and overlapping, then quiet, in which
 * everything must work again.
 */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';

import * as kumquatfront from 'kumquatfront';

import * as backPressure from './backPressure.js';
import * as clients from './clients.js';
import * as evacuation from './evacuation.js';
import * as fragileRunners from './fragileRunners.js';
import * as ledger from './ledger.js';
import type * as loopbackProxy from './loopbackProxy.js';
import * as pause from './pause.js';
import * as portDraw from './portDraw.js';
import * as processes from './processes.js';
import * as runners from './runners.js';

/** Size and length of a run. */
export interface SoakOptions {
  readonly seed: number;
  /** Time during which faults come. */
  readonly troubleSeconds: number;
  readonly entries: number;
  readonly clients: number;
}

/** How a run ended. */
export interface SoakOutcome {
  readonly faults: readonly string[];
  readonly counts: ledger.Ledger['counts'];
  readonly actions: readonly string[];
  /** Logs of the processes, by name; for reading after a fault. */
  readonly logs: ReadonlyMap<string, string>;
}

const CONTROL = 3;
const RUNNERS_OF_EACH = 3;

/** Where the runners of each service are. */
const DATA_CENTRES = ['a', 'b', 'c'];
const SETTLE_LIMIT_MS = 20_000;

/** Time in which a replica that lost its disk must be a voter again, from its kill; a part is its start. */
const CATCH_UP_MS = 4_600;

async function freePorts(): Promise<processes.Ports & { readonly runner: number }> {
  const [peer = 0, caller = 0, ready = 0, operator = 0, registry = 0, metrics = 0, runner = 0] =
    await portDraw.draw(7);
  return { peer, caller, ready, operator, registry, metrics, runner };
}

/** A running system with everything around it. */
class Soak {
  readonly book = new ledger.Ledger();
  readonly actions: string[] = [];
  readonly random: kumquatfront.ports.Random;
  readonly control: processes.SupervisedProcess[] = [];
  readonly entries: processes.SupervisedProcess[] = [];
  readonly runnerProxies: loopbackProxy.LoopbackProxy[] = [];
  readonly runners: runners.Runner[] = [];
  private readonly folder: string;

  constructor(
    options: SoakOptions,
    readonly ports: processes.Ports & { readonly runner: number },
  ) {
    this.random = kumquatfront.seededRandom.create(options.seed);
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'kumquatfront-soak-'));
    const seeds = Array.from({ length: CONTROL }, (_none, index) => `127.0.22.${index + 1}`);
    for (let index = 1; index <= CONTROL; index += 1) {
      this.control.push(new processes.SupervisedProcess(this.folder, 'control', index, ports, seeds));
    }
    for (let index = 1; index <= options.entries; index += 1) {
      this.entries.push(new processes.SupervisedProcess(this.folder, 'entry', index, ports, seeds));
    }
  }

  get programs(): readonly processes.SupervisedProcess[] {
    return [...this.control, ...this.entries];
  }

  startRunners(proxyOf: (from: string, to: string) => loopbackProxy.LoopbackProxy): void {
    const port = this.ports.runner;
    for (const [position, service] of (['app', 'llm'] as const).entries()) {
      for (let index = 1; index <= RUNNERS_OF_EACH; index += 1) {
        const address = `127.0.25.${position * 10 + index}:${port}`;
        const announced = `127.0.26.${position * 10 + index}:${port}`;
        this.runnerProxies.push(proxyOf(announced, address));
        const control = (): readonly string[] =>
          this.control.map((program) => `${program.host}:${this.ports.operator}`);
        const identity = `${service}-${index}`;
        const dataCentre = DATA_CENTRES[index - 1] ?? 'a';
        this.runners.push(
          new runners.Runner({ identity, service, dataCentre, address, announced, control, book: this.book }),
        );
      }
    }
  }

  pick<Item>(items: readonly Item[]): Item {
    const item = items[Math.floor(this.random.next() * items.length)];
    if (item === undefined) {
      throw new Error('there is nothing to pick from');
    }
    return item;
  }

  /** Does one thing to the system and undoes it after a while. */
  async trouble(): Promise<void> {
    const length = 200 + this.random.next() * 1_800;
    const kind = this.pick([
      'kill',
      'freeze',
      'term',
      'cut',
      'runnerLink',
      'loseDisk',
      'hup',
      'reset',
    ] as const);
    const program = this.pick(this.programs);
    const state = this.pick(['delayed', 'silent', 'forwardOnly', 'backwardOnly', 'refused'] as const);
    this.actions.push(`${kind} ${program.name} ${state} ${Math.round(length)}`);
    switch (kind) {
      case 'kill':
        program.signal('SIGKILL');
        break;
      case 'freeze':
        program.signal('SIGSTOP');
        await pause.of(length);
        program.signal('SIGCONT');
        break;
      case 'term':
        program.signal('SIGTERM');
        await pause.of(length);
        program.signal('SIGKILL');
        break;
      case 'cut':
        program.proxy.state = state;
        await pause.of(length);
        program.proxy.heal();
        break;
      case 'runnerLink': {
        const proxy = this.pick(this.runnerProxies);
        proxy.state = state;
        await pause.of(length);
        proxy.heal();
        break;
      }
      case 'loseDisk':
        await this.loseDisk();
        break;
      case 'hup':
        program.signal('SIGHUP');
        break;
      case 'reset':
        program.proxy.reset();
        break;
    }
  }

  private losingDisk = false;

  /** One disk at a time: that is what three replicas tolerate. */
  private async loseDisk(): Promise<void> {
    if (this.losingDisk) {
      return;
    }
    this.losingDisk = true;
    await this.untilWhole();
    this.pick(this.control).loseDisk();
    // The next loss may come right after the time in which a replica must be repaired.
    await pause.of(CATCH_UP_MS);
    await this.untilWhole();
    this.losingDisk = false;
  }

  /** Waits until every control process answers a read, so that all hold what was acknowledged. */
  private async untilWhole(): Promise<void> {
    const endsAt = Date.now() + SETTLE_LIMIT_MS;
    while (Date.now() < endsAt) {
      const answers = await Promise.all(this.control.map((program) => this.holdsNewest(program.host)));
      if (answers.every((answer) => answer)) {
        return;
      }
      await pause.of(200);
    }
  }

  private async holdsNewest(host: string): Promise<boolean> {
    const { operator } = this.ports;
    const result = await clients.call({ host, port: operator, path: '/-/config/fetch', timeout: 1_000 }, '');
    return result.status === 200;
  }

  async stop(): Promise<void> {
    for (const runner of this.runners) {
      runner.close();
    }
    for (const program of this.programs) {
      program.stop();
    }
    for (const proxy of this.runnerProxies) {
      proxy.close();
    }
    await pause.of(300);
    fs.rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Asks until it is so; false where the limit passes. */
async function until(holds: () => Promise<boolean>): Promise<boolean> {
  const endsAt = Date.now() + SETTLE_LIMIT_MS;
  while (Date.now() < endsAt) {
    if (await holds()) {
      return true;
    }
    await pause.of(150);
  }
  return false;
}

/** Sends calls of its own until several in a row are served. */
async function servesAgain(soak: Soak): Promise<boolean> {
  const before = soak.book.counts.served;
  return until(() => Promise.resolve(soak.book.counts.served > before + 20));
}

/**
 * Plays one run.
 *
 * @param options - seed and size
 * @param proxyOf - makes a proxy between two addresses
 * @returns faults found, with the logs
 * @example
 * ```ts
 * const outcome = await soakRun.play({ seed: 7, troubleSeconds: 8, entries: 2, clients: 6 }, proxyOf);
 * ```
 */
export async function play(
  options: SoakOptions,
  proxyOf: (from: string, to: string) => loopbackProxy.LoopbackProxy,
): Promise<SoakOutcome> {
  const soak = new Soak(options, await freePorts());
  soak.startRunners(proxyOf);
  const control = soak.control.map((program) => program.host);
  const entries = soak.entries.map((program) => program.host);
  const operator = new clients.Operator(control, soak.ports.operator, soak.random, soak.book);
  const { faults } = soak.book;
  if (!(await until(() => operator.replace()))) {
    faults.push('the first configuration was never acknowledged');
  }
  // Entries refuse until they hold it; refusals are proper, so clients may begin at once.
  const callers = Array.from(
    { length: options.clients },
    () => new clients.Client(entries, soak.ports.caller, soak.random, soak.book),
  );
  if (!(await servesAgain(soak))) {
    faults.push('nothing was served before the first trouble');
  }
  const fragile = new fragileRunners.FragileService({
    entries,
    callerPort: soak.ports.caller,
    runnerPort: soak.ports.runner,
    control: () => control.map((host) => `${host}:${soak.ports.operator}`),
    book: soak.book,
    random: kumquatfront.seededRandom.create(options.seed + 1_000_000),
  });
  const { book, runners: all } = soak;
  const evacuated = new evacuation.Evacuation({ operator, book, runners: all, until });
  await evacuated.begin();
  void operator.run();
  const endsAt = Date.now() + options.troubleSeconds * 1_000;
  const open: Promise<void>[] = [];
  while (Date.now() < endsAt) {
    open.push(soak.trouble());
    await pause.of(200 + soak.random.next() * 900);
  }
  await Promise.all(open);
  operator.stop();
  if (!(await until(() => operator.replace()))) {
    faults.push('no configuration was acknowledged after the trouble');
  }
  if (!(await until(() => operator.read()))) {
    faults.push('no read was answered after the trouble');
  }
  if (!(await servesAgain(soak))) {
    faults.push('nothing was served after the trouble');
  }
  await evacuated.check();
  await backPressure.check({ book, runners: all, entryCount: entries.length, until });
  await fragile.settle();
  fragile.stop();
  for (const caller of callers) {
    caller.stop();
  }
  await pause.of(500);
  for (const program of soak.programs) {
    if (program.unaskedEnds > 0) {
      faults.push(`${program.name} ended by itself ${program.unaskedEnds} times`);
    }
  }
  const logs = new Map(soak.programs.map((program) => [program.name, program.log]));
  await soak.stop();
  return { faults, counts: soak.book.counts, actions: soak.actions, logs };
}
