/**
 * Persistent state of one replica, with a copy in memory for reads. `whenDurable` calls back when everything written
 * so far is synced. Syncs are grouped: one sync serves all writes made during the previous one.
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
  /** Size of each entry in the log file, in bytes. */
  private readonly sizes = new WeakMap<types.LogEntry, number>();
  private readonly disk: ports.Disk;
  private syncing = false;
  private pendingCallbacks: (() => void)[] = [];

  private constructor(disk: ports.Disk, identity: string) {
    this.disk = disk;
    this.identity = identity;
  }

  /**
   * Opens the data folder.
   *
   * An empty folder gets a new random identity: a replica that lost its disk must not vote under its old identity,
   * because a quorum may rely on a vote or an entry that it has lost.
   *
   * @param disk - the data folder
   * @param random - source of the new identity
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
          'The data folder contains a log but no identity.',
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
    if (decoded.val.validLength < bytes.length) {
      this.rewriteLog();
    }
    return results.Ok(null);
  }

  private replay(record: types.DiskRecord): void {
    if (record.type === 'hardState') {
      this.hardState = record.hardState;
    } else if (record.type === 'truncate') {
      this.discardFrom(record.fromIndex);
    } else if (record.entry.index === this.lastIndex + 1) {
      this.entries.push(record.entry);
      this.sizes.set(record.entry, logFile.encode(record).length);
    }
  }

  /** Index of the last entry; that of the snapshot if the log is empty. */
  get lastIndex(): number {
    return this.snapshot.index + this.entries.length;
  }

  /** Term of the last entry; that of the snapshot if the log is empty. */
  get lastTerm(): number {
    return this.entries.at(-1)?.term ?? this.snapshot.term;
  }

  /** Time stamp of the last entry; that of the snapshot if the log is empty. */
  get lastStamp(): number {
    return this.entries.at(-1)?.stamp ?? this.snapshot.stamp;
  }

  /** Term of the entry at an index; undefined if the entry is not in the log. */
  termAt(index: number): number | undefined {
    if (index === this.snapshot.index) {
      return this.snapshot.term;
    }
    return this.entryAt(index)?.term;
  }

  /** Entry at an index; undefined if it was compacted or does not exist yet. */
  entryAt(index: number): types.LogEntry | undefined {
    const offset = index - this.snapshot.index - 1;
    return offset < 0 ? undefined : this.entries[offset];
  }

  /** At most `limit` entries, starting at an index, and their size; several only if it is at most `maximumBytes`. */
  slice(
    fromIndex: number,
    limit: number,
    maximumBytes: number,
  ): { readonly entries: readonly types.LogEntry[]; readonly bytes: number } {
    const offset = fromIndex - this.snapshot.index - 1;
    let bytes = 0;
    let count = 0;
    for (const entry of this.entries.slice(offset, offset + limit)) {
      const size = this.sizes.get(entry) ?? 0;
      if (count > 0 && bytes + size > maximumBytes) {
        break;
      }
      bytes += size;
      count += 1;
    }
    return { entries: this.entries.slice(offset, offset + count), bytes };
  }

  /** Size in bytes of the entries that are not in the snapshot. */
  get entriesSize(): number {
    return this.entries.reduce((sum, entry) => sum + (this.sizes.get(entry) ?? 0), 0);
  }

  /** Current members: those of the newest membership entry, committed or not, else those of the snapshot. */
  members(): readonly types.Member[] {
    return this.membersEntry()?.members ?? this.snapshot.members;
  }

  /** Index of the newest membership entry in the log; 0 if the members of the snapshot apply. */
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

  /** Appends an entry; it is durable after the next sync. */
  append(entry: types.LogEntry): void {
    const record = logFile.encode({ type: 'entry', entry });
    this.entries.push(entry);
    this.sizes.set(entry, record.length);
    this.disk.append(LOG_FILE, record);
  }

  /** Discards the entries from an index on, which a newer leader has overwritten. */
  truncateFrom(index: number): void {
    this.discardFrom(index);
    this.disk.append(LOG_FILE, logFile.encode({ type: 'truncate', fromIndex: index }));
  }

  private discardFrom(index: number): void {
    this.entries.length = Math.max(0, Math.min(this.entries.length, index - this.snapshot.index - 1));
  }

  /** Replaces cluster, term and vote; they are durable after the next sync. */
  setHardState(hardState: types.HardState): void {
    this.hardState = hardState;
    this.disk.append(LOG_FILE, logFile.encode({ type: 'hardState', hardState }));
  }

  /**
   * Calls back once everything written before this call is synced.
   *
   * An answer must not be sent before: after a crash its sender could vote twice in a term or lose an acknowledged
   * change. One sync covers entries, term and vote, which are written to the same file.
   */
  whenDurable(done: () => void): void {
    this.pendingCallbacks.push(done);
    if (!this.syncing) {
      this.syncPending();
    }
  }

  private syncPending(): void {
    const batch = this.pendingCallbacks;
    this.pendingCallbacks = [];
    this.syncing = true;
    this.disk.sync(LOG_FILE, () => {
      this.syncing = false;
      for (const done of batch) {
        done();
      }
      if (this.pendingCallbacks.length > 0) {
        this.syncPending();
      }
    });
  }

  /** Stores a snapshot of the applied state and discards the entries that it covers. */
  compact(snapshot: types.Snapshot): void {
    this.entries = this.entries.slice(snapshot.index - this.snapshot.index);
    this.replaceSnapshot(snapshot, () => undefined);
  }

  /** Installs a leader's snapshot; entries after it are kept if the log contains its last entry. */
  installSnapshot(snapshot: types.Snapshot, done: () => void): void {
    const matchesSnapshot = this.termAt(snapshot.index) === snapshot.term;
    this.entries = matchesSnapshot ? this.entries.slice(snapshot.index - this.snapshot.index) : [];
    if (!matchesSnapshot) {
      // After a crash between the replacement of the snapshot and that of the log, overwritten entries would be
      // replayed on top of the snapshot. This record invalidates them.
      this.disk.append(LOG_FILE, logFile.encode({ type: 'truncate', fromIndex: snapshot.index + 1 }));
    }
    this.disk.sync(LOG_FILE, () => undefined);
    this.replaceSnapshot(snapshot, done);
  }

  private replaceSnapshot(snapshot: types.Snapshot, done: () => void): void {
    this.snapshot = snapshot;
    this.disk.replace(SNAPSHOT_FILE, Buffer.from(JSON.stringify(snapshot)), () => {
      // Rewritten only after the snapshot is stored: a crash in between would otherwise lose both copies.
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
