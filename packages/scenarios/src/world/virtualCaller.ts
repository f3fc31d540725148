/**
 * Callers on virtual time. They do what the caller helper does: go on with a stream at another entry, come
 * back when told to, and check every token.
 */
import type * as kumquatfront from 'kumquatfront';

import type * as host from './host.js';
import type * as network from './network.js';

/** An entry as callers reach it. */
export interface ReachableEntry {
  readonly host: host.Host;
  readonly node: kumquatfront.entryNode.EntryNode;
}

/** What callers share. */
export interface CallerWorld {
  readonly time: kumquatfront.virtualTime.VirtualTime;
  readonly net: network.Network;
  readonly entries: () => readonly ReachableEntry[];
  readonly record: (text: string) => void;
}

/** A stream that a caller asks for. */
export interface StreamWish {
  readonly name: string;
  readonly key: string;
  readonly labels: string;
  readonly tokens: number;
  readonly promptLength: number;
  /** What the prompt begins with, its own name where absent: requests with the same one, sent alike, are the same. */
  readonly subject?: string;
  readonly acceptsRestart: boolean;
  /** Whether the caller goes on elsewhere when its connection is lost or it is told to come back. */
  readonly persistent: boolean;
}

/** How a stream or call stands. */
export type CallerState = 'open' | 'whole' | 'refused' | 'lost';

const CALLER_LATENCY = 2;
const PAUSE_AFTER_LOSS = 100;
const SILENCE_LIMIT = 5_000;
const TOKEN_TEXT = /"text":"(\S+)#(\d+) "/;

/** One stream of one caller. */
export class VirtualStream {
  readonly wish: StreamWish;
  state: CallerState = 'open';
  refusal: kumquatfront.streamTypes.Refusal | undefined;
  readonly faults: string[] = [];
  tokens = 0;
  restarts = 0;
  connections = 0;
  firstTokenAt: number | undefined;
  private readonly world: CallerWorld;
  private generation = '';
  private token = '';
  private attempt = 0;
  private handle: kumquatfront.streamTypes.StreamHandle | undefined;
  private heardAt = 0;
  private slow = false;
  private currentEntry = '';

  constructor(world: CallerWorld, wish: StreamWish) {
    this.world = world;
    this.wish = wish;
  }

  /** Connects to an entry: with the request itself, or with a resume token where there is one. */
  connect(entryName: string): void {
    const { time, entries } = this.world;
    const entry = entries().find((candidate) => candidate.host.name === entryName);
    this.attempt += 1;
    this.connections += 1;
    this.currentEntry = entryName;
    this.heardAt = time.now();
    const { attempt } = this;
    time.after(CALLER_LATENCY, () => {
      if (entry?.host.isUp !== true) {
        this.onLost(attempt);
        return;
      }
      entry.host.whenDead(() => {
        time.after(CALLER_LATENCY, () => {
          this.onLost(attempt);
        });
      });
      entry.host.enter(entry.host.currentLife, () => {
        this.handle = this.send(entry, this.callerFor(attempt, entry.host));
      });
    });
    this.watchSilence(attempt);
  }

  private send(
    entry: ReachableEntry,
    caller: kumquatfront.streamTypes.GenerationCaller,
  ): kumquatfront.streamTypes.StreamHandle {
    const { key, labels, tokens, promptLength, acceptsRestart, name, subject = name } = this.wish;
    if (this.token !== '') {
      const payload = Buffer.from(this.token.split('.')[0] ?? '', 'base64url').toString();
      const { requestId } = JSON.parse(payload) as { requestId: string };
      return entry.node.requests.resume(
        { bearerKey: key, labelsHeader: undefined, requestId, token: this.token },
        caller,
      );
    }
    const prompt = `${subject} `.padEnd(promptLength * 4, 'x');
    const body = { model: 'any', prompt, stand_in_output_tokens: tokens };
    return entry.node.requests.generate(
      { bearerKey: key, labelsHeader: labels, path: '/v1/completions', body, acceptsRestart },
      caller,
    );
  }

