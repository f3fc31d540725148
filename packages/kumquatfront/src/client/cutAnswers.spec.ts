/**
 * Answers of an entry that are cut after any of their bytes, as by an entry that ends while it sends them: the caller client takes none
 * for a whole one.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as undici from 'undici';

import * as cutResponses from '../adapters/cutResponses.js';
import * as systemTime from '../adapters/systemTime.js';
import type * as ports from '../kernel/ports.js';
import type * as results from '../kernel/results.js';
import * as callerClient from './callerClient.js';
import * as entryAddressCache from './entryAddressCache.js';
import type * as types from './types.js';

/** To the client, those that are late differ from these in time only. */
const ENDINGS: readonly cutResponses.Ending[] = ['end', 'reset'];

const TEST_TIMEOUT_MS = 20_000;
const BODY = '{"paid":7}';
const SECOND_BODY = '{"paid":"again"}';

/** Requests are repeated without the delays of the client. */
const time: { readonly clock: ports.Clock; readonly scheduler: ports.Scheduler } = {
  clock: systemTime.clock,
  scheduler: {
    ...systemTime.scheduler,
    after: (delay, callback) => systemTime.scheduler.after(delay < 1_000 ? 0 : delay, callback),
  },
};

/** Lets an entry answer the first request with the cut, and others whole; tells how many there were. */
function answerInTurn(
  upstream: cutResponses.CutUpstream,
  wholeAnswer: (request: string) => string,
): () => number {
  const { cutFor } = upstream;
  let count = 0;
  upstream.cutFor = (request) => {
    if (request.startsWith('GET /v1/entries ')) {
      const body = JSON.stringify({ entries: [{ address: `http://${upstream.address}` }] });
      const head = `HTTP/1.1 200 OK\r\nCache-Control: max-age=60\r\nContent-Length: ${body.length}\r\n\r\n`;
      return { bytes: head + body, ending: 'end' };
    }
    count += 1;
    return count === 1 ? cutFor(request) : { bytes: wholeAnswer(request), ending: 'end' };
  };
  return () => count;
}

async function withClient<Outcome>(
  { address }: cutResponses.CutUpstream,
  run: (client: callerClient.CallerClient) => Promise<Outcome>,
): Promise<Outcome> {
  const limits = { idleTimeout: TEST_TIMEOUT_MS, deadline: TEST_TIMEOUT_MS, allowRestart: false };
  const options = { entries: [`http://${address}`], key: 'k', labels: '', ...limits };
  const client = new callerClient.CallerClient(options, time);
  try {
    return await run(client);
  } finally {
    await client.close();
  }
}

/** A body whose end is stated by nothing but its connection is whole if the entry has told its length. */
const permitToldLength: typeof cutResponses.permitted = (response, sentBytes, ending) => {
  const { head, contentBytes, framing } = response;
  if (framing !== 'connection' || sentBytes < head.length) {
    return cutResponses.permitted(response, sentBytes, ending);
  }
  return sentBytes < head.length + contentBytes ? 'noEnd' : 'whole';
};

/** Answers of entries, which send no interim responses: the client takes them for a fault. */
function createAnswers(method: string, body: string, fields = ''): readonly cutResponses.WholeBytes[] {
  const responses = cutResponses.createAll(method, body, fields);
  return responses.filter(({ name }) => name !== 'interim responses');
}

type CallResult = results.Result<types.ServiceResponse, types.ClientFailure>;

/** Calls a service until an answer is whole. */
async function callUntilWhole(
  upstream: cutResponses.CutUpstream,
  method: string,
): Promise<{ result: CallResult; requests: number }> {
  const requests = answerInTurn(
    upstream,
    () =>
      `HTTP/1.1 200 OK\r\nIdempotency-Replayed: true\r\nContent-Length: ${SECOND_BODY.length}\r\n\r\n${SECOND_BODY}`,
  );
  const result = await withClient(upstream, (client) => client.call('s', method, '/pay', '{}', 'key'));
  return { result, requests: requests() };
}

for (const method of ['POST', 'GET'] as const) {
  // Guards against the part of an answer that a caller gets as the outcome of its call when an entry ends.
  void test.test(`a call by ${method} whose answer is cut is sent again`, async () => {
    const faults: string[] = [];
    const read = async (upstream: cutResponses.CutUpstream): Promise<cutResponses.Reported> => {
      const { result, requests } = await callUntilWhole(upstream, method);
      const expected = requests === 1 ? BODY : SECOND_BODY;
      if (result.err || result.val.body !== expected) {
        faults.push(JSON.stringify({ value: result.val, requests }));
      }
      return { hasHead: requests === 1, end: requests === 1 ? 'whole' : 'failed' };
    };
    const fields = `Idempotency-Replayed: false\r\nKumquatfront-Received: ${BODY.length}\r\n`;
    const responses = createAnswers(method, BODY, fields);
    const problems = await cutResponses.playAll(responses, read, {
      permit: permitToldLength,
      endings: ENDINGS,
    });
    assert.deepEqual([...problems, ...faults].slice(0, 10), []);
  });
}

