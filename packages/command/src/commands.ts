/**
 * The commands. Each returns what it has to show; `run` prints it and sets the exit code.
 */
import * as fs from 'node:fs';

import * as kumquatfront from 'kumquatfront';
import * as undici from 'undici';

import * as applyFile from './applyFile.js';
import * as burnPage from './burnPage.js';
import * as burnReport from './burnReport.js';
import * as operatorClient from './operatorClient.js';
import * as table from './table.js';

/** Exit codes; docs/operations/command.md lists them. */
export const exitCodes = { done: 0, refused: 1, usage: 2, unreachable: 3 } as const;

/** What a command has to show: a table for people, a value for programs. */
export interface Shown {
  readonly rows: readonly (readonly string[])[];
  readonly value: unknown;
  /** Where set, the command ends with this code instead of 0. */
  readonly exitCode?: number;
}

/** What a command works with. */
export interface CommandContext {
  readonly client: operatorClient.OperatorClient;
  readonly output: 'table' | 'json';
}

/** A shown value, or why there is none. */
export type CommandResult = Promise<kumquatfront.results.Result<Shown, kumquatfront.failures.Failure>>;

interface GlobalOptions {
  readonly control: string;
  readonly output: 'table' | 'json';
}

function print(shown: Shown, output: GlobalOptions['output']): void {
  const text = output === 'json' ? JSON.stringify(shown.value, null, 2) : table.render(shown.rows);
  process.stdout.write(`${text}\n`);
}

function finish(
  result: kumquatfront.results.Result<Shown, kumquatfront.failures.Failure>,
  output: GlobalOptions['output'],
): void {
  if (result.ok) {
    print(result.val, output);
    process.exitCode = result.val.exitCode ?? exitCodes.done;
    return;
  }
  const failure = result.val;
  process.stderr.write(`${kumquatfront.failures.describe(failure)}\n`);
  const silent = failure.kind === 'unreachable' || failure.kind === 'noQuorum' || failure.kind === 'timeout';
  process.exitCode = silent ? exitCodes.unreachable : exitCodes.refused;
}

/**
 * Runs a command that talks to control.
 *
 * @param options - the global options
 * @param command - the command
 * @example
 * ```ts
 * await commands.run(parsed, commands.status);
 * ```
 */
export async function run(
  options: GlobalOptions,
  command: (context: CommandContext) => CommandResult,
): Promise<void> {
  const control = options.control.split(',').filter((address) => address !== '');
  const key = process.env.KUMQUATFRONT_OPERATOR_KEY ?? '';
  if (control.length === 0 || key === '') {
    const remedy = 'Give --control ip:port,... or KUMQUATFRONT_CONTROL, and KUMQUATFRONT_OPERATOR_KEY.';
    finish(
      kumquatfront.results.Err(
        kumquatfront.failures.create('badInput', 'Control or its key is not named.', remedy),
      ),
      options.output,
    );
    process.exitCode = exitCodes.usage;
    return;
  }
  const client = new operatorClient.OperatorClient({
    control,
    key,
    random: kumquatfront.seededRandom.createUnpredictable(),
    time: kumquatfront.systemTime,
  });
  finish(await command({ client, output: options.output }), options.output);
  await client.close();
}

/**
 * Runs a command that needs no control.
 *
 * @param options - the global options
 * @param command - the command
 * @example
 * ```ts
 * commands.runWithoutControl(parsed, () => commands.hash('key'));
 * ```
 */
export function runWithoutControl(
  options: Pick<GlobalOptions, 'output'>,
  command: () => kumquatfront.results.Result<Shown, kumquatfront.failures.Failure>,
): void {
  finish(command(), options.output);
}

function readFile(file: string): kumquatfront.results.Result<string, kumquatfront.failures.Failure> {
  if (!fs.existsSync(file)) {
    const remedy = 'Give the path of an existing file.';
    return kumquatfront.results.Err(
      kumquatfront.failures.create('notFound', `There is no file ${file}.`, remedy),
    );
  }
  return kumquatfront.results.Ok(fs.readFileSync(file, 'utf8'));
}

/**
 * `apply -f FILE`
 *
 * @param context - client and output
 * @param file - the configuration file
 * @returns what became of each object
 * @example
 * ```ts
 * await commands.apply(context, 'market.json');
 * ```
 */
export async function apply(context: CommandContext, file: string): CommandResult {
  const drafts = readFile(file).andThen(applyFile.parse);
  if (drafts.err) {
    return drafts;
  }
  const applied = await applyFile.apply(context.client, drafts.val);
  return applied.map((objects) => ({
    rows: [
      ['OBJECT', 'ACTION', 'VERSION'],
      ...objects.map((item) => [item.object, item.action, String(item.version)]),
    ],
    value: objects,
  }));
}

