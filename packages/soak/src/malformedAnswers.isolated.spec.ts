/**
 * Upstreams whose answers are malformed, before the real processes of the platform: no process ends, and no caller gets such an answer.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fastCheck from 'fast-check';
import * as platform from 'kumquatfront-platform';
import * as standIns from 'kumquatfront-stand-ins';

import * as answerArbitrary from './answerArbitrary.js';
import * as malformedSystem from './malformedSystem.js';
import * as receivedAnswer from './receivedAnswer.js';
import * as sleep from './sleep.js';

const PROPERTY = { numRuns: 400, seed: 75 };

/** Time left of a call whose upstream may stay silent, in milliseconds. */
const SHORT_TIME_LEFT_MS = 2_500;

/** Calls of the property test that are open at a time. */
const CALLS_AT_A_TIME = 8;

/** Tries to reach an upstream, which is left out for a while after a malformed answer. */
const MAXIMUM_TRIES = 40;
const TRY_INTERVAL_MS = 250;

const { headers } = platform.httpNames;

function soundFields(attempt: string): string {
  return `${headers.attempt}: ${attempt}\r\n${headers.signature}: s\r\n`;
}

/** Answers by the attempt that they are sent to. */
type Answers = Map<string, standIns.rawAnswerServer.RawAnswer>;

async function withSystem(
  nodeOptions: readonly string[],
  run: (system: malformedSystem.MalformedSystem, answers: Answers) => Promise<void>,
): Promise<void> {
  const answers: Answers = new Map();
  const none: standIns.rawAnswerServer.RawAnswer = { bytes: '', then: 'reset' };
  const system = await malformedSystem.MalformedSystem.start(
    (attempt) => answers.get(attempt) ?? none,
    nodeOptions,
  );
  const { processIds } = system;
  try {
    await run(system, answers);
    assert.deepEqual(system.processIds, processIds, 'a process has ended');
    for (const entry of system.entries) {
      assert.ok(await system.isServing(entry), `${entry.name} serves others`);
    }
  } finally {
    system.stop();
  }
}

/** Sends a call until it has reached an upstream. */
async function callUntilArrived(
  system: malformedSystem.MalformedSystem,
  answers: Answers,
  route: string,
  { method = 'GET', bytes }: Omit<standIns.malformedAnswers.MalformedAnswer, 'fault'>,
): Promise<standIns.rawCaller.RawResult> {
  const [entry] = system.entries;
  assert.ok(entry);
  for (let count = 0; count < MAXIMUM_TRIES; count += 1) {
    const attempt = `${route}-${answers.size}`;
    answers.set(attempt, { bytes: bytes(soundFields(attempt)), then: 'end' });
    const result = await system.call(entry, { method, path: `/${route}/x`, attempt });
    if (system.upstreams.arrived.has(attempt)) {
      return result;
    }
    await sleep.forMilliseconds(TRY_INTERVAL_MS);
  }
  throw new Error('No upstream was sent the call.');
}

/** A refusal of the system itself, in time. */
function assertRefused({ bytes, milliseconds }: standIns.rawCaller.RawResult, method: string): void {
  const received = receivedAnswer.parse(bytes, method);
  assert.ok(received !== undefined, `no answer: ${JSON.stringify(bytes)}`);
  assert.ok([502, 503].includes(received.status), `status ${received.status}`);
  assert.equal(received.fields.get(headers.signature), undefined);
  assert.ok(milliseconds < malformedSystem.TIME_LEFT_MS / 2, `after ${Math.round(milliseconds)} ms`);
}

const parsers = [
  { parser: 'the parser as it is', nodeOptions: [] },
  // The environment of a process may loosen its parser, which then passes on names and values that no answer may have.
  { parser: 'a lenient parser', nodeOptions: ['--insecure-http-parser'] },
] as const;

