/**
 * An entry's side of fragile services: learns of them from answers and from control, and takes a slot from the coordinator
 * for each call.
 */
import type * as instanceView from '../instances/instanceView.js';
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import * as rendezvousHashing from '../utils/rendezvousHashing.js';
import * as fragileServices from './fragileServices.js';
import * as messages from './messages.js';

/** Minimum time between two reports of an unchanged statement. */
const REPORT_INTERVAL: ports.Milliseconds = 2_000;

/** Time beyond its patience for which a call waits for the answer of the coordinator. */
const ANSWER_MARGIN: ports.Milliseconds = 150;

/**
 * Share of the slots that all entries together use without a coordinator. A hash assigns single slots to entries,
 * and their sum stays below the slots that the next coordinator leaves.
 */
const SHARE_WITHOUT_COORDINATOR = 0.25;
const HASH_RANGE = 2 ** 32;

const RETRY_DELAY_WITHOUT_COORDINATOR: ports.Milliseconds = 250;

/** Dependencies of {@link SlotClient}. */
export interface SlotClientOptions {
  readonly timers: timerService.TimerService;
  readonly random: ports.Random;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
  readonly peers: ports.PeerTransport;
  /** Name of this entry. */
  readonly entry: string;
  readonly dataCentre: string;
  /** Peer address of the coordinator; empty if none is known. */
  readonly coordinator: () => string;
  /** Peer addresses of the control replicas. */
  readonly replicas: () => readonly string[];
  /** Number of entries; 0 if unknown. */
  readonly entryCount: () => number;
  readonly instances: instanceView.InstanceView;
}

/** A call that needs a slot. */
export interface SlotRequest {
  readonly service: string;
  readonly excluded: readonly string[];
  readonly dataCentres?: readonly string[];
  /** Time until the call is over at the latest. */
  readonly holdFor: ports.Milliseconds;
  readonly patience: ports.Milliseconds;
}

/** Returns a slot, once; `rejected` states that the upstream had no room. */
export type ReleaseSlot = (rejected: boolean) => void;

/** Receives the slot, or the refusal. */
export interface SlotListener {
  readonly granted: (instance: instanceView.Instance, release: ReleaseSlot) => void;
  readonly refused: (retryAfter: ports.Milliseconds) => void;
}

/** Slots of fragile upstreams for one entry; see the module comment. */
export class SlotClient {
  private readonly options: SlotClientOptions;
  private readonly services = new fragileServices.FragileServices();
  private readonly reportedAt = new Map<string, ports.Milliseconds>();
  /** Calls without a coordinator's grant, by upstream. */
  private readonly ownCalls = new Map<string, number>();

  constructor(options: SlotClientOptions) {
    this.options = options;
  }

  /** True if calls to a service need a slot. */
  isNeeded(service: string): boolean {
    return this.services.maximumRejectionsOf(service, this.options.timers.now()) !== undefined;
  }

  /**
   * Records what an answer states.
   *
   * @param maximumRejections - undefined if the answer does not state that its upstream is fragile
   * @param sentAt - time at which the answered request was sent
   */
  recordAnswer(service: string, maximumRejections: number | undefined, sentAt: ports.Milliseconds): void {
    const now = this.options.timers.now();
    const changed = this.services.record(
      service,
      maximumRejections ?? 0,
      maximumRejections === undefined ? sentAt : now,
    );
    if (changed) {
      this.options.log.info('fragilityStated', { service, maximumRejections: maximumRejections ?? 'none' });
    }
    const isDue = now - (this.reportedAt.get(service) ?? Number.NEGATIVE_INFINITY) >= REPORT_INTERVAL;
    if (changed || (maximumRejections !== undefined && isDue)) {
      this.reportedAt.set(service, now);
      const records = this.services.records(now).filter((record) => record.service === service);
      for (const replica of this.options.replicas()) {
        const report: messages.FragilityReport = { records };
        this.options.peers.notify(replica, messages.methods.state, report);
      }
    }
  }

  /** Merges what control knows. */
  merge(records: readonly messages.FragilityRecord[]): void {
    if (this.services.merge(records, this.options.timers.now())) {
      const names = records.map((record) => `${record.service}:${record.maximumRejections}`);
      this.options.log.info('fragilityTold', { services: names.join(' ') });
    }
  }

  /** Takes a slot; the returned function withdraws the request. */
  take(request: SlotRequest, listener: SlotListener): ports.Cancel {
    const { random, entry, dataCentre, peers, coordinator, instances } = this.options;
    const id = random.identity();
    let isOpen = true;
    const release: ReleaseSlot = (rejected) => {
      const released: messages.ReleaseRequest = { slots: [{ id, rejected }] };
      peers.notify(coordinator(), messages.methods.release, released);
    };
    const message: messages.TakeRequest = { id, entry, dataCentre, ...request };
    const timeout = request.patience + ANSWER_MARGIN;
    if (coordinator() === '') {
      this.takeOwn(request, listener);
      return () => undefined;
    }
    peers.request(coordinator(), messages.methods.take, message, timeout, (result) => {
      const answer = result.ok ? (result.val as messages.TakeAnswer) : undefined;
      const instance = answer?.state === 'granted' ? instances.get(answer.instance) : undefined;
      if (answer?.state === 'granted' && (!isOpen || instance === undefined)) {
        release(false);
      }
      if (!isOpen) {
        return;
      }
      isOpen = false;
      if (answer === undefined) {
        // The slot may have been granted, and the coordinator may have stopped.
        release(false);
        this.takeOwn(request, listener);
      } else if (instance !== undefined) {
        listener.granted(instance, release);
      } else {
        listener.refused(answer.state === 'refused' ? answer.retryAfter : RETRY_DELAY_WITHOUT_COORDINATOR);
      }
    });
    return () => {
      isOpen = false;
    };
  }

  /** Uses a slot that this entry owns while no coordinator answers. */
  private takeOwn(request: SlotRequest, listener: SlotListener): void {
    const { instances } = this.options;
    const free = instances
      .readyOf(request.service)
      .find(
        (instance) =>
          !request.excluded.includes(instance.identity) &&
          (request.dataCentres?.includes(instance.dataCentre) ?? true) &&
          (this.ownCalls.get(instance.identity) ?? 0) < this.ownSlots(instance),
      );
    if (free === undefined) {
      this.options.metrics.count('slots.refused', 1, { service: request.service });
      listener.refused(RETRY_DELAY_WITHOUT_COORDINATOR);
      return;
    }
    const { identity } = free;
    this.ownCalls.set(identity, (this.ownCalls.get(identity) ?? 0) + 1);
    listener.granted(free, () => {
      this.ownCalls.set(identity, (this.ownCalls.get(identity) ?? 1) - 1);
    });
  }

  private ownSlots({ identity, slots }: instanceView.Instance): number {
    const entries = this.options.entryCount();
    if (entries === 0) {
      return 0;
    }
    const share = (slots * SHARE_WITHOUT_COORDINATOR) / entries;
    const whole = Math.floor(share);
    const draw = rendezvousHashing.hash(`${this.options.entry} ${identity}`) / HASH_RANGE;
    return whole + (draw < share - whole ? 1 : 0);
  }
}
