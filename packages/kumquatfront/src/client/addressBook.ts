/**
 * The entries that a caller knows: asked from any of them and kept as long as the answer says.
 */
import * as undici from 'undici';

const ASK_TIMEOUT = 1_000;

/** The address book of one caller. */
export class AddressBook {
  private readonly seeds: readonly string[];
  private readonly agent: undici.Agent;
  private readonly now: () => number;
  private known: readonly string[] = [];
  private validUntil = 0;
  private position = 0;

  constructor(seeds: readonly string[], agent: undici.Agent, now: () => number) {
    this.seeds = seeds;
    this.agent = agent;
    this.now = now;
  }

  /** The entry to use now. */
  async current(): Promise<string> {
    if (this.now() >= this.validUntil) {
      await this.refresh();
    }
    const list = this.known.length > 0 ? this.known : this.seeds;
    return list[this.position % list.length] ?? '';
  }

  /** Turns to the next entry after one has failed. */
  failed(): void {
    this.position += 1;
    if (this.position >= this.known.length) {
      this.position = 0;
      this.validUntil = 0;
    }
  }

  private async refresh(): Promise<void> {
    const candidates = [...this.known, ...this.seeds];
    for (const entry of candidates) {
      if (await this.ask(entry)) {
        return;
      }
    }
  }

  private async ask(entry: string): Promise<boolean> {
    try {
      const response = await undici.request(`${entry}/v1/entries`, {
        dispatcher: this.agent,
        signal: AbortSignal.timeout(ASK_TIMEOUT),
      });
      const answer = (await response.body.json()) as { entries: readonly { address: string }[] };
      const seconds = Number(/max-age=(\d+)/.exec(String(response.headers['cache-control']))?.[1] ?? 1);
      this.known = answer.entries.map((item) => item.address);
      this.validUntil = this.now() + seconds * 1_000;
      this.position = 0;
      return this.known.length > 0;
    } catch {
      return false;
    }
  }
}
