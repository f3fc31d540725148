/**
 * File system disk: behaviour on a full disk and atomic replacement of files.
 */
import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as test from 'node:test';

import * as fileDisk from './fileDisk.js';

const FULL_DEVICE = '/dev/full';

// A write to a full disk must be retried without exiting the process, and a failed write must not leave a partial
// record, which would corrupt the log.
void test.test('a write that fails on a full disk succeeds once there is free space', async (context) => {
  if (!fs.existsSync(FULL_DEVICE)) {
    context.diagnostic('skipped: this system has no /dev/full');
    return;
  }
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'kumquatfront-disk-'));
  const log = path.join(folder, 'log');
  fs.symlinkSync(FULL_DEVICE, log);
  const failures: unknown[] = [];
  let reportFull: (file: string) => void = () => undefined;
  const full = new Promise<string>((resolve) => {
    reportFull = resolve;
  });
  const disk = fileDisk.open(
    folder,
    (error) => failures.push(error),
    (file) => {
      reportFull(file);
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

void test.test('a replaced file is complete, and later appends follow its new content', async () => {
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
