/**
 * Applies a configuration file to a running deployment and waits until it is in force at all entries.
 */
import * as fs from 'node:fs';

import * as kumquatfront from 'kumquatfront';
import * as command from 'kumquatfront-command';

import * as cluster from './cluster.js';

const LEADER_TIMEOUT = 60_000;
const IN_FORCE_TIMEOUT = 60_000;
const POLL_INTERVAL = 200;

/** Failures that state that nothing was changed, because no replica leads. */
const LEADERLESS: readonly kumquatfront.failures.FailureKind[] = ['notLeader', 'noQuorum'];

/** Result of applying a configuration file. */
export interface AppliedConfiguration {
  readonly objects: number;
  readonly version: number;
  readonly entriesInForce: number;
}

/** Waits until a leader answers, at most `LEADER_TIMEOUT`. */
async function waitForLeader(client: command.operatorClient.OperatorClient): Promise<void> {
  const endsAt = kumquatfront.systemTime.clock.now() + LEADER_TIMEOUT;
  while (kumquatfront.systemTime.clock.now() < endsAt) {
    const status = await client.status();
    if (status.ok && status.val.replicas.some(({ replica }) => replica.role === 'leader' && replica.fresh)) {
      return;
    }
  }
}

/** Applies drafts, again while control has lost its leader; objects that are applied already stay as they are. */
async function applyWithLeader(
  client: command.operatorClient.OperatorClient,
  drafts: readonly kumquatfront.configurationTypes.ConfigurationDraft[],
): ReturnType<typeof command.applyFile.apply> {
  const { clock } = kumquatfront.systemTime;
  const endsAt = clock.now() + LEADER_TIMEOUT;
  let applied = await command.applyFile.apply(client, drafts);
  while (applied.err && LEADERLESS.includes(applied.val.kind) && clock.now() < endsAt) {
    applied = await command.applyFile.apply(client, drafts);
  }
  return applied;
}

async function waitUntilInForce(
  client: command.operatorClient.OperatorClient,
  version: number,
  entryCount: number,
): Promise<number> {
  const { clock, scheduler } = kumquatfront.systemTime;
  const endsAt = clock.now() + IN_FORCE_TIMEOUT;
  let count = 0;
  while (count < entryCount && clock.now() < endsAt) {
    const status = await client.status();
    const entries = status.ok ? status.val.replicas.flatMap((replica) => replica.entries) : [];
    const inForce = entries.filter((entry) => entry.configurationVersion >= version);
    count = new Set(inForce.map((entry) => entry.name)).size;
    await new Promise<void>((resolve) => {
      scheduler.after(POLL_INTERVAL, resolve);
    });
  }
  return count;
}

/**
 * Applies a configuration file.
 *
 * @param file - path of the configuration file
 * @returns the number of objects, their version and the number of entries where it is in force
 * @example
 * ```ts
 * await configuring.apply(running, 'examples/lankaroute/configuration.json');
 * ```
 */
export async function apply(
  running: Pick<cluster.Cluster, 'operatorAddresses' | 'entries'>,
  file: string,
): Promise<AppliedConfiguration> {
  const client = new command.operatorClient.OperatorClient({
    control: running.operatorAddresses,
    key: cluster.keys.operator,
    random: kumquatfront.seededRandom.createUnpredictable(),
    time: kumquatfront.systemTime,
  });
  await waitForLeader(client);
  const drafts = command.applyFile.parse(fs.readFileSync(file, 'utf8')).unwrap();
  const applied = await applyWithLeader(client, drafts);
  if (applied.err) {
    throw new kumquatfront.failures.FailureError(applied.val);
  }
  const version = Math.max(...applied.val.map((object) => object.version));
  const entriesInForce = await waitUntilInForce(client, version, running.entries.length);
  await client.close();
  return { objects: applied.val.length, version, entriesInForce };
}
