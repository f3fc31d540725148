/**
 * Commands that inspect and control the running system.
 */
import * as fs from 'node:fs';

import * as kumquatfront from 'kumquatfront';
import * as undici from 'undici';

import * as burnPage from './burnPage.js';
import * as burnReport from './burnReport.js';
import * as commandRunner from './commandRunner.js';
import type * as operatorClient from './operatorClient.js';

/** Time for an entry to publish its addresses. */
const ADDRESSES_TIMEOUT = 5_000;

/**
 * `status`: shows control replicas, entries, and how many entries have the accepted configuration version in force.
 *
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

/** Voting state of a replica as the leader reports it. A replica with an emptied data folder gets a new identity. */
function voteLabel(system: operatorClient.SystemStatus, identity: string): string {
  const leader = system.replicas.find(({ replica }) => replica.role === 'leader');
  const member = leader?.replica.members.find((candidate) => candidate.identity === identity);
  return member?.role === 'voter' ? 'yes' : (member?.role ?? 'no');
}

/** Evacuations with the highest revision that any replica reports. */
function latestEvacuations(system: operatorClient.SystemStatus): kumquatfront.agreedTypes.Evacuations {
  const reported = system.replicas.map((replica) => replica.evacuations);
  return reported.reduce((newest, other) => (other.revision > newest.revision ? other : newest), {
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

/** Warning if control could not survive the loss of one of its data centres, as the leader reports it. */
function dataCentreLossRows(system: operatorClient.SystemStatus): readonly (readonly string[])[] {
  const leader = system.replicas.find(({ replica }) => replica.role === 'leader');
  const tolerates = leader?.toleratesDataCentreLoss ?? true;
  return tolerates
    ? []
    : [['control may not survive the loss of a data centre: spread its VMs across data centres']];
}

function statusRows(system: operatorClient.SystemStatus): readonly (readonly string[])[] {
  const acceptedVersion = Math.max(0, ...system.replicas.map((replica) => replica.configurationVersion));
  const entries = new Map(
    system.replicas.flatMap((replica) => replica.entries.map((entry) => [entry.name, entry])),
  );
  const upToDateEntries = [...entries.values()].filter(
    (entry) => entry.configurationVersion >= acceptedVersion,
  ).length;
  return [
    ['CONTROL', 'ROLE', 'VOTES', 'TERM', 'APPLIED', 'FRESH', 'STATE'],
    ...system.replicas.map((replica) => [
      replica.name,
      replica.replica.role,
      voteLabel(system, replica.replica.identity),
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
    ...dataCentreLossRows(system),
    [`accepted: version ${acceptedVersion}; in force at ${upToDateEntries} of ${entries.size} entries`],
  ];
}

/**
 * `watch`: prints the status at a fixed interval.
 *
 * @param interval - milliseconds between two status requests
 * @returns the failure of the first status request that fails
 * @example
 * ```ts
 * await systemCommands.watch(context, 2000);
 * ```
 */
export async function watch(
  context: commandRunner.CommandContext,
  interval: number,
): commandRunner.CommandResult {
  for (;;) {
    const result = await status(context);
    if (result.err) {
      return result;
    }
    commandRunner.print(result.val, context.output);
    await new Promise<void>((resolve) => {
      kumquatfront.systemTime.scheduler.after(interval, resolve);
    });
  }
}

/**
 * `addresses --entry URL`: shows the addresses that an entry publishes to callers.
 *
 * @param entry - URL of any entry
 * @returns the published addresses
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
    const response = await undici.request(`${entry}/v1/entries`, {
      signal: AbortSignal.timeout(ADDRESSES_TIMEOUT),
    });
    const answer = JSON.parse(await kumquatfront.responseBody.readText(response.body)) as {
      entries: readonly { address: string; dataCentre: string }[];
    };
    return kumquatfront.results.Ok({
      rows: [['ADDRESS', 'DATA CENTRE'], ...answer.entries.map((item) => [item.address, item.dataCentre])],
      value: answer.entries,
    });
  } catch (error: unknown) {
    const remedy = 'Check the address; `kumquatfront status` lists the entries.';
    return kumquatfront.results.Err(
      error instanceof kumquatfront.responseBody.TooLargeError
        ? kumquatfront.failures.create('tooLarge', `Entry ${entry}: ${error.message}.`, remedy)
        : kumquatfront.failures.create('unreachable', `Entry ${entry} did not respond.`, remedy),
    );
  }
}

/**
 * `drain ENTRY`: requests that an entry drains and stops.
 *
 * @param entry - name of the entry
 * @returns confirmation that the entry drains
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
 * `evacuate DATACENTRE`, `restore DATACENTRE`: stops or resumes new work for the upstreams of a data centre.
 *
 * @param type - `evacuate` or `restore`
 * @returns the data centres that are evacuated after the command
 * @example
 * ```ts
 * await systemCommands.changeEvacuation(context, 'evacuate', 'perth-a');
 * ```
 */
export async function changeEvacuation(
  context: commandRunner.CommandContext,
  type: kumquatfront.agreedTypes.DataCentreCommand['type'],
  dataCentre: string,
): commandRunner.CommandResult {
  const result = await context.client.sendDataCentreCommand({ type, dataCentre });
  return result.map((value) => {
    const rows = evacuationRows(value);
    return { rows: rows.length > 0 ? rows : [['no data centre is evacuated']], value };
  });
}

/**
 * `order UPSTREAM ACTION TARGET`: orders an upstream to load a model or an adapter, or to change its role.
 *
 * @param action - `loadModel`, `loadAdapter` or `changeRole`
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
  const result = await context.client.submitOrder({ orderId, upstream, action, target });
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
 * `report burn [--html FILE]`: shows how fast the error budgets burn.
 *
 * @param html - path of an HTML page with plots to write, if any
 * @returns the burn rates of every objective
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
  const counts = await context.client.readBurnCounts();
  if (counts.err) {
    return counts;
  }
  const report = burnReport.create(objectives.val, counts.val, kumquatfront.systemTime.clock.wall());
  if (html !== undefined) {
    fs.writeFileSync(html, burnPage.render(report));
  }
  return kumquatfront.results.Ok({ rows: burnReport.rows(report), value: report });
}
