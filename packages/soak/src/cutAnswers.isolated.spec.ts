/**
 * Upstreams that stop after any byte of their answers, before the real processes of the platform: no caller gets a part of an answer that
 * is framed as a whole one, directly, through another entry, or at an entry that drains meanwhile.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as kumquatfront from 'kumquatfront';
import * as platform from 'kumquatfront-platform';
import * as standIns from 'kumquatfront-stand-ins';

import * as malformedSystem from './malformedSystem.js';
import * as receivedAnswer from './receivedAnswer.js';
import * as sleep from './sleep.js';
import type * as unreadCall from './unreadCall.js';

const SEED = 78;

/** An entry that answers from its own connections, one whose calls are relayed through it, and one that drains now and then. */
const WAYS = ['direct', 'relayed', 'draining'] as const;
type Way = (typeof WAYS)[number];

const CALLS_AT_A_TIME = 16;

/** Tries of each cut: an upstream that has failed is left out for a while, and none may be left. */
const MAXIMUM_TRIES = 3;

/** Answers without a cut, for each form. */
const WHOLE_PLAYS = 6;

/** Number of drains, spread over the calls. */
const DRAINS = 2;

const { headers } = platform.httpNames;

/** An answer that is cut. */
interface Form {
  readonly route: 'fragile' | 'stream' | 'notes';
  readonly method: 'GET' | 'HEAD' | 'POST';
  readonly framing: kumquatfront.relayTypes.BodyFraming;
  readonly content: string;
}

const PLAIN = 'a sound answer';
const EVENTS = ['data: one\n\n', 'data: two\n\n'];

const FORMS: readonly Form[] = [
  { route: 'fragile', method: 'POST', framing: 'length', content: PLAIN },
  { route: 'fragile', method: 'GET', framing: 'chunked', content: PLAIN },
  { route: 'fragile', method: 'GET', framing: 'connection', content: PLAIN },
  { route: 'fragile', method: 'HEAD', framing: 'length', content: PLAIN },
  { route: 'stream', method: 'POST', framing: 'chunked', content: EVENTS.join('') },
  { route: 'stream', method: 'POST', framing: 'connection', content: EVENTS.join('') },
  { route: 'notes', method: 'POST', framing: 'chunked', content: EVENTS.join('') },
];

/** One call and the answer to it. */
interface Play {
  readonly form: Form;
  readonly attempt: string;
  readonly way: Way;
  readonly head: string;
  readonly bytes: string;
  readonly sentBytes: number;
  readonly answer: standIns.rawAnswerServer.RawAnswer;
}

function headOf({ framing, content }: Form, attempt: string): string {
  const lines = ['HTTP/1.1 200 OK', `${headers.attempt}: ${attempt}`, `${headers.signature}: s`];
  if (framing === 'length') {
    lines.push(`Content-Length: ${content.length}`);
  } else if (framing === 'chunked') {
    lines.push('Transfer-Encoding: chunked');
  }
  return `${lines.join('\r\n')}\r\n\r\n`;
}

function framedBodyOf({ method, framing, content }: Form): string {
  if (method === 'HEAD') {
    return '';
  }
  return framing === 'chunked'
    ? `${content.length.toString(16)};a=b\r\n${content}\r\n0\r\nX-Sum: 7\r\n\r\n`
    : content;
}

