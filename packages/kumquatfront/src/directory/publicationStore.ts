/**
 * What every publisher has published, as far as this entry knows, with a state vector that says up to which
 * sequence it knows each publisher without a gap. The idea of the state vector is that of Moll, Patil,
 * Zhang and Pesavento, "Resilient Brokerless Publish-Subscribe over NDN"; docs/design/soft-state.md weighs
 * it against other ways.
 */
import type * as types from './types.js';

/** Stands for the incarnation of a publisher that a peer has never heard of. */
const NEVER_HEARD = -1;

interface StoredItem {
  readonly item: types.PublishedItem;
  /** Local time at which the item would have had age 0. */
  readonly bornAt: number;
}

interface Publisher {
  readonly incarnation: number;
  contiguous: number;
  readonly items: Map<string, StoredItem>;
}

/** Publications of one publisher after a sequence, complete up to `upTo`. */
export interface Extract {
  readonly publisher: string;
  readonly incarnation: number;
  readonly after: number;
  readonly upTo: number;
  /** Sequence, key, age and value of each; a row, since most of what entries send is this. */
  readonly rows: readonly (readonly [
    sequence: number,
    key: string,
    age: number,
    value: types.PublishedValue,
  ])[];
}

/** The store; see the module comment. */
export class PublicationStore {
  private readonly publishers = new Map<string, Publisher>();
  private readonly keepFor: number;

  /**
   * @param keepFor - milliseconds an item is kept at most after it was published
   */
  constructor(keepFor: number) {
    this.keepFor = keepFor;
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
    known.contiguous += 1;
    const item = { publisher, incarnation, sequence: known.contiguous, key, age: 0, value };
    known.items.set(key, { item, bornAt: now });
    return item;
  }

  private publisherOf(publisher: string, incarnation: number): Publisher {
    const known = this.publishers.get(publisher);
    if (known?.incarnation === incarnation) {
      return known;
    }
    const created = { incarnation, contiguous: 0, items: new Map<string, StoredItem>() };
    this.publishers.set(publisher, created);
    return created;
  }

  /** Takes one pushed item; true when it is news. */
  accept(item: types.PublishedItem, now: number): boolean {
    const known = this.publishers.get(item.publisher);
    // A publisher that restarted counts from 1 again; news of its former life must not hide the new.
    if (known !== undefined && known.incarnation > item.incarnation) {
      return false;
    }
    const publisher = this.publisherOf(item.publisher, item.incarnation);
    if (item.sequence === publisher.contiguous + 1) {
      publisher.contiguous = item.sequence;
    }
    const former = publisher.items.get(item.key);
    if (former !== undefined && former.item.sequence >= item.sequence) {
      return false;
    }
    publisher.items.set(item.key, { item, bornAt: now - item.age });
    return true;
  }

  /** Takes an extract; returns the items that are news. */
  acceptExtract(extract: Extract, now: number): readonly types.PublishedItem[] {
    const { publisher: name, incarnation } = extract;
    const items = extract.rows.map(([sequence, key, age, value]) => ({
      publisher: name,
      incarnation,
      sequence,
      key,
      age,
      value,
    }));
    const fresh = items.filter((item) => this.accept(item, now));
    const publisher =
      this.publishers.get(extract.publisher) ?? this.publisherOf(extract.publisher, extract.incarnation);
    if (publisher.incarnation === extract.incarnation && extract.after <= publisher.contiguous) {
      publisher.contiguous = Math.max(publisher.contiguous, extract.upTo);
    }
    return fresh;
  }

  vector(): types.StateVector {
    const vector: Record<string, readonly [number, number]> = {};
    for (const [name, publisher] of this.publishers) {
      vector[name] = [publisher.incarnation, publisher.contiguous];
    }
    return vector;
  }

  /** What a holder of `vector` lacks, publisher by publisher. */
  missingFrom(vector: types.StateVector, now: number): readonly Extract[] {
    const extracts: Extract[] = [];
    for (const [name, publisher] of this.publishers) {
      const [incarnation, sequence] = vector[name] ?? [NEVER_HEARD, 0];
      const after = incarnation === publisher.incarnation ? sequence : 0;
      if (incarnation <= publisher.incarnation && after < publisher.contiguous) {
        extracts.push(this.extract(name, publisher, after, now));
      }
    }
    return extracts;
  }

  private extract(name: string, publisher: Publisher, after: number, now: number): Extract {
    const rows = [...publisher.items.values()]
      .filter((stored) => stored.item.sequence > after)
      .map(({ item, bornAt }) => [item.sequence, item.key, Math.round(now - bornAt), item.value] as const);
    return { publisher: name, incarnation: publisher.incarnation, after, upTo: publisher.contiguous, rows };
  }

  /** True when the holder of `vector` knows something that this store does not. */
  isBehind(vector: types.StateVector): boolean {
    return Object.entries(vector).some(([name, [incarnation, sequence]]) => {
      const own = this.publishers.get(name);
      if (own === undefined || own.incarnation < incarnation) {
        return true;
      }
      return own.incarnation === incarnation && own.contiguous < sequence;
    });
  }

  /** Drops what is too old to matter, so that the store stays as large as what is alive. */
  expire(now: number): void {
    for (const [name, publisher] of this.publishers) {
      for (const [key, stored] of publisher.items) {
        if (now - stored.bornAt > this.keepFor) {
          publisher.items.delete(key);
        }
      }
      if (publisher.items.size === 0) {
        this.publishers.delete(name);
      }
    }
  }
}
