/**
 * The entries that a control replica hears from, and which of them callers are given.
 */
import type * as ports from '../kernel/ports.js';
import type * as methods from './methods.js';

/** An entry that asks for nothing this long is not given to callers any more. */
const ENTRY_LEASE: ports.Milliseconds = 2_000;

/**
 * Addresses of other data centres beside those of the caller's own. Callers that lose a data centre's entries all at
 * once turn to these without asking again; callers choose at random, so with forty near entries one call in eleven
 * crosses data centres, where a list filled up to sixty-four let four in ten cross.
 */
const FAR_ADDRESSES = 4;

/** A caller gets this many addresses at least, where there are as many: some data centres have two entries. */
const LEAST_ADDRESSES = 8;

interface KnownEntry {
  readonly news: methods.EntryNews;
  readonly heardAt: ports.Milliseconds;
}

/** The directory; see the module comment. */
export class EntryDirectory {
  private readonly random: ports.Random;
  private readonly entries = new Map<string, KnownEntry>();

  constructor(random: ports.Random) {
    this.random = random;
  }

  get size(): number {
    return this.entries.size;
  }

  /** Names of all entries that are heard from. */
  names(): readonly string[] {
    return [...this.entries.keys()];
  }

  /** Notes what an entry says of itself; true where it was not known. */
  hear(news: methods.EntryNews, now: ports.Milliseconds): boolean {
    const isNew = !this.entries.has(news.name);
    this.entries.set(news.name, { news, heardAt: now });
    return isNew;
  }

  /** Forgets entries that are silent; gives their names. */
  expire(now: ports.Milliseconds): readonly string[] {
    const silent = [...this.entries].filter(([, entry]) => now - entry.heardAt > ENTRY_LEASE);
    for (const [name] of silent) {
      this.entries.delete(name);
    }
    return silent.map(([name]) => name);
  }

  /**
   * Entries for a caller: those of its data centre, and some others.
   *
   * Which others, and which of too many near ones, is drawn anew for each caller: always the same few would carry
   * the far calls of all data centres.
   *
   * @param mayPass - true for data centres through which the caller's bodies may pass
   */
  choose(
    dataCentre: string,
    most: number,
    now: ports.Milliseconds,
    mayPass: (dataCentre: string) => boolean = () => true,
  ): readonly methods.EntryNews[] {
    const ready = [...this.entries.values()]
      .filter((entry) => entry.news.state === 'ready' && now - entry.heardAt <= ENTRY_LEASE)
      .map((entry) => entry.news);
    const passed = ready.filter((entry) => mayPass(entry.dataCentre));
    // With none where the bodies may be, a caller is better told so by an entry than given no address.
    const usable = passed.length > 0 ? passed : ready;
    const near = usable.filter((entry) => entry.dataCentre === dataCentre);
    const far = usable.filter((entry) => entry.dataCentre !== dataCentre);
    const nearGiven = this.draw(near, most - Math.min(FAR_ADDRESSES, far.length));
    const farCount = Math.max(FAR_ADDRESSES, LEAST_ADDRESSES - nearGiven.length);
    return [...nearGiven, ...this.draw(far, Math.min(farCount, most - nearGiven.length))];
  }

  /** Some of a list, each with the same chance. */
  private draw<Item>(items: readonly Item[], count: number): readonly Item[] {
    const left = [...items];
    const drawn: Item[] = [];
    while (drawn.length < count && left.length > 0) {
      drawn.push(...left.splice(Math.floor(this.random.next() * left.length), 1));
    }
    return drawn;
  }
}
