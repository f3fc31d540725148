/**
 * Fetches the newest traffic configuration for an entry: control replicas announce versions, and the entry requests a
 * package from one of them in pieces.
 *
 * One package is fetched at a time and finished before a newer one is begun, and what has arrived is kept when a replica
 * fails. So a configuration reaches an entry however narrow its link is, and the entry's requests take a bounded part of
 * the link.
 */
import * as packageReceiver from '../configurationTransfer/packageReceiver.js';
import * as transferPackage from '../configurationTransfer/transferPackage.js';
import type * as transferTypes from '../configurationTransfer/types.js';
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import type * as trafficTypes from '../traffic/types.js';
import * as methods from './methods.js';
import * as pieceLength from './pieceLength.js';

/** Minimum time between the starts of two packages; limits the processor time spent on decoding configurations. */
const PACKAGE_INTERVAL: ports.Milliseconds = 200;

/** Time to wait for the preferred replica to announce a version that another replica announced first. */
const PREFERRED_REPLICA_DELAY: ports.Milliseconds = 25;

/** Time without an answer after which a piece is also requested from another replica. */
const HEDGE_DELAY: ports.Milliseconds = 600;

/** Timeout of a request for a piece. */
const PIECE_TIMEOUT: ports.Milliseconds = 2_000;

/** Maximum number of requests in flight, including those for pieces that another replica has sent meanwhile. */
const MAXIMUM_IN_FLIGHT = 3;

/** Dependencies and callbacks of {@link TrafficConfigurationFetcher}. */
export interface TrafficConfigurationFetcherOptions {
  readonly timers: timerService.TimerService;
  readonly peers: ports.PeerTransport;
  readonly log: ports.Log;
  /** Address of the replica to fetch from when several have the same version; empty for no preference. */
  readonly preferredReplica: () => string;
  /** Called with each new configuration, in increasing order of version. */
  readonly onTraffic: (traffic: trafficTypes.VersionedText) => void;
}

/** A request for a piece that has not been answered. */
interface PendingRequest {
  readonly startedAt: ports.Milliseconds;
  /** Offset of the requested piece. */
  readonly offset: number;
}

/** The fetch of one package, from its first request until it is in force. */
interface PackageFetch {
  readonly startedAt: ports.Milliseconds;
  /** Bytes that the entry had received from all peers when the fetch started. */
  readonly receivedBefore: number;
  /** Undefined until the first piece has arrived. */
  receiver: packageReceiver.PackageReceiver | undefined;
  /** Replicas that cannot continue the package. */
  readonly declinedBy: Set<string>;
  /** Replica that sent the last piece; empty before the first. */
  source: string;
}

/** Fetches announced configuration versions, one package at a time. */
export class TrafficConfigurationFetcher {
  private readonly options: TrafficConfigurationFetcherOptions;
  /** Highest version that each replica has announced, by address. */
  private readonly announcedVersions = new Map<string, number>();
  /** Requests of the current fetch that have not been answered yet, by replica address. */
  private readonly pending = new Map<string, PendingRequest>();
  private inForce: trafficTypes.VersionedText = { version: 0, text: '' };
  /** False after changes could not be applied to the text in force; a complete configuration is requested then. */
  private isBaseUsable = true;
  private fetch: PackageFetch | undefined;
  private lastFetchAt = Number.NEGATIVE_INFINITY;
  private readonly pieceLength = new pieceLength.PieceLength();
  private scheduled = { at: Number.POSITIVE_INFINITY, cancel: (): void => undefined };

  constructor(options: TrafficConfigurationFetcherOptions) {
    this.options = options;
  }

  /** Version in force; 0 before the first configuration. */
  get versionInForce(): number {
    return this.inForce.version;
  }

  /** Highest version that the replica has announced or that is in force. */
  knownVersion(address: string): number {
    return Math.max(this.versionInForce, this.announcedVersions.get(address) ?? 0);
  }

  /** Records that a replica has a version, and schedules a request if the version is new. */
  recordVersion(address: string, version: number): void {
    if (version <= this.knownVersion(address)) {
      return;
    }
    this.announcedVersions.set(address, version);
    const preferred = this.options.preferredReplica();
    const delay = preferred === '' || preferred === address ? 0 : PREFERRED_REPLICA_DELAY;
    this.scheduleNext(Math.max(delay, this.timeUntilNextFetch()));
  }

