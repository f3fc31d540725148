/**
 * Commands on the running system.
 */
import * as fs from 'node:fs';

import * as kumquatfront from 'kumquatfront';
import * as undici from 'undici';

import * as burnPage from './burnPage.js';
import * as burnReport from './burnReport.js';
import * as commandRunner from './commandRunner.js';
import type * as operatorClient from './operatorClient.js';

/**
 * `status`: control replicas, entries, and at how many of them the accepted version is in force.
 *
 * @param context - client and output
 * @returns the status
 * @example
 * ```ts
 * await systemCommands.status(context);
 * ```
 */
export async function status(context: commandRunner.CommandContext): commandRunner.CommandResult {
  const found = await context.client.status();
  return found.map((system) => ({ rows: statusRows(system), value: system }));
}

/** Whether a replica votes under its present identity, by the word of the leader; a new folder is a new identity. */
function voteOf(system: operatorClient.SystemStatus, identity: string): string {
  const leader = system.replicas.find(({ replica }) => replica.role === 'leader');
  const member = leader?.replica.members.find((candidate) => candidate.identity === identity);
  return member?.role === 'voter' ? 'yes' : (member?.role ?? 'no');
}

/** The newest that any replica knows. */
function latestEvacuations(system: operatorClient.SystemStatus): kumquatfront.agreedTypes.Evacuations {
  const known = system.replicas.map((replica) => replica.evacuations);
  return known.reduce((newest, other) => (other.revision > newest.revision ? other : newest), {
    revision: 0,
    dataCentres: [],
  });
}

function evacuationRows({
  dataCentres,
  revision,
}: kumquatfront.agreedTypes.Evacuations): readonly (readonly string[])[] {
  return dataCentres.length === 0
    ? []
    : [
        ['EVACUATED', 'SINCE', 'REVISION'],
        ...dataCentres.map(({ dataCentre, since }) => [
          dataCentre,
          new Date(since).toISOString(),
          String(revision),
        ]),
        [''],
      ];
}

/** A warning where one data centre holds too many of the voters, by the word of the leader. */
function spreadRows(system: operatorClient.SystemStatus): readonly (readonly string[])[] {
  const leader = system.replicas.find(({ replica }) => replica.role === 'leader');
  const tolerates = leader?.toleratesDataCentreLoss ?? true;
  return tolerates ? [] : [['control does not outlive the loss of any one data centre: spread its VMs']];
}

function statusRows(system: operatorClient.SystemStatus): readonly (readonly string[])[] {
  const accepted = Math.max(0, ...system.replicas.map((replica) => replica.configurationVersion));
  const entries = new Map(
    system.replicas.flatMap((replica) => replica.entries.map((entry) => [entry.name, entry])),
  );
  const inForce = [...entries.values()].filter((entry) => entry.configurationVersion >= accepted).length;
  return [
    ['CONTROL', 'ROLE', 'VOTES', 'TERM', 'APPLIED', 'FRESH', 'STATE'],
    ...system.replicas.map((replica) => [
      replica.name,
      replica.replica.role,
      voteOf(system, replica.replica.identity),
      String(replica.replica.term),
      String(replica.replica.appliedIndex),
      replica.replica.fresh ? 'yes' : 'no',
      replica.digest.slice(0, 12),
    ]),
    ...system.silent.map((address) => [address, 'silent', '', '', '', '', '']),
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
    ...evacuationRows(latestEvacuations(system)),
    ...spreadRows(system),
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
 * await systemCommands.watch(context, 2000);
 * ```
 */
export async function watch(
  context: commandRunner.CommandContext,
  every: number,
): commandRunner.CommandResult {
  for (;;) {
    const shown = await status(context);
    if (shown.err) {
      return shown;
    }
    commandRunner.print(shown.val, context.output);
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
 * await systemCommands.addresses(context, 'http://10.0.0.5:8080');
 * ```
 */
export async function addresses(
  _context: commandRunner.CommandContext,
  entry: string,
): commandRunner.CommandResult {
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
 * await systemCommands.drain(context, 'entry-3');
 * ```
 */
export async function drain(
  context: commandRunner.CommandContext,
  entry: string,
): commandRunner.CommandResult {
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
 * `evacuate DATACENTRE`, `restore DATACENTRE`
 *
 * @param context - client and output
 * @param type - which of the two
 * @param dataCentre - name of the data centre
 * @returns the data centres that are evacuated afterwards
 * @example
 * ```ts
 * await systemCommands.orderDataCentre(context, 'evacuate', 'perth-a');
 * ```
 */
export async function orderDataCentre(
  context: commandRunner.CommandContext,
  type: kumquatfront.agreedTypes.DataCentreCommand['type'],
  dataCentre: string,
): commandRunner.CommandResult {
  const result = await context.client.orderDataCentre({ type, dataCentre });
  return result.map((value) => {
    const rows = evacuationRows(value);
    return { rows: rows.length > 0 ? rows : [['no data centre is evacuated']], value };
  });
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
 * await systemCommands.order(context, 'ledger-llm-1', 'loadModel', 'ledger-8b@2');
 * ```
 */
export async function order(
  context: commandRunner.CommandContext,
  upstream: string,
  action: string,
  target: string,
): commandRunner.CommandResult {
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
 * await systemCommands.burn(context, 'burn.html');
 * ```
 */
export async function burn(
  context: commandRunner.CommandContext,
  html: string | undefined,
): commandRunner.CommandResult {
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
