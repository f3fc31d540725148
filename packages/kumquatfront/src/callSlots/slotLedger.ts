/**
 * The coordinator's count of the calls that all entries together have in flight at the upstreams of fragile services. It
 * grants a call only where a slot is free, and a part of the slots while another coordinator may have granted some.
 */
import type * as instanceTypes from '../instances/types.js';
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import type * as messages from './messages.js';

/** Time from its first question, or after a change of its role, for which a coordinator grants a part of the slots. */
const UNKNOWN_CALLS_TIME: ports.Milliseconds = 1_000;

/** Share of the slots that is granted while others may have granted some. */
const CAUTIOUS_SHARE = 0.25;

/** Time without questions after which a coordinator counts as started anew; another one may have answered them. */
const IDLE_TIME: ports.Milliseconds = 2_000;

/** Window in which upstreams count what they reject. */
const REJECTION_WINDOW: ports.Milliseconds = 1_000;

/** Time for which a slot is not granted after a rejection that shows that it does not exist. */
const MISSING_SLOT_TIME: ports.Milliseconds = 3_000;

/** Range of the retry delay of refused calls, so that they do not return together. */
const MINIMUM_RETRY_DELAY: ports.Milliseconds = 150;
const RETRY_DELAY_SPREAD: ports.Milliseconds = 300;

const EXPIRY_INTERVAL: ports.Milliseconds = 50;

/** Dependencies of the ledger. */
export interface SlotLedgerOptions {
  readonly timers: timerService.TimerService;
  readonly random: ports.Random;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
  readonly instances: () => readonly instanceTypes.InstanceRecord[];
  readonly isEvacuated: (dataCentre: string) => boolean;
  /** True while this replica leads with the consent of a quorum. */
  readonly mayLead: () => boolean;
  /** Requests that an upstream of a service may have to reject in a second; undefined if it is not fragile. */
  readonly maximumRejectionsOf: (service: string) => number | undefined;
}

interface HeldSlot {
  readonly instance: string;
  readonly until: ports.Milliseconds;
}

interface WaitingCall {
  readonly request: messages.TakeRequest;
  readonly until: ports.Milliseconds;
  readonly answer: (answer: messages.TakeAnswer) => void;
}

/** Slots of fragile upstreams; see the module comment. */
export class SlotLedger {
  private readonly options: SlotLedgerOptions;
  private readonly held = new Map<string, HeldSlot>();
  private readonly heldCounts = new Map<string, number>();
  /** Times of rejections, by upstream. */
  private readonly rejections = new Map<string, ports.Milliseconds[]>();
  private waiting: WaitingCall[] = [];
  private activeSince = 0;
  private lastAskedAt = Number.NEGATIVE_INFINITY;
  private wasLeading = false;

  constructor(options: SlotLedgerOptions) {
    this.options = options;
    options.timers.every(
      () => EXPIRY_INTERVAL,
      () => {
        this.expire();
      },
    );
  }

  /** Grants a slot at once, when one is returned, or not at all. */
  take(request: messages.TakeRequest, answer: (answer: messages.TakeAnswer) => void): void {
    const now = this.options.timers.now();
    this.updateRole(now);
    const instance = this.freeInstance(request, now);
    if (instance !== undefined) {
      this.grant(request, instance, now, answer);
    } else if (this.isWorthWaiting(request, now)) {
      this.waiting.push({ request, until: now + request.patience, answer });
    } else {
      this.refuse(request, answer);
    }
  }

  /** Frees returned slots, and grants them to waiting calls. */
  release(slots: readonly messages.ReleasedSlot[]): void {
    const now = this.options.timers.now();
    for (const { id, rejected } of slots) {
      const slot = this.held.get(id);
      if (slot !== undefined) {
        this.free(id, slot);
        if (rejected) {
          this.recordRejection(slot.instance, now);
        }
      }
    }
    this.serveWaiting(now);
  }

  private updateRole(now: ports.Milliseconds): void {
    const isLeading = this.options.mayLead();
    if (isLeading !== this.wasLeading || now - this.lastAskedAt > IDLE_TIME) {
      this.activeSince = now;
    }
    this.wasLeading = isLeading;
    this.lastAskedAt = now;
  }

  private recordRejection(instance: string, now: ports.Milliseconds): void {
    const { log, metrics } = this.options;
    const times = this.rejections.get(instance) ?? [];
    this.rejections.set(instance, [...times, now]);
    log.info('slotMissing', { upstream: instance, held: this.heldCounts.get(instance) ?? 0 });
    metrics.count('slots.missing');
  }