  /** Time until the next package may be started; 0 while one is being fetched. */
  private timeUntilNextFetch(): ports.Milliseconds {
    const { timers } = this.options;
    return this.fetch === undefined ? Math.max(0, this.lastFetchAt + PACKAGE_INTERVAL - timers.now()) : 0;
  }

  /** Schedules the next request after a delay, unless one is scheduled. */
  private scheduleNext(delay: ports.Milliseconds): void {
    const { timers } = this.options;
    const at = timers.now() + delay;
    if (at >= this.scheduled.at) {
      return;
    }
    this.scheduled.cancel();
    const cancel = timers.after(delay, () => {
      this.scheduled = { at: Number.POSITIVE_INFINITY, cancel: () => undefined };
      this.requestNext();
    });
    this.scheduled = { at, cancel };
  }

  /**
   * Returns the best replica for the next piece, of those that have the version and no pending request: the one that sent
   * the last piece, then the newest version, then the preferred replica, which keeps the transfer within the entry's data
   * centre. Replicas that cannot continue the package are asked only when nothing else can be awaited.
   */
  private bestSource(): string | undefined {
    const needed = this.fetch?.receiver?.version ?? this.versionInForce + 1;
    const idle = [...this.announcedVersions].filter(
      ([address, version]) => version >= needed && !this.pending.has(address),
    );
    const able = idle.filter(([address]) => this.fetch?.declinedBy.has(address) !== true);
    const candidates = able.length > 0 || this.pending.size > 0 ? able : idle;
    const preferred = this.options.preferredReplica();
    const ranked = candidates.map(([address, version]) => ({
      address,
      rank: [Number(this.fetch?.source === address), version, Number(address === preferred)],
    }));
    ranked.sort((left, right) => compareRanks(right.rank, left.rank));
    return ranked[0]?.address;
  }

  /** Requests the next piece, from a second replica too if the first does not answer within the hedging delay. */
  private requestNext(): void {
    const now = this.options.timers.now();
    const address = this.bestSource();
    if (address === undefined || this.pending.size >= MAXIMUM_IN_FLIGHT) {
      return;
    }
    const offset = this.nextOffset();
    const awaited = [...this.pending.values()].filter((pending) => pending.offset === offset);
    const hedgeAt = Math.max(...awaited.map(({ startedAt }) => startedAt)) + HEDGE_DELAY;
    if (now < hedgeAt) {
      this.scheduleNext(hedgeAt - now);
      return;
    }
    if (awaited.length > 0) {
      this.pieceLength.onSlow();
    }
    this.requestFrom(address, this.fetch ?? this.startFetch(address));
    this.scheduleNext(HEDGE_DELAY);
  }

  /** Offset of the next piece of the current package. */
  private nextOffset(): number {
    return this.fetch?.receiver?.position.offset ?? 0;
  }

  private startFetch(address: string): PackageFetch {
    const { peers, log, timers } = this.options;
    const version = this.announcedVersions.get(address);
    log.info('trafficFetchStarted', { version, control: address, above: this.versionInForce });
    const fetch: PackageFetch = {
      startedAt: timers.now(),
      receivedBefore: peers.bytesReceived?.() ?? 0,
      receiver: undefined,
      declinedBy: new Set(),
      source: '',
    };
    this.fetch = fetch;
    this.lastFetchAt = fetch.startedAt;
    return fetch;
  }

  private requestFrom(address: string, fetch: PackageFetch): void {
    const { peers, timers } = this.options;
    const pending: PendingRequest = { startedAt: timers.now(), offset: this.nextOffset() };
    this.pending.set(address, pending);
    const request: transferTypes.PieceRequest = {
      above: this.versionInForce,
      base: this.isBaseUsable ? this.versionInForce : 0,
      length: this.pieceLength.current,
      ...(fetch.receiver !== undefined && { position: fetch.receiver.position }),
    };
    peers.request(address, methods.methods.fetchPiece, request, PIECE_TIMEOUT, (result) => {
      if (this.pending.get(address) !== pending) {
        return;
      }
      this.pending.delete(address);
      if (result.err) {
        this.onFailure(address, fetch, result.val.message);
      } else {
        this.pieceLength.onAnswer(timers.now() - pending.startedAt);
        this.onAnswer(address, fetch, result.val as transferTypes.PieceAnswer | null);
      }
    });
  }

