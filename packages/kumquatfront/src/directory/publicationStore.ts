/**
 * Stores the publications of all publishers, with a state vector of the highest contiguous sequence of each. State
 * vectors follow Moll, Patil, Zhang and Pesavento, "Resilient Brokerless Publish-Subscribe over NDN"; see
 * docs/design/soft-state.md for the alternatives.
 */
import type * as types from './types.js';

/** Incarnation assumed for a publisher that the state vector of a peer lacks. */
const UNKNOWN_INCARNATION = -1;

interface StoredItem {
  readonly item: types.PublishedItem;
  /** Local time at which the item had age 0. */
  readonly publishedAt: number;
}

interface Publisher {
  readonly incarnation: number;
  contiguousSequence: number;
  readonly items: Map<string, StoredItem>;
}

/** Publications of one publisher after the sequence `after`, complete up to `upTo`. */
export interface PublisherDelta {
  readonly publisher: string;
  readonly incarnation: number;
  readonly after: number;
  readonly upTo: number;
  /** Sequence, key, age and value of each publication; rows instead of objects to keep messages small. */
  readonly rows: readonly (readonly [
    sequence: number,
    key: string,
    age: number,
    value: types.PublishedValue,
  ])[];
}

/** Store of publications; see the module comment. */
export class PublicationStore {
  private readonly publishers = new Map<string, Publisher>();
  private readonly retention: number;

  /**
   * @param retention - maximum time in milliseconds for which an item is kept after it was published
   */
  constructor(retention: number) {
    this.retention = retention;
  }

  /** Publishes a value of this entry; returns the item to push. */
  publish(
    publisher: string,
    incarnation: number,
    key: string,
    value: types.PublishedValue,
    now: number,
  ): types.PublishedItem {
    const known = this.publisherOf(publisher, incarnation);
    known.contiguousSequence += 1;
    const item = { publisher, incarnation, sequence: known.contiguousSequence, key, age: 0, value };
    known.items.set(key, { item, publishedAt: now });
    return item;
  }

  private publisherOf(publisher: string, incarnation: number): Publisher {
    const known = this.publishers.get(publisher);
    if (known?.incarnation === incarnation) {
      return known;
    }
    const created = { incarnation, contiguousSequence: 0, items: new Map<string, StoredItem>() };
    this.publishers.set(publisher, created);
    return created;
  }

  /** Stores a pushed item; returns true if it is new. */
  accept(item: types.PublishedItem, now: number): boolean {
    const known = this.publishers.get(item.publisher);
    // A restarted publisher counts from 1 again; items of its previous incarnation must not hide the new ones.
    if (known !== undefined && known.incarnation > item.incarnation) {
      return false;
    }
    const publisher = this.publisherOf(item.publisher, item.incarnation);
    if (item.sequence === publisher.contiguousSequence + 1) {
      publisher.contiguousSequence = item.sequence;
    }
    const previous = publisher.items.get(item.key);
    if (previous !== undefined && previous.item.sequence >= item.sequence) {
      return false;
    }
    publisher.items.set(item.key, { item, publishedAt: now - item.age });
    return true;
  }

  /** Stores the items of a delta; returns those that are new. */
  acceptDelta(delta: PublisherDelta, now: number): readonly types.PublishedItem[] {
    const { publisher: name, incarnation } = delta;
    const items = delta.rows.map(([sequence, key, age, value]) => ({
      publisher: name,
      incarnation,
      sequence,
      key,
      age,
      value,
    }));
    const fresh = items.filter((item) => this.accept(item, now));
    const publisher =
      this.publishers.get(delta.publisher) ?? this.publisherOf(delta.publisher, delta.incarnation);
    if (publisher.incarnation === delta.incarnation && delta.after <= publisher.contiguousSequence) {
      publisher.contiguousSequence = Math.max(publisher.contiguousSequence, delta.upTo);
    }
    return fresh;
  }

  stateVector(): types.StateVector {
    const vector: Record<string, readonly [number, number]> = {};
    for (const [name, publisher] of this.publishers) {
      vector[name] = [publisher.incarnation, publisher.contiguousSequence];
    }
    return vector;
  }

  /** Returns the publications that the holder of `vector` lacks, one delta for each publisher. */
  deltasSince(vector: types.StateVector, now: number): readonly PublisherDelta[] {
    const deltas: PublisherDelta[] = [];
    for (const [name, publisher] of this.publishers) {
      const [incarnation, sequence] = vector[name] ?? [UNKNOWN_INCARNATION, 0];
      const after = incarnation === publisher.incarnation ? sequence : 0;
      if (incarnation <= publisher.incarnation && after < publisher.contiguousSequence) {
        deltas.push(this.deltaOf(name, publisher, after, now));
      }
    }
    return deltas;
  }

  private deltaOf(name: string, publisher: Publisher, after: number, now: number): PublisherDelta {
    const rows = [...publisher.items.values()]
      .filter((stored) => stored.item.sequence > after)
      .map(
        ({ item, publishedAt }) =>
          [item.sequence, item.key, Math.round(now - publishedAt), item.value] as const,
      );
    return {
      publisher: name,
      incarnation: publisher.incarnation,
      after,
      upTo: publisher.contiguousSequence,
      rows,
    };
  }

  /** True if the holder of `vector` has publications that this store lacks. */
  isBehind(vector: types.StateVector): boolean {
    return Object.entries(vector).some(([name, [incarnation, sequence]]) => {
      const own = this.publishers.get(name);
      if (own === undefined || own.incarnation < incarnation) {
        return true;
      }
      return own.incarnation === incarnation && own.contiguousSequence < sequence;
    });
  }

  /** Removes items that are older than the retention. */
  expire(now: number): void {
    for (const [name, publisher] of this.publishers) {
      for (const [key, stored] of publisher.items) {
        if (now - stored.publishedAt > this.retention) {
          publisher.items.delete(key);
        }
      }
      if (publisher.items.size === 0) {
        this.publishers.delete(name);
      }
    }
  }
}
