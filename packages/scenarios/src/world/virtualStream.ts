/**
 * Simulated stream of a caller. Like the client library, it resumes at another entry after a lost connection and
 * retries after a refusal with a delay; it also verifies every token.
 */
import type * as kumquatfront from 'kumquatfront';

import type * as host from './host.js';
import type * as network from './network.js';

/** Running entry that callers can connect to. */
export interface ReachableEntry {
  readonly host: host.Host;
  readonly node: kumquatfront.entryNode.EntryNode;
}

/** Dependencies of simulated callers. */
export interface CallerEnvironment {
  readonly time: kumquatfront.virtualTime.VirtualTime;
  readonly network: network.Network;
  readonly entries: () => readonly ReachableEntry[];
  readonly record: (text: string) => void;
}

/** Stream request of a caller. */
export interface StreamRequest {
  readonly name: string;
  readonly key: string;
  readonly labels: string;
  readonly tokens: number;
  readonly promptLength: number;
  /** Start of the prompt, by default the name; otherwise equal requests with the same prefix have equal content. */
  readonly promptPrefix?: string;
  readonly acceptsRestart: boolean;
  /** Whether the caller reconnects after a lost connection and retries after a refusal with a retry delay. */
  readonly persistent: boolean;
}

/** State of a stream. */
export type StreamState = 'open' | 'whole' | 'refused' | 'lost';

const CALLER_LATENCY = 2;
const RECONNECT_DELAY = 100;
const IDLE_TIMEOUT = 5_000;
const TOKEN_TEXT = /"text":"(\S+)#(\d+) "/;

/** One stream of one caller. */
export class VirtualStream {
  readonly request: StreamRequest;
  state: StreamState = 'open';
  refusal: kumquatfront.streamTypes.Refusal | undefined;
  readonly violations: string[] = [];
  tokens = 0;
  restarts = 0;
  connections = 0;
  firstTokenAt: number | undefined;
  private readonly environment: CallerEnvironment;
  private generation = '';
  private resumeToken = '';
  private attempt = 0;
  private handle: kumquatfront.streamTypes.StreamHandle | undefined;
  private lastReceivedAt = 0;
  private isSlow = false;
  private currentEntryName = '';

  constructor(environment: CallerEnvironment, request: StreamRequest) {
    this.environment = environment;
    this.request = request;
  }

  /** Connects to an entry with the resume token, or with the request when there is no token yet. */
  connect(entryName: string): void {
    const { time, entries } = this.environment;
    const entry = entries().find((candidate) => candidate.host.name === entryName);
    this.attempt += 1;
    this.connections += 1;
    this.currentEntryName = entryName;
    this.lastReceivedAt = time.now();
    const { attempt } = this;
    time.after(CALLER_LATENCY, () => {
      if (entry?.host.isUp !== true) {
        this.onLost(attempt);
        return;
      }
      entry.host.onExit(() => {
        time.after(CALLER_LATENCY, () => {
          this.onLost(attempt);
        });
      });
      entry.host.runInProcess(entry.host.incarnation, () => {
        this.handle = this.send(entry, this.callerFor(attempt, entry.host));
      });
    });
    this.checkIdleTimeout(attempt);
  }

  private send(
    entry: ReachableEntry,
    caller: kumquatfront.streamTypes.GenerationCaller,
  ): kumquatfront.streamTypes.StreamHandle {
    const { key, labels, tokens, promptLength, acceptsRestart, name, promptPrefix = name } = this.request;
    if (this.resumeToken !== '') {
      const payload = Buffer.from(this.resumeToken.split('.')[0] ?? '', 'base64url').toString();
      const { requestId } = JSON.parse(payload) as { requestId: string };
      return entry.node.requests.resume(
        { bearerKey: key, labelsHeader: undefined, requestId, token: this.resumeToken },
        caller,
      );
    }
    const prompt = `${promptPrefix} `.padEnd(promptLength * 4, 'x');
    const body = { model: 'any', prompt, stand_in_output_tokens: tokens };
    return entry.node.requests.generate(
      { bearerKey: key, labelsHeader: labels, path: '/v1/completions', body, acceptsRestart },
      caller,
    );
  }

  /** Delivers output of the entry after the caller latency, and discards it if the entry was killed meanwhile. */
  private callerFor(attempt: number, entry: host.Host): kumquatfront.streamTypes.GenerationCaller {
    const deliverLater = (run: () => void): void => {
      const incarnation = entry.incarnation;
      this.environment.time.after(CALLER_LATENCY, () => {
        if (attempt === this.attempt && this.state === 'open' && entry.incarnation === incarnation) {
          this.lastReceivedAt = this.environment.time.now();
          run();
        }
      });
    };
    return {
      sendAccepted: (resumeToken) => {
        deliverLater(() => {
          this.resumeToken = this.resumeToken === '' ? resumeToken : this.resumeToken;
        });
      },
      sendToken: (resumeToken, index, data) => {
        deliverLater(() => {
          this.onToken(resumeToken, index, data);
        });
        return !this.isSlow;
      },
      sendRestart: (resumeToken) => {
        deliverLater(() => {
          this.resetOutput();
          this.resumeToken = resumeToken;
        });
      },
      complete: (count) => {
        deliverLater(() => {
          this.onEnded(count);
        });
      },
      refuse: (refusal) => {
        deliverLater(() => {
          this.onRefused(refusal);
        });
      },
    };
  }