/**
 * `diff -f FILE`; ends with 1 where something differs.
 *
 * @param context - client and output
 * @param file - the configuration file
 * @returns what applying the file would do
 * @example
 * ```ts
 * await commands.diff(context, 'market.json');
 * ```
 */
export async function diff(context: CommandContext, file: string): CommandResult {
  const drafts = readFile(file).andThen(applyFile.parse);
  if (drafts.err) {
    return drafts;
  }
  const planned = await applyFile.plan(context.client, drafts.val);
  return planned.map((items) => {
    const differing = items.filter((item) => item.action !== 'unchanged');
    return {
      rows: [['OBJECT', 'WOULD BE'], ...items.map((item) => [item.object, item.action])],
      value: items,
      exitCode: differing.length === 0 ? exitCodes.done : exitCodes.refused,
    };
  });
}

/**
 * `get KIND [NAME]`
 *
 * @param context - client and output
 * @param kind - kind of object
 * @param name - one object; all of the kind where absent
 * @returns the objects
 * @example
 * ```ts
 * await commands.get(context, 'market', undefined);
 * ```
 */
export async function get(context: CommandContext, kind: string, name: string | undefined): CommandResult {
  const found = await context.client.get(kind, name);
  return found.map((objects) => ({
    rows: [
      ['NAME', 'VERSION', 'BODY'],
      ...objects.map((object) => [object.name, String(object.version), JSON.stringify(object.body)]),
    ],
    value: objects,
  }));
}

/**
 * `delete KIND NAME`
 *
 * @param context - client and output
 * @param kind - kind of object
 * @param name - its name
 * @returns the version of the deletion
 * @example
 * ```ts
 * await commands.remove(context, 'market', 'wa-perth');
 * ```
 */
export async function remove(context: CommandContext, kind: string, name: string): CommandResult {
  const found = await context.client.get(kind, name);
  if (found.err) {
    return found;
  }
  const deleted = await context.client.delete(kind, name, found.val[0]?.version ?? 0);
  return deleted.map((version) => ({
    rows: [
      ['OBJECT', 'ACTION', 'VERSION'],
      [`${kind}/${name}`, 'deleted', String(version)],
    ],
    value: { object: `${kind}/${name}`, version },
  }));
}

/**
 * `status`: control replicas, entries, and at how many of them the accepted version is in force.
 *
 * @param context - client and output
 * @returns the status
 * @example
 * ```ts
 * await commands.status(context);
 * ```
 */
export async function status(context: CommandContext): CommandResult {
  const found = await context.client.status();
  return found.map((system) => ({ rows: statusRows(system), value: system }));
}

function statusRows(system: operatorClient.SystemStatus): readonly (readonly string[])[] {
  const accepted = Math.max(0, ...system.replicas.map((replica) => replica.configurationVersion));
  const entries = new Map(
    system.replicas.flatMap((replica) => replica.entries.map((entry) => [entry.name, entry])),
  );
  const inForce = [...entries.values()].filter((entry) => entry.configurationVersion >= accepted).length;
  return [
    ['CONTROL', 'ROLE', 'TERM', 'APPLIED', 'FRESH', 'STATE'],
    ...system.replicas.map((replica) => [
      replica.name,
      replica.replica.role,
      String(replica.replica.term),
      String(replica.replica.appliedIndex),
      replica.replica.fresh ? 'yes' : 'no',
      replica.digest.slice(0, 12),
    ]),
    ...system.silent.map((address) => [address, 'silent', '', '', '', '']),
    [''],
    ['ENTRY', 'DATA CENTRE', 'STATE', 'IN FLIGHT', 'VERSION', 'ADDRESS'],
    ...[...entries.values()].map((entry) => [
      entry.name,
      entry.dataCentre,
      entry.state,
      String(entry.inFlight),
      String(entry.configurationVersion),
      entry.callerAddress,
    ]),
    [''],
    [`accepted: version ${accepted}; in force at ${inForce} of ${entries.size} entries`],
  ];
}

/**
 * `watch`: the status again and again.
 *
 * @param context - client and output
 * @param every - milliseconds between looks
 * @returns the last status, once one cannot be had
 * @example
 * ```ts
 * await commands.watch(context, 2000);
 * ```
 */
export async function watch(context: CommandContext, every: number): CommandResult {
  for (;;) {
    const shown = await status(context);
    if (shown.err) {
      return shown;
    }
    print(shown.val, context.output);
    await new Promise<void>((resolve) => {
      kumquatfront.systemTime.scheduler.after(every, resolve);
    });
  }
}

/**
 * `addresses --entry URL`
 *
 * @param _context - not needed
 * @param entry - any entry
 * @returns the addresses that it gives to callers
 * @example
 * ```ts
 * await commands.addresses(context, 'http://10.0.0.5:8080');
 * ```
 */
