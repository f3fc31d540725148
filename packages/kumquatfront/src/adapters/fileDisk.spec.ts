/**
 * The data folder on a real disk that fills up.
 */
import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as test from 'node:test';

import * as fileDisk from './fileDisk.js';

const FULL_DEVICE = '/dev/full';

// The disk is full for a while. Ended and started again, the process would only be full once more, each time
// away from its peers for a second; and half a record left by the failed write would read as a damaged log.
void test.test('a write that finds the disk full is made once there is room', async (context) => {
  if (!fs.existsSync(FULL_DEVICE)) {
    context.diagnostic('this system has no device that is always full');
    return;
  }
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'kumquatfront-disk-'));
  const log = path.join(folder, 'log');
  fs.symlinkSync(FULL_DEVICE, log);
  const failures: unknown[] = [];
  let foundFull: (file: string) => void = () => undefined;
  const full = new Promise<string>((resolve) => {
    foundFull = resolve;
  });
  const disk = fileDisk.open(
    folder,
    (error) => failures.push(error),
    (file) => {
      foundFull(file);
    },
  );
  const synced = new Promise<void>((resolve) => {
    disk.append('log', Buffer.from('record'));
    disk.sync('log', resolve);
  });
  assert.equal(await full, 'log');
  fs.rmSync(log);
  await synced;
  assert.equal(fs.readFileSync(log, 'utf8'), 'record');
  assert.deepEqual(failures, []);
  fs.rmSync(folder, { recursive: true });
});

void test.test('a replaced file is whole, and later appends go behind it', async () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'kumquatfront-disk-'));
  const disk = fileDisk.open(folder, (error) => {
    throw error as Error;
  });
  await new Promise<void>((resolve) => {
    disk.append('log', Buffer.from('old'));
    disk.replace('log', Buffer.from('new '), () => undefined);
    disk.append('log', Buffer.from('more'));
    disk.sync('log', resolve);
  });
  assert.equal(Buffer.from(disk.read('log') ?? []).toString(), 'new more');
  fs.rmSync(folder, { recursive: true });
});