  /** Discards the tokens received so far when the generation restarts. */
  private resetOutput(): void {
    this.tokens = 0;
    this.generation = '';
    this.resumeToken = '';
    this.restarts += 1;
    this.environment.record(`${this.request.name} begins again`);
  }

  private onToken(resumeToken: string, index: number, data: string): void {
    const [, generation = '', textIndex = ''] = TOKEN_TEXT.exec(data) ?? [];
    if (index !== this.tokens || Number(textIndex) !== index) {
      this.violations.push(`received token ${index}, expected token ${this.tokens}`);
    }
    if (this.generation !== '' && generation !== this.generation) {
      this.violations.push(`received a token of generation ${generation}, expected ${this.generation}`);
    }
    if (this.tokens === 0) {
      this.firstTokenAt = this.environment.time.now();
      this.environment.record(`${this.request.name} gets its first token`);
    }
    this.generation = generation;
    this.tokens += 1;
    this.resumeToken = resumeToken;
  }

  private onEnded(count: number): void {
    if (count !== this.tokens || this.tokens !== this.request.tokens) {
      this.violations.push(
        `ended after ${this.tokens} tokens; the entry reported ${count}, the request asked for ${this.request.tokens}`,
      );
    }
    this.finish(
      'whole',
      `whole, ${this.tokens} tokens, ${this.restarts} restarts, ${this.connections} connections`,
    );
  }

  private finish(state: StreamState, text: string): void {
    this.state = state;
    this.environment.record(`${this.request.name} ${text}`);
  }

  private onRefused(refusal: kumquatfront.streamTypes.Refusal): void {
    this.refusal = refusal;
    const isRetried =
      this.request.persistent && refusal.retryAfter !== undefined && refusal.kind !== 'invalid';
    const retryNotice = refusal.retryAfter === undefined ? '' : `, come back in ${refusal.retryAfter} ms`;
    if (!isRetried) {
      this.finish('refused', `refused as ${refusal.kind}${retryNotice}`);
      return;
    }
    this.environment.record(`${this.request.name} is told ${refusal.kind}${retryNotice}`);
    if (refusal.kind === 'interrupted') {
      this.resetOutput();
    }
    const { attempt } = this;
    this.environment.time.after(refusal.retryAfter ?? 0, () => {
      this.failOver(attempt);
    });
  }

  private onLost(attempt: number): void {
    if (attempt !== this.attempt || this.state !== 'open') {
      return;
    }
    if (!this.request.persistent) {
      this.finish('lost', 'loses its connection');
      return;
    }
    this.environment.record(`${this.request.name} loses its connection after ${this.tokens} tokens`);
    this.environment.time.after(RECONNECT_DELAY, () => {
      this.failOver(attempt);
    });
  }

  /** Connects to the next entry. */
  private failOver(attempt: number): void {
    if (attempt !== this.attempt || this.state !== 'open') {
      return;
    }
    const names = this.environment.entries().map((entry) => entry.host.name);
    const nextEntryName = names[(names.indexOf(this.currentEntryName) + 1) % names.length] ?? '';
    this.connect(nextEntryName);
  }

  /** Detects a frozen entry, which keeps its connections open, by an idle timeout. */
  private checkIdleTimeout(attempt: number): void {
    this.environment.time.after(IDLE_TIMEOUT, () => {
      if (attempt !== this.attempt || this.state !== 'open') {
        return;
      }
      const entry = this.environment
        .entries()
        .find((candidate) => candidate.host.name === this.currentEntryName);
      const isTimedOut =
        this.environment.time.now() - this.lastReceivedAt >= IDLE_TIMEOUT && entry?.host.isFrozen === true;
      if (isTimedOut) {
        this.onLost(attempt);
      } else {
        this.checkIdleTimeout(attempt);
      }
    });
  }

  /** Stops or resumes reading. */
  setSlow(isSlow: boolean): void {
    this.isSlow = isSlow;
    if (!isSlow) {
      this.handle?.onDrain();
    }
  }

  /** Disconnects from the entry and stops reading. */
  disconnect(): void {
    this.attempt += 1;
    this.handle?.onCallerDisconnect();
    this.finish('lost', `goes away after ${this.tokens} tokens`);
  }

  /** Reconnects to an entry and continues after the tokens received so far. */
  reconnect(entryName: string): void {
    this.state = 'open';
    this.connect(entryName);
  }
}
