/**
 * The caller helper: finds entries, goes on with a stream at another entry when one dies, repeats what was
 * not run, and shows each token exactly once.
 */
import * as stringDecoder from 'node:string_decoder';

import * as eventSource from 'eventsource-parser';
import * as undici from 'undici';

import * as results from '../kernel/results.js';
import type * as ports from '../kernel/ports.js';
import * as addressBook from './addressBook.js';
import type * as types from './types.js';

const CONNECT_TIMEOUT = 1_000;
const PAUSE_AFTER_FAILURE = 100;
const DEFAULT_RETRY_AFTER = 500;

type Attempt =
  | { readonly type: 'whole' }
  | { readonly type: 'lost' }
  | {
      readonly type: 'refused';
      readonly failure: types.ClientFailure;
      readonly retryAfter: number | undefined;
    };

interface RefusalBody {
  readonly error?: {
    readonly type?: string;
    readonly message?: string;
    readonly retryAfterMilliseconds?: number;
  };
}

/** State of one stream over all its connections. */
interface StreamState {
  token: string;
  tokens: number;
  restarts: number;
  reconnects: number;
}

function requestIdOf(token: string): string {
  const payload = Buffer.from(token.split('.')[0] ?? '', 'base64url').toString('utf8');
  return (JSON.parse(payload) as { requestId: string }).requestId;
}

function parseRefusal(text: string): RefusalBody {
  try {
    return JSON.parse(text) as RefusalBody;
  } catch {
    return {};
  }
}

function toRefused(body: RefusalBody): Attempt {
  const kind = body.error?.type ?? 'invalid';
  const known = kind === 'notRun' || kind === 'outcomeUnknown' || kind === 'interrupted' ? kind : 'invalid';
  const failure = { kind: known, message: body.error?.message ?? 'no message' } as const;
  return { type: 'refused', failure, retryAfter: body.error?.retryAfterMilliseconds };
}

/** The helper; see the module comment. */
export class CallerClient {
  private readonly options: types.CallerClientOptions;
  private readonly clock: ports.Clock;
  private readonly scheduler: ports.Scheduler;
  private readonly agent = new undici.Agent({
    connect: { timeout: CONNECT_TIMEOUT },
    headersTimeout: 0,
    bodyTimeout: 0,
    pipelining: 1,
  });
  private readonly book: addressBook.AddressBook;

  /**
   * @param options - where to go and as whom
   * @param time - clock and scheduler
   * @example
   * ```ts
   * const client = new callerClient.CallerClient(options, kumquatfront.systemTime);
   * const summary = await client.stream('/v1/completions', { model, prompt }, receiver);
   * ```
   */
  constructor(
    options: types.CallerClientOptions,
    time: { readonly clock: ports.Clock; readonly scheduler: ports.Scheduler },
  ) {
    this.options = options;
    this.clock = time.clock;
    this.scheduler = time.scheduler;
    this.book = new addressBook.AddressBook(options.entries, this.agent, () => this.clock.now());
  }

