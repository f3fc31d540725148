/**
 * The data folder at every point at which a crash can come.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as ports from '../kernel/ports.js';
import * as logStore from './logStore.js';
import type * as types from './types.js';

interface Operation {
  readonly file: string;
  readonly bytes: Uint8Array;
  readonly replaces: boolean;
}

/** A disk that keeps its operations in order, so that a crash can come after any of them. */
class CrashDisk implements ports.Disk {
  readonly operations: Operation[] = [];
  private readonly files = new Map<string, Uint8Array>();

  read(file: string): Uint8Array | undefined {
    return this.files.get(file);
  }

  append(file: string, bytes: Uint8Array): void {
    this.perform({ file, bytes, replaces: false });
  }

  sync(_file: string, done: () => void): void {
    done();
  }

  replace(file: string, bytes: Uint8Array, done: () => void): void {
    this.perform({ file, bytes, replaces: true });
    done();
  }

  private perform(operation: Operation): void {
    const { file, bytes, replaces } = operation;
    this.operations.push(operation);
    const before = replaces ? new Uint8Array() : (this.files.get(file) ?? new Uint8Array());
    this.files.set(file, Buffer.concat([before, bytes]));
  }

  /** The folder as a crash after so many operations leaves it. */
  after(count: number): CrashDisk {
    const crashed = new CrashDisk();
    for (const operation of this.operations.slice(0, count)) {
      crashed.perform(operation);
    }
    return crashed;
  }
}

const random: ports.Random = { next: () => 0, identity: () => 'a' };

function open(disk: ports.Disk): logStore.LogStore {
  return logStore.LogStore.open(disk, random).unwrap();
}

function entry(index: number, term: number): types.LogEntry {
  return { index, term, stamp: 0, payload: { type: 'command', command: `${index}/${term}` } };
}

function storeWith(disk: ports.Disk, count: number, term: number): logStore.LogStore {
  const store = open(disk);
  store.setHardState({ clusterIdentity: 'c', term, votedFor: 'b' });
  for (let index = 1; index <= count; index += 1) {
    store.append(entry(index, term));
  }
  return store;
}

function snapshotAt(index: number, term: number): types.Snapshot {
  return { index, term, stamp: 0, members: [], state: 'state' };
}

// A follower whose log was overwritten by a newer leader gets that leader's snapshot and crashes somewhere on the
// way. Whatever is on the disk, no entry of the overwritten past may stand behind the snapshot: the log would say
// that the old entry followed the new state.
void test.test('no overwritten entry stands behind an installed snapshot, wherever the crash comes', () => {
  const disk = new CrashDisk();
  const store = storeWith(disk, 8, 1);
  const before = disk.operations.length;
  store.install(snapshotAt(5, 3), () => undefined);
  assert.ok(disk.operations.length >= before + 3);
  for (let count = before; count <= disk.operations.length; count += 1) {
    const reopened = open(disk.after(count));
    const installed = reopened.snapshot.index === 5;
    assert.equal(reopened.lastIndex > 5 && installed, false, `after ${count - before} operations`);
    assert.equal(reopened.hardState.votedFor, 'b');
  }
});

// The same for a replica that takes its own snapshot: term, vote and every entry are there at each point.
void test.test('compaction loses nothing, wherever the crash comes', () => {
  const disk = new CrashDisk();
  const store = storeWith(disk, 8, 2);
  const before = disk.operations.length;
  store.compact(snapshotAt(5, 2));
  for (let count = before; count <= disk.operations.length; count += 1) {
    const reopened = open(disk.after(count));
    assert.equal(reopened.lastIndex, 8);
    assert.equal(reopened.entryAt(8)?.term, 2);
    assert.equal(reopened.hardState.votedFor, 'b');
  }
});

void test.test('an overwritten tail stays overwritten after a restart', () => {
  const disk = new CrashDisk();
  const store = storeWith(disk, 4, 1);
  store.truncateFrom(3);
  store.append(entry(3, 2));
  const reopened = open(disk.after(disk.operations.length));
  assert.deepEqual([reopened.lastIndex, reopened.termAt(2), reopened.termAt(3)], [3, 1, 2]);
});

void test.test('a folder with a log but no identity is refused', () => {
  const disk = new CrashDisk();
  disk.append('log', new Uint8Array());
  assert.ok(logStore.LogStore.open(disk, random).err);
});
