/**
 * Answers of upstreams in each framing, whole and cut off, over loopback connections: from a server that writes raw
 * bytes, through the relay and the server of the entry, to callers that read raw bytes.
 */
import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as test from 'node:test';

import * as unboundedRequests from '../callerBounds/unboundedRequests.js';
import * as trafficHttp from '../adapters/trafficHttp.js';
import type * as trafficTypes from '../traffic/types.js';
import * as bufferedExchange from './bufferedExchange.js';
import * as rawAnswers from './rawAnswers.js';
import * as relayTestHarness from './relayTestHarness.js';
import * as streamExchange from './streamExchange.js';
import type * as types from './types.js';

const FRAMINGS: readonly types.BodyFraming[] = ['length', 'chunked', 'connection'];

const EVENTS = [1, 2, 3].map((index) => `id: ${index}\ndata: piece ${index}\n\n`);
const STREAM = EVENTS.join('');
const TWO_EVENTS = EVENTS.slice(0, 2).join('');
const WITHIN_THIRD_EVENT = TWO_EVENTS.length + 9;

/** Interval at which virtual time follows real time. */
const TICK = 5;

interface Scenario {
  readonly kind: trafficTypes.CallKind;
  /** Answer of each upstream, in the order in which they are sent the request. */
  readonly answers: readonly rawAnswers.Answer[];
  readonly caller: rawAnswers.CallerKind;
}

/** Relays one request through an entry, and returns what its caller reads. */
async function relay({ kind, answers, caller }: Scenario): Promise<rawAnswers.Received> {
  const upstreams = await Promise.all(answers.map((answer) => rawAnswers.startUpstream(answer)));
  const names = upstreams.map((_, index) => `upstream-${index}`);
  const addresses = upstreams.map(({ address }) => address);
  const harness = new relayTestHarness.RelayTestHarness(names, 100, {
    port: rawAnswers.upstreamPort,
    addresses,
  });
  harness.placements.push(...names);
  const pump = setInterval(() => {
    harness.time.advance(TICK);
  }, TICK);
  const { server } = trafficHttp.create({
    clock: harness.time.clock,
    log: harness.context.log,
    limits: () => undefined,
    requests: unboundedRequests.create(),
    isDraining: () => false,
    recentPause: () => 0,
    decode: () => harness.createRoutedRequest(kind).request,
    encodeRefusal: (_request, { reason }) => ({ status: 502, headers: [], body: reason }),
    handle: (request, port) => {
      const routed = harness.createRoutedRequest(kind, { resumable: answers.length > 1 });
      const Exchange = kind === 'stream' ? streamExchange.StreamExchange : bufferedExchange.BufferedExchange;
      new Exchange(harness.context, { ...routed, request, caller: port }).start();
    },
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const received = await rawAnswers.receive((server.address() as net.AddressInfo).port, caller);
  clearInterval(pump);
  server.closeAllConnections();
  server.close();
  for (const upstream of upstreams) {
    upstream.close();
  }
  return received;
}

const whole = (framing: types.BodyFraming, body: string): rawAnswers.Answer => ({
  ...{ framing, body, ending: 'closes' },
});

/** Relays the answers of a scenario in each framing to each kind of caller, and checks what it reads. */
async function relayInAllForms(
  kind: trafficTypes.CallKind,
  answersIn: (framing: types.BodyFraming) => readonly rawAnswers.Answer[],
  check: (received: rawAnswers.Received, form: string) => void,
  framings = FRAMINGS,
): Promise<void> {
  for (const framing of framings) {
    for (const caller of rawAnswers.CALLER_KINDS) {
      const received = await relay({ kind, answers: answersIn(framing), caller });
      check(received, `answer framed by ${framing}, ${caller} caller`);
    }
  }
}

const cutOff = (
  framing: types.BodyFraming,
  cutAfter: number,
  ending: rawAnswers.Answer['ending'] = 'closes',
): rawAnswers.Answer => ({ framing, body: STREAM, cutAfter, ending });

void test.test('whole answers arrive in every framing', async () => {
  for (const [kind, body] of [
    ['stream', STREAM],
    ['idempotent', 'balance: 12'],
  ] as const) {
    await relayInAllForms(
      kind,
      (framing) => [whole(framing, body)],
      (received, form) => {
        assert.equal(received.body, body, form);
        assert.notEqual(received.end, 'aborted', form);
      },
    );
  }
});

// Guards against a stream that was cut off within an event and reaches its caller as if it were complete.
void test.test('a stream cut off within an event is aborted for its caller', async () => {
  await relayInAllForms(
    'stream',
    (framing) => [cutOff(framing, WITHIN_THIRD_EVENT)],
    (received, form) => {
      assert.deepEqual(received, { status: 200, body: TWO_EVENTS, end: 'aborted' }, form);
    },
  );
});

// Guards against a partial event that is joined with what the next upstream sends.
void test.test('a stream cut off within an event goes on elsewhere', async () => {
  await relayInAllForms(
    'stream',
    (framing) => [cutOff(framing, WITHIN_THIRD_EVENT), whole('chunked', EVENTS[2] ?? '')],
    (received, form) => {
      assert.equal(received.body, STREAM, form);
      assert.notEqual(received.end, 'aborted', form);
    },
  );
});

// Guards against a crash between two events that reaches the caller as the end of the stream.
void test.test('a stream whose upstream is gone at its end is aborted', async () => {
  await relayInAllForms(
    'stream',
    (framing) => [cutOff(framing, TWO_EVENTS.length, 'crashes')],
    (received, form) => {
      assert.deepEqual(received, { status: 200, body: TWO_EVENTS, end: 'aborted' }, form);
    },
  );
});

// Guards against a stream to a caller without a length or chunks, which a crash of the entry would end like a whole one.
void test.test('streams are sent to callers in chunks in whatever framing they come', async () => {
  for (const framing of FRAMINGS) {
    const received = await relay({ kind: 'stream', answers: [whole(framing, STREAM)], caller: 'keepAlive' });
    assert.deepEqual(received, { status: 200, body: STREAM, end: 'complete' }, framing);
  }
});

// Guards against a part of a plain answer that is given a length of its own, and so looks whole.
void test.test('a plain answer that only its connection ends is framed alike for its caller', async () => {
  await relayInAllForms(
    'nonIdempotent',
    () => [whole('connection', 'balance: 12')],
    (received, form) => {
      assert.deepEqual(received, { status: 200, body: 'balance: 12', end: 'closed' }, form);
    },
    ['connection'],
  );
});

// Guards against a crash that ends a plain answer in the ordinary way, and that its caller takes for the whole answer.
void test.test('a plain answer whose upstream is gone at its end is not passed on', async () => {
  await relayInAllForms(
    'nonIdempotent',
    (framing) => [{ framing, body: 'balance: 12', cutAfter: 4, ending: 'crashes' }],
    (received, form) => {
      assert.equal(received.status, 502, form);
      assert.equal(received.body, 'outcomeUnknown', form);
    },
  );
});