  private pause(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      this.scheduler.after(milliseconds, resolve);
    });
  }

  private headers(): Record<string, string> {
    return {
      'content-type': 'application/json',
      authorization: `Bearer ${this.options.key}`,
      'kumquatfront-labels': this.options.labels,
      'kumquatfront-accept': 'restart',
    };
  }

  /** Streams a generation; every token reaches the receiver once, in order, from a single generation. */
  async stream(
    path: string,
    body: Readonly<Record<string, unknown>>,
    receiver: types.StreamReceiver,
  ): Promise<results.Result<types.StreamSummary, types.ClientFailure>> {
    return this.streamAt(undefined, path, body, receiver);
  }

  /** Like `stream`, but the first connection goes to a given entry. */
  async streamAt(
    entry: string | undefined,
    path: string,
    body: Readonly<Record<string, unknown>>,
    receiver: types.StreamReceiver,
  ): Promise<results.Result<types.StreamSummary, types.ClientFailure>> {
    const state: StreamState = { token: '', tokens: 0, restarts: 0, reconnects: -1 };
    let given = entry;
    const endsAt = this.clock.now() + this.options.deadline;
    const text = JSON.stringify({ ...body, stream: true });
    let last: types.ClientFailure = { kind: 'notRun', message: 'No entry could be reached.' };
    while (this.clock.now() < endsAt) {
      state.reconnects += 1;
      const attempt = await this.attemptStream(
        given ?? (await this.book.current()),
        path,
        text,
        state,
        receiver,
      );
      given = undefined;
      if (attempt.type === 'whole') {
        const { tokens, restarts, reconnects } = state;
        return results.Ok({ tokens, restarts, reconnects });
      }
      if (attempt.type === 'refused') {
        last = attempt.failure;
        // Before the first token there is nothing to void, so asking again needs no leave to restart.
        const voidable = this.options.restart || state.tokens === 0;
        const again = last.kind === 'notRun' || (last.kind === 'interrupted' && voidable);
        if (!again) {
          return results.Err(last);
        }
        // An entry that refuses a resumption as not run says nothing about the generation itself.
        if (last.kind === 'interrupted') {
          this.void(state, receiver);
        }
        await this.pause(attempt.retryAfter ?? DEFAULT_RETRY_AFTER);
      } else {
        await this.pause(PAUSE_AFTER_FAILURE);
      }
      this.book.failed();
    }
    return results.Err(last);
  }

  private void(state: StreamState, receiver: types.StreamReceiver): void {
    state.token = '';
    if (state.tokens > 0) {
      state.tokens = 0;
      state.restarts += 1;
      receiver.onRestart();
    }
  }

  private async attemptStream(
    entry: string,
    path: string,
    body: string,
    state: StreamState,
    receiver: types.StreamReceiver,
  ): Promise<Attempt> {
    const aborter = new AbortController();
    const watch = this.watchSilence(aborter);
    try {
      const response = await this.openStream(entry, path, body, state, aborter.signal);
      if (response.statusCode !== 200) {
        return toRefused(parseRefusal(await response.body.text()));
      }
      const resume = response.headers['kumquatfront-resume'];
      state.token = typeof resume === 'string' && state.token === '' ? resume : state.token;
      return await this.readStream(response.body, state, receiver, watch.touch);
    } catch {
      return { type: 'lost' };
    } finally {
      watch.stop();
      aborter.abort();
    }
  }

  private openStream(
    entry: string,
    path: string,
    body: string,
    state: StreamState,
    signal: AbortSignal,
  ): Promise<undici.Dispatcher.ResponseData> {
    const headers = this.headers();
    if (state.token === '') {
      return undici.request(`${entry}${path}`, {
        dispatcher: this.agent,
        method: 'POST',
        headers,
        body,
        signal,
      });
    }
    headers['last-event-id'] = state.token;
    const url = `${entry}/v1/requests/${requestIdOf(state.token)}`;
    return undici.request(url, { dispatcher: this.agent, method: 'GET', headers, signal });
  }

  private watchSilence(aborter: AbortController): { touch: () => void; stop: () => void } {
    let heardAt = this.clock.now();
    let cancel: ports.Cancel = () => undefined;
    const check = (): void => {
      if (this.clock.now() - heardAt > this.options.silenceLimit) {
        aborter.abort();
        return;
      }
      cancel = this.scheduler.after(this.options.silenceLimit / 4, check);
    };
    check();
    return {
      touch: () => {
        heardAt = this.clock.now();
      },
      stop: () => {
        cancel();
      },
    };
  }

  private async readStream(
    body: undici.Dispatcher.ResponseData['body'],
    state: StreamState,
    receiver: types.StreamReceiver,
    touch: () => void,
  ): Promise<Attempt> {
    const decoder = new stringDecoder.StringDecoder('utf8');
    let outcome: Attempt = { type: 'lost' };
    const parser = eventSource.createParser({
      onEvent: (event) => {
        outcome = this.onEvent(event, state, receiver) ?? outcome;
      },
    });
    for await (const chunk of body) {
      touch();
      parser.feed(decoder.write(chunk as Buffer));
    }
    return outcome;
  }

  private onEvent(
    event: eventSource.EventSourceMessage,
    state: StreamState,
    receiver: types.StreamReceiver,
  ): Attempt | undefined {
    if (event.data === '[DONE]') {
      return { type: 'whole' };
    }
    if (event.event === 'error') {
      return toRefused(parseRefusal(event.data));
    }
    if (event.event === 'restart') {
      this.void(state, receiver);
      state.token = event.id ?? '';
      return undefined;
    }
    // Each id names the index that comes next; one that does not go on by one was shown already.
    const next = Number((event.id ?? '').split('.').at(-1));
    if (next === state.tokens + 1) {
      state.tokens = next;
      state.token = event.id ?? '';
      receiver.onToken(event.data);
    }
    return undefined;
  }

  /**
   * Calls a plain service. With an idempotency key, a call whose answer was lost is asked for again under
   * the same key; it runs at most once.
   */
  async call(
    service: string,
    method: string,
    path: string,
    body: string,
    idempotencyKey?: string,
  ): Promise<results.Result<types.ClientAnswer, types.ClientFailure>> {
    const endsAt = this.clock.now() + this.options.deadline;
    let last: types.ClientFailure = { kind: 'notRun', message: 'No entry could be reached.' };
    let mayHaveRun = false;
    while (this.clock.now() < endsAt) {
      const attempt = await this.attemptCall(service, method, path, body, idempotencyKey);
      if ('status' in attempt) {
        return results.Ok(attempt);
      }
      if (attempt.type === 'refused') {
        last = attempt.failure;
        if (attempt.retryAfter === undefined) {
          return results.Err(last);
        }
        await this.pause(attempt.retryAfter);
      } else {
        mayHaveRun = true;
        await this.pause(PAUSE_AFTER_FAILURE);
      }
      this.book.failed();
    }
    return results.Err(mayHaveRun ? { ...last, kind: 'outcomeUnknown' } : last);
  }

  private async attemptCall(
    service: string,
    method: string,
    path: string,
    body: string,
    idempotencyKey: string | undefined,
  ): Promise<Attempt | types.ClientAnswer> {
    const headers = this.headers();
    if (idempotencyKey !== undefined) {
      headers['idempotency-key'] = idempotencyKey;
    }
    try {
      const response = await undici.request(`${await this.book.current()}/v1/services/${service}${path}`, {
        dispatcher: this.agent,
        method: method,
        headers,
        body: method === 'GET' ? undefined : body,
        signal: AbortSignal.timeout(this.options.silenceLimit),
      });
      const text = await response.body.text();
      const replayed = response.headers['idempotency-replayed'];
      if (replayed === undefined) {
        return toRefused(parseRefusal(text));
      }
      return { status: response.statusCode, body: text, repeated: replayed === 'true' };
    } catch {
      return { type: 'lost' };
    }
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }
}
