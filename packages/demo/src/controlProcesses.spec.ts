/**
 * Control replicas as real processes with files on disk: killed, paused and restarted with empty data folders.
 */
import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as test from 'node:test';

import * as kumquatfront from 'kumquatfront';
import * as command from 'kumquatfront-command';

import * as cluster from './cluster.js';
import * as deployments from './deployments.js';

const VOTERS = 3;
const WAIT_TIMEOUT = 60_000;
const POLL_INTERVAL = 200;
const CHANGES = 40;
const KILL_AFTER = 10;

const { clock, scheduler } = kumquatfront.systemTime;

/** Running control replicas with an operator client. */
class ControlTestHarness {
  readonly running: cluster.Cluster;
  readonly client: command.operatorClient.OperatorClient;
  private changes = 0;

  constructor(running: cluster.Cluster) {
    this.running = running;
    this.client = new command.operatorClient.OperatorClient({
      control: running.operatorAddresses,
      key: cluster.keys.operator,
      random: kumquatfront.seededRandom.createUnpredictable(),
      time: kumquatfront.systemTime,
    });
  }

  /** Polls the status until a condition holds. */
  async waitUntil(
    description: string,
    condition: (status: command.operatorClient.SystemStatus) => boolean,
  ): Promise<command.operatorClient.SystemStatus> {
    const endsAt = clock.now() + WAIT_TIMEOUT;
    while (clock.now() < endsAt) {
      const status = await this.client.status();
      if (status.ok && condition(status.val)) {
        return status.val;
      }
      await new Promise<void>((resolve) => {
        scheduler.after(POLL_INTERVAL, resolve);
      });
    }
    const last = await this.client.status();
    throw new Error(`Timed out waiting for: ${description}. Last status: ${JSON.stringify(last.val)}`);
  }

  /**
   * Waits for three running voters with equal state. Voters are compared by identity: until the repair is complete, the
   * lost identity is still listed as a voter.
   */
  async waitForEqualVoters(): Promise<command.operatorClient.SystemStatus> {
    return this.waitUntil('three running voters with equal state', ({ replicas }) => {
      const leader = replicas.find(({ replica }) => replica.role === 'leader' && replica.fresh);
      const members = leader?.replica.members ?? [];
      const voters = new Set(
        members.filter((member) => member.role === 'voter').map((member) => member.identity),
      );
      const digests = new Set(replicas.map((replica) => replica.digest));
      const running = replicas.filter(({ replica }) => voters.has(replica.identity)).length;
      return running === VOTERS && members.length === VOTERS && digests.size === 1;
    });
  }

  leaderOf(status: command.operatorClient.SystemStatus): cluster.Member {
    const name = status.replicas.find(({ replica }) => replica.role === 'leader')?.name;
    const leader = this.running.control.find((member) => member.name === name);
    assert.ok(leader);
    return leader;
  }

  /** Puts a new market; returns its name if the change was accepted. */
  async putMarket(): Promise<string | undefined> {
    this.changes += 1;
    const name = `market-${this.changes}`;
    const result = await this.client.put({ kind: 'market', name, body: { labels: { region: name } } }, 0);
    return result.ok ? name : undefined;
  }

  async assertPresent(names: readonly string[]): Promise<void> {
    const markets = (await this.client.get('market')).unwrap();
    const present = new Set(markets.map((market) => market.name));
    const lost = names.filter((name) => !present.has(name));
    assert.deepEqual(lost, []);
  }
}

async function withControl(runTest: (harness: ControlTestHarness) => Promise<void>): Promise<void> {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'kumquatfront-'));
  const none = { pool: 'none', count: 0 };
  const running = await cluster.start({ ...deployments.tuckshop, engines: none, services: none }, folder);
  const harness = new ControlTestHarness(running);
  try {
    await harness.waitForEqualVoters();
    await runTest(harness);
  } finally {
    await harness.client.close();
    await running.stop();
    fs.rmSync(folder, { recursive: true, force: true });
  }
}

async function kill(member: cluster.Member): Promise<void> {
  const exited = new Promise((resolve) => member.child.once('exit', resolve));
  member.child.kill('SIGKILL');
  await exited;
}

// Guards against the loss of accepted changes when the leader is killed during writes and restarted on its data folder.
void test.test('kill -9 of the leader during changes loses nothing that was accepted', async () => {
  await withControl(async (harness) => {
    const accepted: string[] = [];
    for (let count = 0; count < CHANGES; count += 1) {
      if (count === KILL_AFTER) {
        const leader = harness.leaderOf((await harness.client.status()).unwrap());
        await kill(leader);
        harness.running.restart(leader.name);
      }
      const name = await harness.putMarket();
      if (name !== undefined) {
        accepted.push(name);
      }
    }
    await harness.waitForEqualVoters();
    await harness.assertPresent(accepted);
    assert.ok(accepted.length > KILL_AFTER);
  });
});

// Guards against the loss of accepted changes when two control VMs lose their data folders one after the other and
// rejoin under new identities.
void test.test('replicas are repaired after two data folders are emptied one after the other', async () => {
  await withControl(async (harness) => {
    const accepted = [await harness.putMarket()];
    for (const name of ['control-1', 'control-2']) {
      const member = harness.running.control.find((candidate) => candidate.name === name);
      assert.ok(member);
      await kill(member);
      fs.rmSync(harness.running.dataFolder(name), { recursive: true });
      harness.running.restart(name);
      await harness.waitForEqualVoters();
      accepted.push(await harness.putMarket());
    }
    await harness.assertPresent(accepted.map((name) => name ?? 'was refused'));
  });
});

// Guards against two leaders and lost changes when a paused leader, like that of a paused VM, resumes after another
// replica was elected.
void test.test('a paused leader resumes as a follower', async () => {
  await withControl(async (harness) => {
    const leader = harness.leaderOf(await harness.waitForEqualVoters());
    leader.child.kill('SIGSTOP');
    await harness.waitUntil('another replica leads', ({ replicas }) =>
      replicas.some(
        ({ name, replica }) => name !== leader.name && replica.role === 'leader' && replica.fresh,
      ),
    );
    const name = await harness.putMarket();
    leader.child.kill('SIGCONT');
    const status = await harness.waitForEqualVoters();
    assert.equal(status.replicas.filter(({ replica }) => replica.role === 'leader').length, 1);
    await harness.assertPresent([name ?? 'was refused']);
  });
});
