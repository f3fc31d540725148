/**
 * Copies records to their holders: in batches, behind the first event of a stream, and again until they are received.
 */
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import * as messages from './messages.js';
import type * as types from './types.js';

/** Time for which records are collected. Many short streams end within it and need no copy. */
const BATCH_DELAY: ports.Milliseconds = 40;

const TIMEOUT: ports.Milliseconds = 500;
const FIRST_RETRY_DELAY: ports.Milliseconds = 200;
const MAXIMUM_RETRY_DELAY: ports.Milliseconds = 3_000;

const MAXIMUM_BATCH = 200;

/** Records that wait for one holder; the oldest are dropped. */
const MAXIMUM_WAITING = 2_000;

interface WaitingRecord {
  readonly record: types.OriginRecord;
  readonly addedAt: ports.Milliseconds;
}

interface Holder {
  readonly waiting: Map<string, WaitingRecord>;
  retryDelay: ports.Milliseconds;
  isScheduled: boolean;
}

/** Dependencies of {@link OriginPublisher}. */
export interface OriginPublisherOptions {
  readonly timers: timerService.TimerService;
  readonly peers: ports.PeerTransport;
  readonly log: ports.Log;
  /** True for addresses of processes that may still hold records. */
  readonly isCandidate: (address: string) => boolean;
}

function keyOf({ account, attempt }: types.StreamKey): string {
  return `${account} ${attempt}`;
}

/** Copies records to holders; see the module comment. */
export class OriginPublisher {
  private readonly options: OriginPublisherOptions;
  private readonly holders = new Map<string, Holder>();

  constructor(options: OriginPublisherOptions) {
    this.options = options;
  }

  /** Copies a record to a holder. */
  add(address: string, record: types.OriginRecord): void {
    const holder = this.holders.get(address) ?? {
      waiting: new Map<string, WaitingRecord>(),
      retryDelay: FIRST_RETRY_DELAY,
      isScheduled: false,
    };
    this.holders.set(address, holder);
    holder.waiting.set(keyOf(record), { record, addedAt: this.options.timers.now() });
    const [oldest] = holder.waiting.keys();
    if (holder.waiting.size > MAXIMUM_WAITING && oldest !== undefined) {
      holder.waiting.delete(oldest);
    }
    this.schedule(address, holder, BATCH_DELAY);
  }

  /** Withdraws the record of a stream that is complete before it was copied. */
  withdraw(key: types.StreamKey): void {
    for (const { waiting } of this.holders.values()) {
      waiting.delete(keyOf(key));
    }
  }

  private schedule(address: string, holder: Holder, delay: ports.Milliseconds): void {
    if (!holder.isScheduled) {
      holder.isScheduled = true;
      this.options.timers.after(delay, () => {
        holder.isScheduled = false;
        this.send(address, holder);
      });
    }
  }

  private send(address: string, holder: Holder): void {
    const { timers, peers, log } = this.options;
    const now = timers.now();
    const batch = [...holder.waiting].slice(0, MAXIMUM_BATCH);
    if (batch.length === 0) {
      this.holders.delete(address);
      return;
    }
    for (const [key] of batch) {
      holder.waiting.delete(key);
    }
    const records = batch
      .map(([, { record, addedAt }]) => ({ ...record, expiresIn: record.expiresIn - (now - addedAt) }))
      .filter(({ expiresIn }) => expiresIn > 0);
    const request: messages.KeepRequest = { records };
    holder.isScheduled = true;
    peers.request(address, messages.methods.keep, request, TIMEOUT, (result) => {
      holder.isScheduled = false;
      if (result.ok) {
        holder.retryDelay = FIRST_RETRY_DELAY;
        this.schedule(address, holder, holder.waiting.size >= MAXIMUM_BATCH ? 0 : BATCH_DELAY);
        return;
      }
      if (!this.options.isCandidate(address)) {
        this.holders.delete(address);
        return;
      }
      log.debug('originsNotCopied', { address, records: records.length, reason: result.val.message });
      for (const [key, waiting] of batch) {
        if (!holder.waiting.has(key)) {
          holder.waiting.set(key, waiting);
        }
      }
      this.schedule(address, holder, holder.retryDelay);
      holder.retryDelay = Math.min(MAXIMUM_RETRY_DELAY, 2 * holder.retryDelay);
    });
  }
}
