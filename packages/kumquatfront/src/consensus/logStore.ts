/**
 * The replicated log of one replica: in memory for reading, on disk for lasting. Callers learn through
 * `whenDurable` when everything written so far is synced; syncs are grouped, so one sync serves every
 * write that gathered while the former was under way.
 */
import * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import * as logFile from './logFile.js';
import type * as types from './types.js';

const LOG_FILE = 'log';
const SNAPSHOT_FILE = 'snapshot';
const IDENTITY_FILE = 'identity';

const EMPTY_HARD_STATE: types.HardState = { clusterIdentity: '', term: 0, votedFor: '' };
const EMPTY_SNAPSHOT: types.Snapshot = { index: 0, term: 0, stamp: 0, members: [], state: null };

function parseFile(bytes: Uint8Array): unknown {
  return JSON.parse(Buffer.from(bytes).toString('utf8'));
}

/** Log, snapshot, term and vote of one replica. */
export class LogStore {
  readonly identity: string;
  snapshot: types.Snapshot = EMPTY_SNAPSHOT;
  hardState: types.HardState = EMPTY_HARD_STATE;
  private entries: types.LogEntry[] = [];
  private readonly disk: ports.Disk;
  private syncing = false;
  private waiting: (() => void)[] = [];

  private constructor(disk: ports.Disk, identity: string) {
    this.disk = disk;
    this.identity = identity;
  }

  /**
   * Opens the data folder.
   *
   * An empty folder gets a new random identity: a replica whose disk was lost must not vote under its old
   * name, because the vote or entry it forgot may be what a quorum rests on.
   *
   * @param disk - the data folder
   * @param random - where the identity comes from
   * @returns the store, or a `corrupt` failure
   * @example
   * ```ts
   * const opened = logStore.LogStore.open(ports.disk, ports.random);
   * ```
   */
  static open(disk: ports.Disk, random: ports.Random): results.Result<LogStore, failures.Failure> {
    const identityBytes = disk.read(IDENTITY_FILE);
    const logBytes = disk.read(LOG_FILE);
    const snapshotBytes = disk.read(SNAPSHOT_FILE);
    if (identityBytes === undefined && (logBytes !== undefined || snapshotBytes !== undefined)) {
      return results.Err(
        failures.create(
          'corrupt',
          'The data folder holds a log but no identity.',
          'Empty the data folder and restart: the replica joins again under a new identity.',
        ),
      );
    }
    const identity = identityBytes === undefined ? random.identity() : Buffer.from(identityBytes).toString();
    const store = new LogStore(disk, identity);
    if (identityBytes === undefined) {
      disk.replace(IDENTITY_FILE, Buffer.from(identity), () => undefined);
    }
    if (snapshotBytes !== undefined) {
      store.snapshot = parseFile(snapshotBytes) as types.Snapshot;
    }
    return store.load(logBytes ?? new Uint8Array()).map(() => store);
  }

  private load(bytes: Uint8Array): results.Result<null, failures.Failure> {
    const decoded = logFile.decode(bytes);
    if (decoded.err) {
      return decoded;
    }
    for (const record of decoded.val.records) {
      this.replay(record);
    }
    if (decoded.val.soundLength < bytes.length) {
      this.rewriteLog();
    }
    return results.Ok(null);
  }

  private replay(record: types.DiskRecord): void {
    if (record.type === 'hardState') {
      this.hardState = record.hardState;
    } else if (record.type === 'truncate') {
      this.dropFrom(record.fromIndex);
    } else if (record.entry.index === this.lastIndex + 1) {
      this.entries.push(record.entry);
    }
  }

  get lastIndex(): number {
    return this.snapshot.index + this.entries.length;
  }

  get lastTerm(): number {
    return this.entries.at(-1)?.term ?? this.snapshot.term;
  }

  get lastStamp(): number {
    return this.entries.at(-1)?.stamp ?? this.snapshot.stamp;
  }

  /** Term of the entry at an index; undefined where the log does not hold it. */
  termAt(index: number): number | undefined {
    if (index === this.snapshot.index) {
      return this.snapshot.term;
    }
    return this.entryAt(index)?.term;
  }

