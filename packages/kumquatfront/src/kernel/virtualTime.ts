/**
 * Virtual time: a queue of events that run in order of time, and in order of scheduling at the same time.
 */
import type * as ports from './ports.js';

interface Event {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
  cancelled: boolean;
}

/** Wall-clock milliseconds at virtual time 0. */
const WALL_START = 1_700_000_000_000;

/** A clock that moves only when told to; see the module comment. */
export class VirtualTime {
  private readonly heap: Event[] = [];
  private time = 0;
  private scheduled = 0;

  readonly clock: ports.Clock = {
    now: () => this.time,
    wall: () => WALL_START + this.time,
  };

  now(): number {
    return this.time;
  }

  after(delay: number, run: () => void): ports.Cancel {
    this.scheduled += 1;
    const event: Event = { at: this.time + Math.max(0, delay), order: this.scheduled, run, cancelled: false };
    this.push(event);
    return () => {
      event.cancelled = true;
    };
  }

  /** Runs every event of the next `duration` milliseconds. */
  advance(duration: number): void {
    const end = this.time + duration;
    for (let head = this.heap[0]; head !== undefined && head.at <= end; head = this.heap[0]) {
      this.pop();
      if (!head.cancelled) {
        this.time = head.at;
        head.run();
      }
    }
    this.time = end;
  }

  private isBefore(left: Event, right: Event): boolean {
    return left.at < right.at || (left.at === right.at && left.order < right.order);
  }

  private push(event: Event): void {
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