/** A play for each cut of each form, and some without a cut, in any order. */
function createPlays(random: kumquatfront.ports.Random): readonly Play[] {
  const pick = <Item>(items: readonly [Item, ...Item[]]): Item =>
    items[Math.floor(random.next() * items.length)] ?? items[0];
  const plays = FORMS.flatMap((form, formIndex) => {
    const attemptOf = (index: number): string => `cut-${formIndex}-${String(index).padStart(3, '0')}`;
    const length = headOf(form, attemptOf(0)).length + framedBodyOf(form).length;
    return Array.from({ length: length + WHOLE_PLAYS }, (_none, index): Play => {
      const attempt = attemptOf(index);
      const head = headOf(form, attempt);
      const bytes = head + framedBodyOf(form);
      const sentBytes = Math.min(index, bytes.length);
      const then = sentBytes === bytes.length ? 'end' : pick(['end', 'end', 'reset'] as const);
      const cuts = random.next() < 0.5 ? [] : [Math.floor(random.next() * sentBytes)];
      const answer = { bytes: bytes.slice(0, sentBytes), cuts, then, isEarly: random.next() < 0.3 };
      return { form, attempt, way: pick(WAYS), head, bytes, sentBytes, answer };
    });
  });
  const order = new Map(plays.map((play) => [play, random.next()]));
  return [...plays].sort((first, second) => (order.get(first) ?? 0) - (order.get(second) ?? 0));
}

/** Bodies that a caller may take for whole ones. */
function isWholeBody({ form, sentBytes, bytes, head }: Play, body: string): boolean {
  if (form.method === 'HEAD') {
    return sentBytes >= head.length;
  }
  if (form.framing !== 'connection') {
    return sentBytes === bytes.length && body === form.content;
  }
  // Nothing but its connection ends such a stream; between two events nobody can tell that a living upstream has cut it.
  const sentContent = form.content.slice(0, Math.max(0, sentBytes - head.length));
  return form.route === 'stream' && body === sentContent && /^(?:data: \w+\n\n)*$/.test(body);
}

/** What a caller may not have received; undefined if there is nothing. */
function problemOf(play: Play, { bytes, end }: standIns.rawCaller.RawResult): string | undefined {
  const { form, head, sentBytes, way, answer } = play;
  if (end === 'open') {
    return 'the connection was not closed';
  }
  if (bytes === '') {
    return way === 'draining' ? undefined : 'no answer';
  }
  const received = receivedAnswer.parse(bytes, form.method);
  if (received?.status !== 200) {
    return undefined;
  }
  const { fields, body } = received;
  const isFramed = fields.has('content-length') || fields.has('transfer-encoding') || form.method === 'HEAD';
  if (isFramed) {
    return isWholeBody(play, body) ? undefined : `the body ${JSON.stringify(body)} as a whole one`;
  }
  if (end === 'reset') {
    return undefined;
  }
  const isKnownEnd = form.framing === 'connection' && sentBytes >= head.length && answer.then === 'end';
  return isKnownEnd ? undefined : `the body ${JSON.stringify(body)} with the end of the connection`;
}

// Guards against a 200 with an empty or short body, framed as whole, when an upstream stops within its head or its body.
void test.test('no part of an answer reaches a caller as a whole one', async () => {
  const plays = createPlays(kumquatfront.seededRandom.create(SEED));
  const byAttempt = new Map(plays.map((play) => [play.attempt, play]));
  const none: standIns.rawAnswerServer.RawAnswer = { bytes: '', then: 'reset' };
  const answerTo = (attempt: string): standIns.rawAnswerServer.RawAnswer =>
    byAttempt.get(attempt)?.answer ?? none;
  const system = await malformedSystem.MalformedSystem.start(answerTo, [], WAYS.length);
  try {
    await system.cutSecondEntry();
    const [direct, relayed, draining] = system.entries;
    assert.ok(direct && relayed && draining);
    const entryOf = { direct, relayed, draining };
    const processIds = [direct.processId, relayed.processId];
    const failures: string[] = [];
    const answered = new Set<Form>();
    const drainAt = new Set(
      Array.from({ length: DRAINS }, (_none, index) =>
        Math.floor(((index + 1) * plays.length) / (DRAINS + 1)),
      ),
    );
    const run = async (play: Play): Promise<void> => {
      const { form, attempt, way, bytes, sentBytes } = play;
      const body = form.method === 'POST' ? 'x'.repeat(1_000) : '';
      const call = { method: form.method, path: `/${form.route}/x`, attempt, body, pause: 3 };
      for (let tries = 0; tries < MAXIMUM_TRIES && !system.upstreams.arrived.has(attempt); tries += 1) {
        const result = await system.call(entryOf[way], call);
        const problem = problemOf(play, result);
        if (problem !== undefined) {
          failures.push(`${problem}: ${JSON.stringify({ form, way, sentBytes, of: bytes.length, result })}`);
        }
        if (sentBytes === bytes.length && result.bytes.startsWith('HTTP/1.1 200 ')) {
          answered.add(form);
        }
      }
    };
    const pending = plays.entries();
    const runLane = async (): Promise<void> => {
      for (const [index, play] of pending) {
        if (drainAt.has(index)) {
          draining.signal('SIGTERM');
        }
        await run(play);
      }
    };
    await Promise.all(Array.from({ length: CALLS_AT_A_TIME }, runLane));
    assert.deepEqual(failures.slice(0, 5), []);
    assert.deepEqual([direct.processId, relayed.processId], processIds, 'a process has ended');
    const read = plays.filter(({ attempt }) => system.upstreams.arrived.has(attempt)).length;
    assert.ok(read >= plays.length / 2, `${read} of ${plays.length} answers were read`);
    const unanswered = FORMS.filter((form) => !answered.has(form));
    assert.deepEqual(unanswered, [], 'forms without a whole answer');
    assert.ok(await system.isServing(direct));
    assert.ok(await system.isServing(relayed));
  } finally {
    system.stop();
  }
});