  private onFailure(address: string, fetch: PackageFetch, reason: string): void {
    const { log } = this.options;
    const version = fetch.receiver?.version ?? this.announcedVersions.get(address);
    log.warn('trafficNotFetched', { version, control: address, ...this.progressOf(fetch), reason });
    this.pieceLength.onSlow();
    // The replica announces the version again with its next watch answer.
    this.announcedVersions.delete(address);
    this.scheduleNext(0);
  }

  /** Progress of a fetch, and what the entry has received from all peers since its start. */
  private progressOf(fetch: PackageFetch): ports.LogFields {
    const { peers, timers } = this.options;
    return {
      waited: Math.round(timers.now() - fetch.startedAt),
      bytesReceived: (peers.bytesReceived?.() ?? 0) - fetch.receivedBefore,
      missing: fetch.receiver?.missing,
      pieceLength: this.pieceLength.current,
      inFlight: this.pending.size,
    };
  }

  private onAnswer(address: string, fetch: PackageFetch, piece: transferTypes.PieceAnswer | null): void {
    if (piece === null || piece.version <= this.versionInForce) {
      this.announcedVersions.delete(address);
    } else {
      this.addPiece(address, fetch, piece);
    }
    const { receiver } = fetch;
    if (receiver?.isComplete === true) {
      this.finish(address, fetch, receiver);
    } else if (receiver === undefined && this.pending.size === 0) {
      this.fetch = undefined;
    }
    this.scheduleNext(this.timeUntilNextFetch());
  }

  private addPiece(address: string, fetch: PackageFetch, piece: transferTypes.PieceAnswer): void {
    const outcome = fetch.receiver?.receive(piece) ?? 'otherPackage';
    if (outcome !== 'otherPackage') {
      fetch.source = address;
      return;
    }
    fetch.declinedBy.add(address);
    if (piece.offset === 0 && this.shouldReplace(fetch, piece)) {
      fetch.receiver = new packageReceiver.PackageReceiver(piece);
      // The replica may have accepted a newer version since its last watch answer.
      this.announcedVersions.set(address, Math.max(this.knownVersion(address), piece.version));
      fetch.declinedBy.clear();
      fetch.source = address;
    }
  }

  /**
   * Whether to begin another package: if the current one cannot be continued, or if less of the other is missing, which
   * cannot alternate without end.
   */
  private shouldReplace(fetch: PackageFetch, piece: transferTypes.PieceAnswer): boolean {
    const { receiver, declinedBy } = fetch;
    if (receiver === undefined || piece.total - piece.data.length < receiver.missing) {
      return true;
    }
    return ![...this.announcedVersions].some(
      ([address, version]) => version >= receiver.version && !declinedBy.has(address),
    );
  }

  private finish(address: string, fetch: PackageFetch, receiver: packageReceiver.PackageReceiver): void {
    const { log, onTraffic } = this.options;
    const packed = receiver.assemble();
    const unpacked = transferPackage.unpack(packed, this.inForce.text);
    const progress = this.progressOf(fetch);
    this.fetch = undefined;
    // Requests that repeat a piece of this package must not delay the next one.
    this.pending.clear();
    this.isBaseUsable = unpacked.ok;
    if (unpacked.err) {
      log.warn('trafficNotUnpacked', {
        version: packed.version,
        control: address,
        reason: unpacked.val.message,
      });
      return;
    }
    this.inForce = unpacked.val;
    const { version, text } = unpacked.val;
    const size = { characters: text.length, base: packed.base, packed: packed.data.length };
    log.info('trafficInForce', { version, control: address, ...size, ...progress });
    onTraffic(unpacked.val);
  }
}

function compareRanks(left: readonly number[], right: readonly number[]): number {
  const differing = left.findIndex((value, index) => value !== right[index]);
  return (left[differing] ?? 0) - (right[differing] ?? 0);
}
