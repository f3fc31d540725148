/**
 * Origins of the streams of an entry: remembers those that began here, copies them to their holders, and finds those of
 * streams that callers take up here.
 */
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import * as holderDirectory from './holderDirectory.js';
import * as originHolders from './originHolders.js';
import * as originKeeper from './originKeeper.js';
import * as originLookup from './originLookup.js';
import * as originPublisher from './originPublisher.js';
import * as originStore from './originStore.js';
import type * as types from './types.js';

/** Maximum number of origins that an entry keeps for others, and for its streams. */
const CAPACITY = 20_000;

/** Time after the longest attempt in which its caller may still return. */
const RETURN_TIME: ports.Milliseconds = 15_000;

const EXPIRY_INTERVAL: ports.Milliseconds = 2_000;

/** Dependencies of {@link StreamOrigins}. */
export interface StreamOriginsOptions {
  readonly timers: timerService.TimerService;
  readonly random: ports.Random;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
  readonly peers: ports.PeerTransport;
  /** Peer address of this entry. */
  readonly peerAddress: string;
  /** Peer addresses of the control replicas. */
  readonly replicas: () => readonly string[];
}

/** Origins of the streams of one entry; see the module comment. */
export class StreamOrigins {
  private readonly options: StreamOriginsOptions;
  /** Origins that this entry keeps for others. */
  private readonly kept: originStore.OriginStore;
  /** Origins of streams that began or went on here. */
  private readonly own = new originStore.OriginStore(CAPACITY);
  private readonly directory: holderDirectory.HolderDirectory;
  private readonly publisher: originPublisher.OriginPublisher;

  constructor(options: StreamOriginsOptions) {
    this.options = options;
    const { timers } = options;
    this.kept = originKeeper.serve({ ...options, capacity: CAPACITY, own: this.own });
    this.directory = new holderDirectory.HolderDirectory({
      ...options,
      onEntriesChanged: (previous) => {
        this.copyToNewHolders(previous);
      },
    });
    this.publisher = new originPublisher.OriginPublisher({
      ...options,
      isCandidate: (address) => this.directory.includes(address),
    });
    timers.every(
      () => EXPIRY_INTERVAL,
      () => {
        this.own.removeExpired(timers.now());
      },
    );
  }

  /**
   * Records where a stream began, or that it goes on here.
   *
   * @param longestAttempt - time for which one attempt may last
   */
  record(key: types.StreamKey, origin: types.StreamOrigin, longestAttempt: ports.Milliseconds): void {
    const record = { ...key, ...origin, expiresIn: longestAttempt + RETURN_TIME };
    this.own.add(record, this.options.timers.now());
    this.copy(record);
  }

  /** Notes that a stream is complete; it needs no copies any more. */
  recordComplete(key: types.StreamKey): void {
    this.publisher.withdraw(key);
  }

  /** Searches the origin of a stream that its caller takes up. */
  find(key: types.StreamKey, done: (found: types.FoundOrigin) => void): ports.Cancel {
    const { timers, log, metrics } = this.options;
    const startedAt = timers.now();
    const finish = (found: types.FoundOrigin, source: string): void => {
      const { state } = found;
      log.info('originSearched', {
        attempt: key.attempt,
        state,
        source,
        software: found.state === 'known' ? found.origin.software : undefined,
        milliseconds: Math.round(timers.now() - startedAt),
      });
      metrics.count('origins.searched', 1, { state });
      done(found);
    };
    const origin = this.own.find(key, startedAt) ?? this.kept.find(key, startedAt);
    if (origin !== undefined) {
      finish({ state: 'known', origin }, 'entry');
      return () => undefined;
    }
    const addresses = (): readonly string[] => originHolders.toAsk(key, this.directory.candidates);
    return originLookup.find({ ...this.options, addresses }, key, (found) => {
      finish(found, 'holders');
    });
  }

  /** Copies the origins of this entry to a replica that has started without any. */
  onReplicaStarted(address: string): void {
    const { candidates } = this.directory;
    for (const record of this.own.records(this.options.timers.now())) {
      if (originHolders.toKeep(record, candidates).includes(address)) {
        this.publisher.add(address, record);
      }
    }
  }

  /** Hands all origins over to other holders before this entry stops. */
  handOver(): void {
    const now = this.options.timers.now();
    for (const record of [...this.own.records(now), ...this.kept.records(now)]) {
      this.copy(record);
    }
  }

  private copyToNewHolders(previous: originHolders.HolderCandidates): void {
    const { candidates } = this.directory;
    for (const record of this.own.records(this.options.timers.now())) {
      const former = originHolders.toKeep(record, previous);
      const holders = originHolders.toKeep(record, candidates);
      for (const address of holders.filter((holder) => !former.includes(holder))) {
        this.publisher.add(address, record);
      }
    }
  }

  private copy(record: types.OriginRecord): void {
    for (const address of originHolders.toKeep(record, this.directory.candidates)) {
      this.publisher.add(address, record);
    }
  }
}