/** Grace of the entries in the test below, and time until their processes are killed: no machine is so slow that it is not over by then. */
const STOP_GRACE_SECONDS = 1;
const KILL_AFTER_MS = 4_000;

/** Less than the largest answer that is relayed, and more than the kernel takes for a caller that does not read. */
const UNREAD_BYTES = 7 * 1024 * 1024;

/** An entry near the limit of its memory refuses more of them. */
const UNREAD_CALLS = 2;

/** Tries to reach an upstream, and time for its whole answer, in milliseconds. */
const MAXIMUM_UNREAD_TRIES = 20;
const ANSWER_WAIT_MS = 500;

// Guards against a part of an answer that its caller takes for a whole one when the process of a drained entry is killed.
void test.test('an answer that is not read before an entry is killed is no whole one', async () => {
  const body = 'x'.repeat(UNREAD_BYTES);
  const answerTo = (attempt: string): standIns.rawAnswerServer.RawAnswer => ({
    bytes: `HTTP/1.1 200 OK\r\n${headers.attempt}: ${attempt}\r\n${headers.signature}: s\r\n\r\n${body}`,
    then: 'end',
  });
  const settings = { stopGraceSeconds: STOP_GRACE_SECONDS };
  const system = await malformedSystem.MalformedSystem.start(answerTo, [], 1, settings);
  try {
    const [entry] = system.entries;
    assert.ok(entry);
    const calls: unreadCall.UnreadCall[] = [];
    for (let count = 0; calls.length < UNREAD_CALLS && count < MAXIMUM_UNREAD_TRIES; count += 1) {
      const attempt = `unread-${count}`;
      const call = system.open(entry, { method: 'GET', path: '/fragile/x', attempt });
      // One answer at a time is held until it is complete.
      await sleep.forMilliseconds(ANSWER_WAIT_MS);
      if (system.upstreams.arrived.has(attempt)) {
        calls.push(call);
      }
    }
    assert.equal(calls.length, UNREAD_CALLS);
    entry.signal('SIGTERM');
    await sleep.forMilliseconds(KILL_AFTER_MS);
    entry.signal('SIGKILL');
    const results = await Promise.all(calls.map(({ read }) => read()));
    const parts = results.map(({ bytes, wasReset }) => ({
      hasBegun: bytes.startsWith('HTTP/1.1 200 '),
      isPart: bytes.length < UNREAD_BYTES,
      wasReset,
    }));
    assert.deepEqual(
      parts,
      calls.map(() => ({ hasBegun: true, isPart: true, wasReset: true })),
    );
  } finally {
    system.stop();
  }
});
