/**
 * Virtual time for simulations: a priority queue of events, sorted by time and then by the sequence of scheduling.
 */
import type * as ports from './ports.js';

interface ScheduledEvent {
  readonly at: number;
  readonly sequence: number;
  readonly run: () => void;
  cancelled: boolean;
}

/** Wall-clock milliseconds at virtual time 0. */
const WALL_CLOCK_START = 1_700_000_000_000;

/** A clock that moves only in `advance`; see the module comment. */
export class VirtualTime {
  private readonly heap: ScheduledEvent[] = [];
  private currentTime = 0;
  private scheduledCount = 0;

  readonly clock: ports.Clock = {
    now: () => this.currentTime,
    wall: () => WALL_CLOCK_START + this.currentTime,
  };

  now(): number {
    return this.currentTime;
  }

  after(delay: number, run: () => void): ports.Cancel {
    this.scheduledCount += 1;
    const event: ScheduledEvent = {
      at: this.currentTime + Math.max(0, delay),
      sequence: this.scheduledCount,
      run,
      cancelled: false,
    };
    this.push(event);
    return () => {
      event.cancelled = true;
    };
  }

  /** Runs all events of the next `duration` milliseconds and moves the clock to their end. */
  advance(duration: number): void {
    const end = this.currentTime + duration;
    for (let head = this.heap[0]; head !== undefined && head.at <= end; head = this.heap[0]) {
      this.pop();
      if (!head.cancelled) {
        this.currentTime = head.at;
        head.run();
      }
    }
    this.currentTime = end;
  }

  private isBefore(left: ScheduledEvent, right: ScheduledEvent): boolean {
    return left.at < right.at || (left.at === right.at && left.sequence < right.sequence);
  }

  private push(event: ScheduledEvent): void {
    const { heap } = this;
    let child = heap.length;
    heap.push(event);
    while (child > 0) {
      const parent = (child - 1) >> 1;
      const above = heap[parent];
      if (above === undefined || this.isBefore(above, event)) {
        break;
      }
      heap[child] = above;
      child = parent;
    }
    heap[child] = event;
  }

  private pop(): void {
    const { heap } = this;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) {
      return;
    }
    let parent = 0;
    for (;;) {
      let child = parent * 2 + 1;
      const left = heap[child];
      if (left === undefined) {
        break;
      }
      const right = heap[child + 1];
      const smaller = right !== undefined && this.isBefore(right, left) ? right : left;
      child += smaller === left ? 0 : 1;
      if (this.isBefore(last, smaller)) {
        break;
      }
      heap[parent] = smaller;
      parent = child;
    }
    heap[parent] = last;
  }
}
