/**
 * Client for callers: discovers entries, resumes a stream through another entry after a failure, retries
 * requests that were not executed, and delivers each token exactly once.
 */
import * as stringDecoder from 'node:string_decoder';

import * as eventSource from 'eventsource-parser';
import * as undici from 'undici';

import * as results from '../kernel/results.js';
import type * as ports from '../kernel/ports.js';
import * as eventSplitter from '../relay/eventSplitter.js';
import * as entryAddressCache from './entryAddressCache.js';
import * as responseBody from './responseBody.js';
import type * as types from './types.js';
import * as wholeBody from './wholeBody.js';

const CONNECT_TIMEOUT = 1_000;
const RETRY_DELAY = 100;
const DEFAULT_RETRY_AFTER = 500;

type AttemptResult =
  | { readonly type: 'complete' }
  | { readonly type: 'lost' }
  | {
      readonly type: 'refused';
      readonly failure: types.ClientFailure;
      readonly retryAfter: number | undefined;
    };

interface ErrorResponseBody {
  readonly error?: {
    readonly type?: string;
    readonly message?: string;
    readonly retryAfterMilliseconds?: number;
  };
}

/** State of one stream across its connections. */
interface StreamState {
  resumeToken: string;
  tokens: number;
  restarts: number;
  reconnects: number;
}

function requestIdOf(token: string): string {
  const payload = Buffer.from(token.split('.')[0] ?? '', 'base64url').toString('utf8');
  return (JSON.parse(payload) as { requestId: string }).requestId;
}

function parseErrorBody(text: string): ErrorResponseBody {
  try {
    return JSON.parse(text) as ErrorResponseBody;
  } catch {
    return {};
  }
}

function toRefusedAttempt(body: ErrorResponseBody): AttemptResult {
  const kind = body.error?.type ?? 'invalid';
  const knownKind =
    kind === 'notRun' || kind === 'outcomeUnknown' || kind === 'interrupted' ? kind : 'invalid';
  const failure = {
    kind: knownKind,
    message: body.error?.message ?? 'the response contains no error message',
  } as const;
  return { type: 'refused', failure, retryAfter: body.error?.retryAfterMilliseconds };
}

/** What is too large would be so again, and is not asked for a second time; any other attempt is lost. */
function toFailedAttempt(error: unknown): AttemptResult {
  if (!(error instanceof responseBody.TooLargeError)) {
    return { type: 'lost' };
  }
  const message = `The answer was not read: ${error.message}.`;
  return { type: 'refused', failure: { kind: 'outcomeUnknown', message }, retryAfter: undefined };
}