export async function addresses(_context: CommandContext, entry: string): CommandResult {
  try {
    const response = await undici.request(`${entry}/v1/entries`);
    const answer = (await response.body.json()) as {
      entries: readonly { address: string; dataCentre: string }[];
    };
    return kumquatfront.results.Ok({
      rows: [['ADDRESS', 'DATA CENTRE'], ...answer.entries.map((item) => [item.address, item.dataCentre])],
      value: answer.entries,
    });
  } catch {
    const remedy = 'Check the address; `kumquatfront status` lists the entries.';
    return kumquatfront.results.Err(
      kumquatfront.failures.create('unreachable', `${entry} does not answer.`, remedy),
    );
  }
}

/**
 * `drain ENTRY`
 *
 * @param context - client and output
 * @param entry - name of the entry
 * @returns word that the entry drains
 * @example
 * ```ts
 * await commands.drain(context, 'entry-3');
 * ```
 */
export async function drain(context: CommandContext, entry: string): CommandResult {
  const result = await context.client.drain(entry);
  return result.map((value) => ({
    rows: [
      ['ENTRY', 'ACTION'],
      [entry, 'drains'],
    ],
    value,
  }));
}

/**
 * `order UPSTREAM ACTION TARGET`
 *
 * @param context - client and output
 * @param upstream - who gets the order
 * @param action - what to do
 * @param target - model, adapter or role
 * @returns the order with its fencing number
 * @example
 * ```ts
 * await commands.order(context, 'ledger-llm-1', 'loadModel', 'ledger-8b@2');
 * ```
 */
export async function order(
  context: CommandContext,
  upstream: string,
  action: string,
  target: string,
): CommandResult {
  const orderId = kumquatfront.seededRandom.createUnpredictable().identity();
  const result = await context.client.order({ orderId, upstream, action, target });
  return result.map((value) => {
    const { fencingNumber } = value as kumquatfront.agreedTypes.Order;
    return {
      rows: [
        ['ORDER', 'UPSTREAM', 'FENCING NUMBER'],
        [orderId, upstream, String(fencingNumber)],
      ],
      value,
    };
  });
}

/**
 * `report burn [--html FILE]`
 *
 * @param context - client and output
 * @param html - where to write the page with plots
 * @returns the burn of every objective
 * @example
 * ```ts
 * await commands.burn(context, 'burn.html');
 * ```
 */
export async function burn(context: CommandContext, html: string | undefined): CommandResult {
  const objectives = await context.client.get('objective');
  if (objectives.err) {
    return objectives;
  }
  const counts = await context.client.burn();
  if (counts.err) {
    return counts;
  }
  const report = burnReport.create(objectives.val, counts.val, kumquatfront.systemTime.clock.wall());
  if (html !== undefined) {
    fs.writeFileSync(html, burnPage.render(report));
  }
  return kumquatfront.results.Ok({ rows: burnReport.rows(report), value: report });
}

/**
 * `check settings FILE`
 *
 * @param file - a settings file
 * @returns word that it is sound
 * @example
 * ```ts
 * commands.checkSettings('entry-1.json');
 * ```
 */
export function checkSettings(
  file: string,
): kumquatfront.results.Result<Shown, kumquatfront.failures.Failure> {
  return readFile(file).andThen((text) => {
    const { readEntry, readControl } = kumquatfront.settingsLoader;
    const isControl = text.includes('"control":') && !text.includes('"entry":');
    const checked = isControl
      ? readControl(text, file).map(() => 'control')
      : readEntry(text, file).map(() => 'entry');
    return checked.map((role) => ({ rows: [[`${file}: sound settings of ${role}`]], value: { file, role } }));
  });
}

/**
 * `check configuration FILE`
 *
 * @param file - a configuration file
 * @returns word that it is sound
 * @example
 * ```ts
 * commands.checkConfiguration('market.json');
 * ```
 */
export function checkConfiguration(
  file: string,
): kumquatfront.results.Result<Shown, kumquatfront.failures.Failure> {
  return readFile(file)
    .andThen(applyFile.parse)
    .map((drafts) => ({
      rows: [[`${file}: ${drafts.length} sound objects`]],
      value: { file, objects: drafts.length },
    }));
}

/**
 * `hash KEY`
 *
 * @param key - a bearer key
 * @returns its hash
 * @example
 * ```ts
 * commands.hash('school-1-key');
 * ```
 */
export function hash(key: string): kumquatfront.results.Result<Shown, kumquatfront.failures.Failure> {
  const value = kumquatfront.trafficResolver.hashKey(key);
  return kumquatfront.results.Ok({ rows: [[value]], value: { hash: value } });
}
