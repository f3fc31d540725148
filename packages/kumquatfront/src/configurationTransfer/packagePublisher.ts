/**
 * Serves the traffic configuration of a control replica to entries, in pieces of packages.
 */
import type * as trafficTypes from '../traffic/types.js';
import * as transferPackage from './transferPackage.js';
import type * as types from './types.js';

/** Maximum total length in characters of the former versions that are kept to send only changes. */
const MAXIMUM_HISTORY_LENGTH = 8 * 1024 * 1024;
const MAXIMUM_HISTORY_VERSIONS = 64;

/** Maximum total length in characters of the packages that are kept; entries may be in the middle of them. */
const MAXIMUM_PACKED_LENGTH = 4 * 1024 * 1024;

/** Keeps the newest configuration and recent former ones, and packs them on request. */
export class PackagePublisher {
  /** Oldest first. */
  private history: readonly trafficTypes.VersionedText[] = [];
  /** By base and version, least recently used first. */
  private readonly packages = new Map<string, transferPackage.TransferPackage>();

  /** Records the configuration in force at the replica. */
  record(traffic: trafficTypes.VersionedText | undefined): void {
    if (traffic === undefined || traffic.version <= (this.history.at(-1)?.version ?? 0)) {
      return;
    }
    this.history = [...this.history, traffic];
    while (this.history.length > 1 && this.isHistoryFull()) {
      this.history = this.history.slice(1);
    }
  }

  private isHistoryFull(): boolean {
    const length = this.history.reduce((sum, { text }) => sum + text.length, 0);
    return this.history.length > MAXIMUM_HISTORY_VERSIONS || length > MAXIMUM_HISTORY_LENGTH;
  }

  /** Answers a request of an entry; null if there is no version above the one that it has. */
  answer(request: types.PieceRequest): types.PieceAnswer | null {
    const { position, length, above } = request;
    const continued = position === undefined ? undefined : this.packageFor(position.base, position.version);
    if (position !== undefined && continued?.digest === position.digest) {
      return pieceOf(continued, position.offset, length);
    }
    const newest = this.history.at(-1);
    if (newest === undefined || newest.version <= above) {
      return null;
    }
    const packed = this.packageFor(request.base, newest.version) ?? this.packageFor(0, newest.version);
    return packed === undefined ? null : pieceOf(packed, 0, length);
  }

  /** The package with these versions; undefined if the replica does not have both. */
  private packageFor(base: number, version: number): transferPackage.TransferPackage | undefined {
    const key = `${base} ${version}`;
    const known = this.packages.get(key) ?? this.createPackage(base, version);
    if (known !== undefined) {
      this.packages.delete(key);
      this.packages.set(key, known);
      this.evictPackages();
    }
    return known;
  }

  private createPackage(base: number, version: number): transferPackage.TransferPackage | undefined {
    const versionOf = (wanted: number): trafficTypes.VersionedText | undefined =>
      this.history.find((traffic) => traffic.version === wanted);
    const target = versionOf(version);
    if (target === undefined || (base !== 0 && versionOf(base) === undefined)) {
      return undefined;
    }
    return transferPackage.create(target, versionOf(base));
  }

  private evictPackages(): void {
    let length = [...this.packages.values()].reduce((sum, { data }) => sum + data.length, 0);
    for (const [key, { data }] of this.packages) {
      if (length <= MAXIMUM_PACKED_LENGTH || this.packages.size === 1) {
        return;
      }
      this.packages.delete(key);
      length -= data.length;
    }
  }
}

function pieceOf(packed: transferPackage.TransferPackage, offset: number, length: number): types.PieceAnswer {
  const { base, version, digest, data } = packed;
  return { base, version, digest, offset, total: data.length, data: data.slice(offset, offset + length) };
}