  /** Slots of an upstream that may be in use. */
  private capacityOf({ identity, slots, service }: instanceTypes.InstanceRecord, now: number): number {
    const times = (this.rejections.get(identity) ?? []).filter((time) => now - time < MISSING_SLOT_TIME);
    const recent = times.filter((time) => now - time < REJECTION_WINDOW).length;
    // Calls that are on their way may be rejected as well.
    if (recent > 0 && recent >= (this.options.maximumRejectionsOf(service) ?? 1)) {
      return 0;
    }
    const mayBeAlone = this.wasLeading && now - this.activeSince >= UNKNOWN_CALLS_TIME;
    const granted = mayBeAlone ? slots : Math.floor(slots * CAUTIOUS_SHARE);
    return Math.max(1, granted - times.length);
  }

  private eligible({ service, excluded, dataCentres }: messages.TakeRequest): instanceTypes.InstanceRecord[] {
    const { instances, isEvacuated } = this.options;
    return instances().filter(
      (record) =>
        record.service === service &&
        record.state === 'ready' &&
        !isEvacuated(record.dataCentre) &&
        !excluded.includes(record.identity) &&
        (dataCentres?.includes(record.dataCentre) ?? true),
    );
  }

  /** The eligible upstream with the largest free share of its slots; undefined if none is free. */
  private freeInstance(request: messages.TakeRequest, now: ports.Milliseconds): string | undefined {
    let best: { readonly identity: string; readonly used: number } | undefined;
    for (const record of this.eligible(request)) {
      const capacity = this.capacityOf(record, now);
      const held = this.heldCounts.get(record.identity) ?? 0;
      const used = held / capacity + this.options.random.next() * 0.01;
      if (held < capacity && (best === undefined || used < best.used)) {
        best = { identity: record.identity, used };
      }
    }
    return best?.identity;
  }

  /** A call waits behind fewer calls than are running: it gets a slot within the time that one call takes. */
  private isWorthWaiting(request: messages.TakeRequest, now: ports.Milliseconds): boolean {
    const capacity = this.eligible(request).reduce((sum, record) => sum + this.capacityOf(record, now), 0);
    const ahead = this.waiting.filter((call) => call.request.service === request.service).length;
    return request.patience > 0 && ahead < capacity;
  }

  private grant(
    { id, holdFor }: messages.TakeRequest,
    instance: string,
    now: ports.Milliseconds,
    answer: (answer: messages.TakeAnswer) => void,
  ): void {
    this.held.set(id, { instance, until: now + holdFor });
    this.heldCounts.set(instance, (this.heldCounts.get(instance) ?? 0) + 1);
    answer({ state: 'granted', instance });
  }

  private refuse({ id, service }: messages.TakeRequest, answer: (answer: messages.TakeAnswer) => void): void {
    const { log, metrics, random } = this.options;
    const retryAfter = Math.round(MINIMUM_RETRY_DELAY + random.next() * RETRY_DELAY_SPREAD);
    log.debug('slotRefused', { slot: id, service, retryAfter });
    metrics.count('slots.refused', 1, { service });
    answer({ state: 'refused', retryAfter });
  }

  private free(id: string, { instance }: HeldSlot): void {
    this.held.delete(id);
    const count = (this.heldCounts.get(instance) ?? 1) - 1;
    if (count === 0) {
      this.heldCounts.delete(instance);
    } else {
      this.heldCounts.set(instance, count);
    }
  }

  private serveWaiting(now: ports.Milliseconds): void {
    const { waiting } = this;
    this.waiting = [];
    for (const call of waiting) {
      const instance = now < call.until ? this.freeInstance(call.request, now) : undefined;
      if (instance !== undefined) {
        this.grant(call.request, instance, now, call.answer);
      } else if (now < call.until) {
        this.waiting.push(call);
      } else {
        this.refuse(call.request, call.answer);
      }
    }
  }

  private expire(): void {
    const now = this.options.timers.now();
    for (const [id, slot] of this.held) {
      if (now >= slot.until) {
        this.free(id, slot);
      }
    }
    for (const [instance, times] of this.rejections) {
      const current = times.filter((time) => now - time < MISSING_SLOT_TIME);
      if (current.length === 0) {
        this.rejections.delete(instance);
      } else {
        this.rejections.set(instance, current);
      }
    }
    this.serveWaiting(now);
  }
}