// Guards against a call that fails for good by a part of a refusal that allows to repeat it.
void test.test('a refusal that is cut is no answer to a call', async () => {
  const refusal = JSON.stringify({ error: { type: 'notRun', message: 'm', retryAfterMilliseconds: 1 } });
  const faults: string[] = [];
  const read = async (
    upstream: cutResponses.CutUpstream,
    { name }: cutResponses.WholeBytes,
  ): Promise<cutResponses.Reported> => {
    const { result, requests } = await callUntilWhole(upstream, 'POST');
    if (result.err || result.val.body !== SECOND_BODY || requests !== 2) {
      faults.push(`${name}: ${JSON.stringify({ value: result.val, requests })}`);
    }
    return { hasHead: false, end: 'failed' };
  };
  const responses = createAnswers('POST', refusal).map((response) => ({
    ...response,
    head: response.head.replace('200 OK', '503 Service Unavailable'),
  }));
  // What the client makes of a refusal shows in its faults only.
  await cutResponses.playAll(responses, read, { permit: () => 'noEnd', endings: ENDINGS });
  assert.deepEqual(faults.slice(0, 10), []);
});

const TOKEN = Buffer.from('{"requestId":"r1"}').toString('base64url');
const EVENTS = [`id: ${TOKEN}.s.1\ndata: a\n\n`, `id: ${TOKEN}.s.2\r\ndata: b\r\n\r\n`, 'data: [DONE]\n\n'];
const STREAM = EVENTS.join('');
const FIELDS = 'Content-Type: text/event-stream\r\n';

/** The rest of the stream behind the event that a request names. */
function restOf(request: string): string {
  const [, position = '0'] = /^last-event-id: .*\.(\d+)\r$/im.exec(request) ?? [];
  const rest = EVENTS.slice(Number(position)).join('');
  return `HTTP/1.1 200 OK\r\n${FIELDS}Kumquatfront-Resume: ${TOKEN}.s.0\r\nContent-Length: ${rest.length}\r\n\r\n${rest}`;
}

// Guards against a stream that is complete, or has a token twice or not at all, by a part of it.
void test.test('a stream that is cut is taken up, with each token once', async () => {
  const faults: string[] = [];
  const read = async (upstream: cutResponses.CutUpstream): Promise<cutResponses.Reported> => {
    const requests = answerInTurn(upstream, restOf);
    const tokens: string[] = [];
    const receiver = {
      onToken: (data: string) => tokens.push(data),
      onRestart: () => tokens.push('restart'),
    };
    const result = await withClient(upstream, (client) =>
      client.stream('/v1/completions', { prompt: 'p' }, receiver),
    );
    if (result.err || tokens.join() !== 'a,b') {
      faults.push(JSON.stringify({ value: result.val, tokens }));
    }
    return { hasHead: requests() === 1, end: requests() === 1 ? 'whole' : 'failed' };
  };
  const permit: typeof cutResponses.permitted = ({ head, contentBytes }, sentBytes) =>
    sentBytes < head.length + contentBytes ? 'noHead' : 'unconfirmed';
  const responses = createAnswers('POST', STREAM, `${FIELDS}Kumquatfront-Resume: ${TOKEN}.s.0\r\n`);
  const problems = await cutResponses.playAll(responses, read, { permit, endings: ENDINGS });
  const early = problems.filter((problem) => {
    const [, name = '', sent = '0'] = /, (.*), (\d+) bytes/.exec(problem) ?? [];
    const response = responses.find((candidate) => candidate.name === name);
    assert.ok(response);
    return Number(sent) < response.head.length + response.contentBytes;
  });
  assert.deepEqual([...early, ...faults].slice(0, 10), []);
});

// Guards against calls that go to no entry, or to a wrong address, by a part of the list of entries.
void test.test('a list of entries that is cut names none', async () => {
  // Nothing listens there.
  const seed = 'http://127.0.0.1:1';
  const listed = 'http://127.0.0.1:2';
  const agent = new undici.Agent();
  const read = async (upstream: cutResponses.CutUpstream): Promise<cutResponses.Reported> => {
    const seeds = [`http://${upstream.address}`, seed];
    const cache = new entryAddressCache.EntryAddressCache(seeds, agent, () => time.clock.now());
    const end = (await cache.currentEntry()) === listed ? 'whole' : 'failed';
    return { hasHead: false, end };
  };
  const list = JSON.stringify({ entries: [{ address: listed }] });
  const problems = await cutResponses.playAll(createAnswers('GET', list), read, {
    permit: permitToldLength,
    endings: ENDINGS,
  });
  await agent.destroy();
  assert.deepEqual(problems, []);
});
