/**
 * Cache of entry addresses for a caller, fetched from any reachable entry and valid for the `max-age` of the
 * response.
 */
import * as undici from 'undici';

import * as responseBody from './responseBody.js';

const FETCH_TIMEOUT = 1_000;

/** Caches the entry addresses of one caller. */
export class EntryAddressCache {
  private readonly seeds: readonly string[];
  private readonly agent: undici.Agent;
  private readonly now: () => number;
  private cachedAddresses: readonly string[] = [];
  private expiresAt = 0;
  private position = 0;

  constructor(seeds: readonly string[], agent: undici.Agent, now: () => number) {
    this.seeds = seeds;
    this.agent = agent;
    this.now = now;
  }

  /** Returns the address of the entry to use, refreshing the list if it has expired. */
  async currentEntry(): Promise<string> {
    if (this.now() >= this.expiresAt) {
      await this.refresh();
    }
    const addresses = this.cachedAddresses.length > 0 ? this.cachedAddresses : this.seeds;
    return addresses[this.position % addresses.length] ?? '';
  }

  /** Advances to the next entry after a failure; once all have failed, the list is fetched again. */
  skipCurrentEntry(): void {
    this.position += 1;
    if (this.position >= this.cachedAddresses.length) {
      this.position = 0;
      this.expiresAt = 0;
    }
  }

  private async refresh(): Promise<void> {
    const candidates = [...this.cachedAddresses, ...this.seeds];
    for (const entry of candidates) {
      if (await this.fetchFrom(entry)) {
        return;
      }
    }
  }

  private async fetchFrom(entry: string): Promise<boolean> {
    try {
      const response = await undici.request(`${entry}/v1/entries`, {
        dispatcher: this.agent,
        signal: AbortSignal.timeout(FETCH_TIMEOUT),
      });
      const answer = JSON.parse(await responseBody.readText(response.body)) as {
        entries: readonly { address: string }[];
      };
      const seconds = Number(/max-age=(\d+)/.exec(String(response.headers['cache-control']))?.[1] ?? 1);
      this.cachedAddresses = answer.entries.map((item) => item.address);
      this.expiresAt = this.now() + seconds * 1_000;
      this.position = 0;
      return this.cachedAddresses.length > 0;
    } catch {
      return false;
    }
  }
}
