/**
 * Operator tasks, with the command line and the daemons as real processes.
 */
import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as test from 'node:test';

import * as kumquatfront from 'kumquatfront';

import * as cluster from './cluster.js';
import * as configuring from './configuring.js';
import * as deployments from './deployments.js';

const WORKSPACE = new URL('../../../', import.meta.url).pathname;
const COMMAND_FILE = new URL(import.meta.resolve('kumquatfront-command/main')).pathname;
const TOKENS = 300;

interface CommandRun {
  readonly status: number | null;
  readonly output: string;
  readonly errors: string;
}

function runCommand(running: cluster.Cluster | undefined, ...words: readonly string[]): Promise<CommandRun> {
  const environment = {
    ...process.env,
    KUMQUATFRONT_CONTROL: running?.operatorAddresses.join(',') ?? '',
    KUMQUATFRONT_OPERATOR_KEY: cluster.keys.operator,
  };
  return new Promise((resolve) => {
    const child = childProcess.execFile(
      process.execPath,
      [COMMAND_FILE, ...words],
      { env: environment },
      (_error, stdout, stderr) => {
        resolve({ status: child.exitCode, output: stdout, errors: stderr });
      },
    );
  });
}

async function withDeployment(
  runTest: (running: cluster.Cluster, folder: string) => Promise<void>,
): Promise<void> {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'kumquatfront-'));
  const running = await cluster.start(deployments.tuckshop, folder);
  try {
    await configuring.apply(running, path.join(WORKSPACE, deployments.tuckshop.configurationFile));
    await runTest(running, folder);
  } finally {
    await running.stop();
    fs.rmSync(folder, { recursive: true, force: true });
  }
}

void test.test('a market is added from a file: checked, compared, applied, in force', async () => {
  await withDeployment(async (running, folder) => {
    const file = path.join(folder, 'market.json');
    const body = { labels: { region: 'north' } };
    fs.writeFileSync(file, JSON.stringify({ objects: [{ kind: 'market', name: 'wa-geraldton', body }] }));
    assert.equal((await runCommand(undefined, 'check', 'configuration', file)).status, 0);
    assert.equal((await runCommand(running, 'diff', '-f', file)).status, 1);
    const applied = await runCommand(running, 'apply', '-f', file, '-o', 'json');
    assert.equal(applied.status, 0, applied.errors);
    const [{ action }] = JSON.parse(applied.output) as [{ action: string }];
    assert.equal(action, 'created');
    assert.equal((await runCommand(running, 'diff', '-f', file)).status, 0);
    assert.match((await runCommand(running, 'get', 'market', 'wa-geraldton')).output, /north/);
    assert.match((await runCommand(running, 'status')).output, /in force at \d of 4 entries/);
    assert.match((await runCommand(running, 'accounts')).output, /^no client account uses/);
    assert.equal((await runCommand(running, 'delete', 'market', 'wa-geraldton')).status, 0);
    const refused = await runCommand(running, 'delete', 'market', 'wa-perth');
    assert.equal(refused.status, 1);
    assert.match(refused.errors, /still refers to market\/wa-perth.*Delete or change that one first/);
    const page = path.join(folder, 'burn.html');
    assert.equal((await runCommand(running, 'report', 'burn', '--html', page)).status, 0);
    assert.match(fs.readFileSync(page, 'utf8'), /<svg/);
  });
});

// Guards against interrupted streams when an entry is drained: the answer must complete over the same connection and
// the process must exit with status 0.
void test.test('draining a real entry cuts off no request in flight', async () => {
  await withDeployment(async (running) => {
    const [entry] = running.entries;
    const [address = ''] = running.entryAddresses;
    assert.ok(entry);
    const exited = new Promise((resolve) => entry.child.once('exit', resolve));
    const client = new kumquatfront.callerClient.CallerClient(
      {
        entries: [address],
        key: 'demo-key-school-large',
        labels: 'traffic=report',
        idleTimeout: 20_000,
        deadline: 60_000,
        allowRestart: false,
      },
      kumquatfront.systemTime,
    );
    let received = 0;
    let drained: Promise<CommandRun> | undefined;
    const body = { model: 'ledger-8b', prompt: 'Reconcile.', stand_in_output_tokens: TOKENS };
    const result = await client.streamAt(address, '/v1/completions', body, {
      onToken: () => {
        received += 1;
        drained ??= runCommand(running, 'drain', entry.name);
      },
      onRestart: () => {
        received = 0;
      },
    });
    assert.equal((await drained)?.status, 0);
    assert.ok(result.ok);
    assert.deepEqual({ received, reconnects: result.val.reconnects }, { received: TOKENS, reconnects: 0 });
    assert.equal(await exited, 0);
    await client.close();
  });
});

void test.test('invalid settings are reported with a remedy', async () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'kumquatfront-'));
  const file = path.join(folder, 'entry.json');
  fs.writeFileSync(file, JSON.stringify({ entry: { name: 'entry-1', colour: 'red' } }));
  const run = await runCommand(undefined, 'check', 'settings', file);
  assert.equal(run.status, 1);
  assert.match(run.errors, /Add the key|Remove the key/);
  const valid = await runCommand(
    undefined,
    'check',
    'settings',
    path.join(WORKSPACE, 'examples/tuckshopLedger/entry-1.json'),
  );
  assert.equal(valid.status, 0, valid.errors);
  fs.rmSync(folder, { recursive: true });
});

void test.test('a data centre is evacuated and restored by name, and the status shows it', async () => {
  await withDeployment(async (running) => {
    const refused = await runCommand(running, 'evacuate', 'nowhere');
    assert.notEqual(refused.status, 0);
    assert.match(refused.errors, /There is no data centre "nowhere".*Name one of: /s);
    const [, known = ''] = /Name one of: ([^,.\s]+)/.exec(refused.errors) ?? [];
    assert.equal((await runCommand(running, 'evacuate', known)).status, 0);
    const again = await runCommand(running, 'evacuate', known);
    assert.equal(again.status, 0);
    const status = await runCommand(running, 'status');
    assert.match(status.output, new RegExp(`EVACUATED.*${known}`, 's'));
    const restored = await runCommand(running, 'restore', known);
    assert.match(restored.output, /no data centre is evacuated/);
  });
});