  /** Entry at an index; undefined where it was compacted or is not there yet. */
  entryAt(index: number): types.LogEntry | undefined {
    const offset = index - this.snapshot.index - 1;
    return offset < 0 ? undefined : this.entries[offset];
  }

  /** Up to `limit` entries from an index on. */
  slice(fromIndex: number, limit: number): readonly types.LogEntry[] {
    const offset = fromIndex - this.snapshot.index - 1;
    return this.entries.slice(offset, offset + limit);
  }

  /** The members that hold now: the newest in the log, committed or not, else those of the snapshot. */
  members(): readonly types.Member[] {
    return this.membersEntry()?.members ?? this.snapshot.members;
  }

  /** Index of the newest membership entry in the log; 0 where the snapshot's members hold. */
  membersIndex(): number {
    return this.membersEntry()?.index ?? 0;
  }

  private membersEntry(): { index: number; members: readonly types.Member[] } | undefined {
    for (let offset = this.entries.length - 1; offset >= 0; offset -= 1) {
      const entry = this.entries[offset];
      if (entry?.payload.type === 'members') {
        return { index: entry.index, members: entry.payload.members };
      }
    }
    return undefined;
  }

  append(entry: types.LogEntry): void {
    this.entries.push(entry);
    this.disk.append(LOG_FILE, logFile.encode({ type: 'entry', entry }));
  }

  truncateFrom(index: number): void {
    this.dropFrom(index);
    this.disk.append(LOG_FILE, logFile.encode({ type: 'truncate', fromIndex: index }));
  }

  private dropFrom(index: number): void {
    this.entries.length = Math.max(0, Math.min(this.entries.length, index - this.snapshot.index - 1));
  }

  setHardState(hardState: types.HardState): void {
    this.hardState = hardState;
    this.disk.append(LOG_FILE, logFile.encode({ type: 'hardState', hardState }));
  }

  /**
   * Calls back once everything written before this call is synced.
   *
   * An answer sent before the sync could be forgotten in a crash: two leaders of one term, or a lost change
   * that its operator was told is accepted. Sending only from here is enough, because each write of the
   * log, the term and the vote goes through the same file.
   */
  whenDurable(done: () => void): void {
    this.waiting.push(done);
    if (!this.syncing) {
      this.syncWaiting();
    }
  }

  private syncWaiting(): void {
    const batch = this.waiting;
    this.waiting = [];
    this.syncing = true;
    this.disk.sync(LOG_FILE, () => {
      this.syncing = false;
      for (const done of batch) {
        done();
      }
      if (this.waiting.length > 0) {
        this.syncWaiting();
      }
    });
  }

  /** Takes a snapshot up to an applied index and drops the log up to it. */
  compact(snapshot: types.Snapshot): void {
    this.entries = this.entries.slice(snapshot.index - this.snapshot.index);
    this.replaceSnapshot(snapshot, () => undefined);
  }

  /** Installs a leader's snapshot; entries behind it stay where they continue it. */
  install(snapshot: types.Snapshot, done: () => void): void {
    const continues = this.termAt(snapshot.index) === snapshot.term;
    this.entries = continues ? this.entries.slice(snapshot.index - this.snapshot.index) : [];
    if (!continues) {
      // A crash after the snapshot is replaced but before the log is rewritten would replay entries of an
      // overwritten past behind the new snapshot. The synced record voids them first.
      this.disk.append(LOG_FILE, logFile.encode({ type: 'truncate', fromIndex: snapshot.index + 1 }));
    }
    this.disk.sync(LOG_FILE, () => undefined);
    this.replaceSnapshot(snapshot, done);
  }

  private replaceSnapshot(snapshot: types.Snapshot, done: () => void): void {
    this.snapshot = snapshot;
    this.disk.replace(SNAPSHOT_FILE, Buffer.from(JSON.stringify(snapshot)), () => {
      // The log may be cut only now: cut first, a crash in between would lose both copies.
      this.rewriteLog(done);
    });
  }

  private rewriteLog(done: () => void = () => undefined): void {
    const records: types.DiskRecord[] = [{ type: 'hardState', hardState: this.hardState }];
    for (const entry of this.entries) {
      records.push({ type: 'entry', entry });
    }
    this.disk.replace(LOG_FILE, Buffer.concat(records.map(logFile.encode)), done);
  }
}