/** Sends streaming and plain-service requests of one client account. */
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
  private readonly entryAddresses: entryAddressCache.EntryAddressCache;

  /**
   * @param options - seed entries, credentials and limits
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
    this.entryAddresses = new entryAddressCache.EntryAddressCache(options.entries, this.agent, () =>
      this.clock.now(),
    );
  }

  private delay(milliseconds: number): Promise<void> {
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

  /** Streams a generation; each token is delivered once, in order, from a single generation. */
  async stream(
    path: string,
    body: Readonly<Record<string, unknown>>,
    receiver: types.StreamReceiver,
  ): Promise<results.Result<types.StreamSummary, types.ClientFailure>> {
    return this.streamAt(undefined, path, body, receiver);
  }

  /** Like `stream`, but opens the first connection to the given entry. */
  async streamAt(
    entry: string | undefined,
    path: string,
    body: Readonly<Record<string, unknown>>,
    receiver: types.StreamReceiver,
  ): Promise<results.Result<types.StreamSummary, types.ClientFailure>> {
    const state: StreamState = { resumeToken: '', tokens: 0, restarts: 0, reconnects: -1 };
    let nextEntry = entry;
    const deadlineAt = this.clock.now() + this.options.deadline;
    const text = JSON.stringify({ ...body, stream: true });
    let lastFailure: types.ClientFailure = { kind: 'notRun', message: 'No entry is reachable.' };
    while (this.clock.now() < deadlineAt) {
      state.reconnects += 1;
      const attempt = await this.attemptStream(
        nextEntry ?? (await this.entryAddresses.currentEntry()),
        path,
        text,
        state,
        receiver,
      );
      nextEntry = undefined;
      if (attempt.type === 'complete') {
        const { tokens, restarts, reconnects } = state;
        return results.Ok({ tokens, restarts, reconnects });
      }
      if (attempt.type === 'refused') {
        lastFailure = attempt.failure;
        // Before the first token there is nothing to discard, so a retry is allowed without the restart option.
        const mayRestart = this.options.allowRestart || state.tokens === 0;
        const mayRetry = lastFailure.kind === 'notRun' || (lastFailure.kind === 'interrupted' && mayRestart);
        if (!mayRetry) {
          return results.Err(lastFailure);
        }
        // A resumption refused with `notRun` does not mean that the generation was interrupted.
        if (lastFailure.kind === 'interrupted') {
          this.discardReceivedTokens(state, receiver);
        }
        await this.delay(attempt.retryAfter ?? DEFAULT_RETRY_AFTER);
      } else {
        await this.delay(RETRY_DELAY);
      }
      this.entryAddresses.skipCurrentEntry();
    }
    return results.Err(lastFailure);
  }

  private discardReceivedTokens(state: StreamState, receiver: types.StreamReceiver): void {
    state.resumeToken = '';
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
  ): Promise<AttemptResult> {
    const abortController = new AbortController();
    const idleWatch = this.watchIdleTimeout(abortController);
    try {
      const response = await this.openStream(entry, path, body, state, abortController.signal);
      if (response.statusCode !== 200) {
        return toRefusedAttempt(parseErrorBody(await wholeBody.read('POST', response)));
      }
      const resume = response.headers['kumquatfront-resume'];
      state.resumeToken = typeof resume === 'string' && state.resumeToken === '' ? resume : state.resumeToken;
      return await this.readStream(response.body, state, receiver, idleWatch.touch);
    } catch (error: unknown) {
      return toFailedAttempt(error);
    } finally {
      idleWatch.stop();
      abortController.abort();
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
    if (state.resumeToken === '') {
      return undici.request(`${entry}${path}`, {
        dispatcher: this.agent,
        method: 'POST',
        headers,
        body,
        signal,
      });
    }
    headers['last-event-id'] = state.resumeToken;
    const url = `${entry}/v1/requests/${requestIdOf(state.resumeToken)}`;
    return undici.request(url, { dispatcher: this.agent, method: 'GET', headers, signal });
  }

  private watchIdleTimeout(abortController: AbortController): { touch: () => void; stop: () => void } {
    let lastReceivedAt = this.clock.now();
    let cancel: ports.Cancel = () => undefined;
    const check = (): void => {
      if (this.clock.now() - lastReceivedAt > this.options.idleTimeout) {
        abortController.abort();
        return;
      }
      cancel = this.scheduler.after(this.options.idleTimeout / 4, check);
    };
    check();
    return {
      touch: () => {
        lastReceivedAt = this.clock.now();
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
  ): Promise<AttemptResult> {
    const decoder = new stringDecoder.StringDecoder('utf8');
    let outcome: AttemptResult = { type: 'lost' };
    const parser = eventSource.createParser({
      onEvent: (event) => {
        outcome = this.onEvent(event, state, receiver) ?? outcome;
      },
    });
    const splitter = new eventSplitter.EventSplitter();
    for await (const chunk of body) {
      touch();
      const complete = splitter.pushTogether(chunk as Buffer);
      if (complete.length > 0) {
        parser.feed(decoder.write(complete));
      }
      if (splitter.incompleteBytes > responseBody.MAXIMUM_BYTES) {
        throw new responseBody.TooLargeError(responseBody.MAXIMUM_BYTES);
      }
    }
    return outcome;
  }

  private onEvent(
    event: eventSource.EventSourceMessage,
    state: StreamState,
    receiver: types.StreamReceiver,
  ): AttemptResult | undefined {
    if (event.data === '[DONE]') {
      return { type: 'complete' };
    }
    if (event.event === 'error') {
      return toRefusedAttempt(parseErrorBody(event.data));
    }
    if (event.event === 'restart') {
      this.discardReceivedTokens(state, receiver);
      state.resumeToken = event.id ?? '';
      return undefined;
    }
    // Each id contains the index of the next token; any other index belongs to a token already delivered.
    const nextIndex = Number((event.id ?? '').split('.').at(-1));
    if (nextIndex === state.tokens + 1) {
      state.tokens = nextIndex;
      state.resumeToken = event.id ?? '';
      receiver.onToken(event.data);
    }
    return undefined;
  }

  /**
   * Calls a plain service. With an idempotency key, a call whose response was lost is retried under the same
   * key and executed at most once.
   */
  async call(
    service: string,
    method: string,
    path: string,
    body: string,
    idempotencyKey?: string,
  ): Promise<results.Result<types.ServiceResponse, types.ClientFailure>> {
    const deadlineAt = this.clock.now() + this.options.deadline;
    let lastFailure: types.ClientFailure = { kind: 'notRun', message: 'No entry is reachable.' };
    let mayHaveExecuted = false;
    while (this.clock.now() < deadlineAt) {
      const attempt = await this.attemptCall(service, method, path, body, idempotencyKey);
      if ('status' in attempt) {
        return results.Ok(attempt);
      }
      if (attempt.type === 'refused') {
        lastFailure = attempt.failure;
        if (attempt.retryAfter === undefined) {
          return results.Err(lastFailure);
        }
        await this.delay(attempt.retryAfter);
      } else {
        mayHaveExecuted = true;
        await this.delay(RETRY_DELAY);
      }
      this.entryAddresses.skipCurrentEntry();
    }
    return results.Err(mayHaveExecuted ? { ...lastFailure, kind: 'outcomeUnknown' } : lastFailure);
  }

  private async attemptCall(
    service: string,
    method: string,
    path: string,
    body: string,
    idempotencyKey: string | undefined,
  ): Promise<AttemptResult | types.ServiceResponse> {
    const headers = this.headers();
    if (idempotencyKey !== undefined) {
      headers['idempotency-key'] = idempotencyKey;
    }
    try {
      const response = await undici.request(
        `${await this.entryAddresses.currentEntry()}/v1/services/${service}${path}`,
        {
          dispatcher: this.agent,
          method,
          headers,
          body: method === 'GET' ? undefined : body,
          signal: AbortSignal.timeout(this.options.idleTimeout),
        },
      );
      const text = await wholeBody.read(method, response);
      const replayed = response.headers['idempotency-replayed'];
      if (replayed === undefined) {
        return toRefusedAttempt(parseErrorBody(text));
      }
      return { status: response.statusCode, body: text, replayed: replayed === 'true' };
    } catch (error: unknown) {
      return toFailedAttempt(error);
    }
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }
}