for (const { parser, nodeOptions } of parsers) {
  // Guards against a process that ends, and cuts all that it serves, for one head of one upstream.
  void test.test(`malformed heads are refused, with ${parser}`, async () => {
    await withSystem(nodeOptions, async (system, answers) => {
      const failures: string[] = [];
      for (const malformed of standIns.malformedAnswers.all) {
        for (const route of ['fragile', 'stream']) {
          const result = await callUntilArrived(system, answers, route, malformed);
          try {
            assertRefused(result, malformed.method ?? 'GET');
          } catch (error) {
            failures.push(`${route}, ${malformed.fault}: ${error instanceof Error ? error.message : ''}`);
          }
        }
      }
      assert.deepEqual(failures, []);
    });
  });
}

// Guards against refusing what HTTP allows, however it is cut.
void test.test('sound heads are passed on', async () => {
  await withSystem([], async (system, answers) => {
    const sound: readonly (readonly [string, string])[] = [
      ['HTTP/1.1 200 \r\n', 'Content-Length: 5\r\n\r\nsound'],
      ['HTTP/1.1 200\r\n', 'Content-Length: 5\r\nX-Odd:\r\n\r\nsound'],
      ['HTTP/1.0 200 OK\r\n', '\r\nsound'],
      [
        'HTTP/1.1 200 Gar\xe7on\r\n',
        'X-Odd: \xe4\t\x80\r\nTransfer-Encoding: Chunked\r\n\r\n5;a=b\r\nsound\r\n0\r\n\r\n',
      ],
      ['HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n', 'Content-Length: 5\r\n\r\nsound'],
      [
        'HTTP/1.1 299 Odd\r\n',
        `${'X-Odd: a\r\n'.repeat(400)}Content-Length: 5\r\n\r\nsoundHTTP/1.1 200 OK\r\n\r\nmore`,
      ],
    ];
    for (const [start, rest] of sound) {
      const bytes = (fields: string): string => `${start}${fields}${rest}`;
      const { bytes: received } = await callUntilArrived(system, answers, 'fragile', { bytes });
      assert.equal(receivedAnswer.parse(received, 'GET')?.body, 'sound', `${start}${rest}`.slice(0, 80));
    }
  });
});

// Guards against the head that nobody has thought of: cut anywhere, early, cancelled, or relayed through another entry.
void test.test(
  'no head ends a process, hangs, or reaches a caller as something that is no answer',
  async () => {
    await withSystem([], async (system, answers) => {
      await system.cutSecondEntry();
      const { processIds } = system;
      const failures: string[] = [];
      const play = async (played: answerArbitrary.PlayedAnswer, index: number): Promise<void> => {
        const attempt = `any-${index}`;
        const answer = answerArbitrary.toAnswer(played, soundFields(attempt));
        answers.set(attempt, answer);
        const entry = system.entries[played.isRelayed ? 1 : 0];
        assert.ok(entry);
        const { method, leavesAfter } = played;
        const body = ['GET', 'HEAD'].includes(method) ? '' : 'x'.repeat(played.requestBytes);
        const path = `/${played.route}/x`;
        const timeLeft = answer.then === 'stayOpen' ? SHORT_TIME_LEFT_MS : malformedSystem.TIME_LEFT_MS;
        const call = { method, path, attempt, body, pause: 3, leavesAfter, timeLeft };
        const result = await system.call(entry, call);
        const problem =
          leavesAfter === undefined ? receivedAnswer.problemOf(result, method, answer.then) : undefined;
        if (problem !== undefined || system.processIds.join() !== processIds.join()) {
          failures.push(`${problem ?? 'a process has ended'}: ${JSON.stringify({ played, result })}`);
        }
      };
      const all = fastCheck.sample(answerArbitrary.played, PROPERTY);
      const indexes = all.keys();
      await Promise.all(
        Array.from({ length: CALLS_AT_A_TIME }, async () => {
          for (const index of indexes) {
            const played = all[index];
            if (played !== undefined) {
              await play(played, index);
            }
          }
        }),
      );
      assert.deepEqual(failures.slice(0, 3), []);
      const read = [...answers.keys()].filter((attempt) => system.upstreams.arrived.has(attempt)).length;
      assert.ok(read >= all.length / 2, `${read} of ${all.length} answers were read`);
    });
  },
);
