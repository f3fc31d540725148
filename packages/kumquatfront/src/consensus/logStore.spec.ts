/**
 * State of the data folder after a crash at any point of a sequence of writes.
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

/** A disk that records its operations, so that a crash after any of them can be simulated. */
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

  /** The folder as a crash after the first `count` operations leaves it. */
  afterCrash(count: number): CrashDisk {
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

// A follower with overwritten entries installs the new leader's snapshot and crashes on the way. The overwritten
// entries must not be replayed on top of the snapshot.
void test.test('no overwritten entry follows an installed snapshot, whenever the crash occurs', () => {
  const disk = new CrashDisk();
  const store = storeWith(disk, 8, 1);
  const before = disk.operations.length;
  store.installSnapshot(snapshotAt(5, 3), () => undefined);
  assert.ok(disk.operations.length >= before + 3);
  for (let count = before; count <= disk.operations.length; count += 1) {
    const reopened = open(disk.afterCrash(count));
    const installed = reopened.snapshot.index === 5;
    assert.equal(reopened.lastIndex > 5 && installed, false, `after ${count - before} operations`);
    assert.equal(reopened.hardState.votedFor, 'b');
  }
});

// A crash while a replica takes its own snapshot must not lose the term, the vote or an entry.
void test.test('compaction loses nothing, whenever the crash occurs', () => {
  const disk = new CrashDisk();
  const store = storeWith(disk, 8, 2);
  const before = disk.operations.length;
  store.compact(snapshotAt(5, 2));
  for (let count = before; count <= disk.operations.length; count += 1) {
    const reopened = open(disk.afterCrash(count));
    assert.equal(reopened.lastIndex, 8);
    assert.equal(reopened.entryAt(8)?.term, 2);
    assert.equal(reopened.hardState.votedFor, 'b');
  }
});

void test.test('overwritten entries stay overwritten after a restart', () => {
  const disk = new CrashDisk();
  const store = storeWith(disk, 4, 1);
  store.truncateFrom(3);
  store.append(entry(3, 2));
  const reopened = open(disk.afterCrash(disk.operations.length));
  assert.deepEqual([reopened.lastIndex, reopened.termAt(2), reopened.termAt(3)], [3, 1, 2]);
});

void test.test('a folder with a log but no identity is rejected', () => {
  const disk = new CrashDisk();
  disk.append('log', new Uint8Array());
  assert.ok(logStore.LogStore.open(disk, random).err);
});