  /** What the entry writes reaches the caller later, and not at all once the entry is dead. */
  private callerFor(attempt: number, entry: host.Host): kumquatfront.streamTypes.GenerationCaller {
    const later = (run: () => void): void => {
      const life = entry.currentLife;
      this.world.time.after(CALLER_LATENCY, () => {
        if (attempt === this.attempt && this.state === 'open' && entry.currentLife === life) {
          this.heardAt = this.world.time.now();
          run();
        }
      });
    };
    return {
      accepted: (resumeToken) => {
        later(() => {
          this.token = this.token === '' ? resumeToken : this.token;
        });
      },
      token: (resumeToken, index, data) => {
        later(() => {
          this.onToken(resumeToken, index, data);
        });
        return !this.slow;
      },
      restarted: (resumeToken) => {
        later(() => {
          this.void();
          this.token = resumeToken;
        });
      },
      ended: (count) => {
        later(() => {
          this.onEnded(count);
        });
      },
      refused: (refusal) => {
        later(() => {
          this.onRefused(refusal);
        });
      },
    };
  }

  private void(): void {
    this.tokens = 0;
    this.generation = '';
    this.token = '';
    this.restarts += 1;
    this.world.record(`${this.wish.name} begins again`);
  }

  private onToken(resumeToken: string, index: number, data: string): void {
    const [, generation = '', textIndex = ''] = TOKEN_TEXT.exec(data) ?? [];
    if (index !== this.tokens || Number(textIndex) !== index) {
      this.faults.push(`token ${index} came where ${this.tokens} was expected`);
    }
    if (this.generation !== '' && generation !== this.generation) {
      this.faults.push(`token of ${generation} within ${this.generation}`);
    }
    if (this.tokens === 0) {
      this.firstTokenAt = this.world.time.now();
      this.world.record(`${this.wish.name} gets its first token`);
    }
    this.generation = generation;
    this.tokens += 1;
    this.token = resumeToken;
  }

  private onEnded(count: number): void {
    if (count !== this.tokens || this.tokens !== this.wish.tokens) {
      this.faults.push(`ended with ${this.tokens} tokens, ${count} said, ${this.wish.tokens} wished`);
    }
    this.finish(
      'whole',
      `whole, ${this.tokens} tokens, ${this.restarts} restarts, ${this.connections} connections`,
    );
  }

  private finish(state: CallerState, text: string): void {
    this.state = state;
    this.world.record(`${this.wish.name} ${text}`);
  }

  private onRefused(refusal: kumquatfront.streamTypes.Refusal): void {
    this.refusal = refusal;
    const comesBack = this.wish.persistent && refusal.retryAfter !== undefined && refusal.kind !== 'invalid';
    const when = refusal.retryAfter === undefined ? '' : `, come back in ${refusal.retryAfter} ms`;
    if (!comesBack) {
      this.finish('refused', `refused as ${refusal.kind}${when}`);
      return;
    }
    this.world.record(`${this.wish.name} is told ${refusal.kind}${when}`);
    if (refusal.kind === 'interrupted') {
      this.void();
    }
    const { attempt } = this;
    this.world.time.after(refusal.retryAfter ?? 0, () => {
      this.goOn(attempt);
    });
  }

  private onLost(attempt: number): void {
    if (attempt !== this.attempt || this.state !== 'open') {
      return;
    }
    if (!this.wish.persistent) {
      this.finish('lost', 'loses its connection');
      return;
    }
    this.world.record(`${this.wish.name} loses its connection after ${this.tokens} tokens`);
    this.world.time.after(PAUSE_AFTER_LOSS, () => {
      this.goOn(attempt);
    });
  }

  private goOn(attempt: number): void {
    if (attempt !== this.attempt || this.state !== 'open') {
      return;
    }
    const names = this.world.entries().map((entry) => entry.host.name);
    const next = names[(names.indexOf(this.currentEntry) + 1) % names.length] ?? '';
    this.connect(next);
  }

  /** A frozen entry closes nothing; only its silence tells. */
  private watchSilence(attempt: number): void {
    this.world.time.after(SILENCE_LIMIT, () => {
      if (attempt !== this.attempt || this.state !== 'open') {
        return;
      }
      const entry = this.world.entries().find((candidate) => candidate.host.name === this.currentEntry);
      const silent = this.world.time.now() - this.heardAt >= SILENCE_LIMIT && entry?.host.isFrozen === true;
      if (silent) {
        this.onLost(attempt);
      } else {
        this.watchSilence(attempt);
      }
    });
  }

  /** Stops or resumes reading. */
  setSlow(slow: boolean): void {
    this.slow = slow;
    if (!slow) {
      this.handle?.drained();
    }
  }

  /** Closes the connection without a word. */
  leave(): void {
    this.attempt += 1;
    this.handle?.callerGone();
    this.finish('lost', `goes away after ${this.tokens} tokens`);
  }

  /** Comes back with what it has. */
  comeBack(entryName: string): void {
    this.state = 'open';
    this.connect(entryName);
  }
}
