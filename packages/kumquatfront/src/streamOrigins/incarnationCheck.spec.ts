/**
 * Streams with events go on only at the process that was announced.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as relayTestHarness from '../relay/relayTestHarness.js';
import type * as relayTypes from '../relay/types.js';
import * as incarnationCheck from './incarnationCheck.js';

const BORN = 1_700_000_000_000;
const REPORT_TIME = 40;

interface Played {
  readonly asked: readonly string[];
  readonly events: readonly string[];
}

/** Plays a call to an upstream that reports a start time. */
function play(
  reported: number | undefined,
  changes: Partial<relayTypes.UpstreamCall>,
  cancelAfter = Number.POSITIVE_INFINITY,
  pausedFrom?: number,
): Played {
  const harness = new relayTestHarness.RelayTestHarness(['a']);
  const { instances, timers } = harness.context;
  const instance = instances.get('a');
  assert.ok(instance);
  const { request } = harness.createRoutedRequest('stream');
  const asked: string[] = [];
  const events: string[] = [];
  const upstreams: relayTypes.UpstreamPort = {
    ...harness.context.upstreams,
    readStartTime: (address, done) => {
      asked.push(address);
      timers.after(REPORT_TIME, () => {
        done(reported);
      });
    },
  };
  const origin = { service: 'llm', software: 'version v1' };
  const exchange = incarnationCheck.run(
    { upstreams, timers },
    {
      ...{ request, instance: { ...instance, born: BORN }, timeLeft: 1_000, isStream: true },
      ...{ origin, lastEvent: '7', ...changes },
    },
    {
      proceed: ({ timeLeft }) => {
        events.push(`sent with ${timeLeft} ms`);
        return {
          cancel: () => events.push('cancelled'),
          pause: () => events.push('paused'),
          resume: () => events.push('resumed'),
        };
      },
      replaced: () => events.push('replaced'),
    },
  );
  if (pausedFrom !== undefined) {
    timers.after(pausedFrom, exchange.pause);
  }
  timers.after(Math.min(cancelAfter, 1_000), () => {
    exchange.cancel();
  });
  harness.time.advance(cancelAfter === Number.POSITIVE_INFINITY ? 500 : 1_000);
  return { asked, events };
}

// Guards against a stream that goes on at other software: an upstream that starts again under its name is listed as the former one.
void test.test('a stream with events is not sent to a process that was started later', () => {
  const { asked, events } = play(BORN + 1, {});
  assert.equal(asked.length, 1);
  assert.deepEqual(events, ['replaced']);
});

void test.test(
  'a stream with events is sent to the process that was announced, with the time that is left',
  () => {
    assert.deepEqual(play(BORN, {}).events, [`sent with ${1_000 - REPORT_TIME} ms`]);
  },
);

// Guards against streams that end because an upstream has no report, or is slow to send it.
void test.test('a stream with events is sent to a process that does not tell', () => {
  assert.deepEqual(play(undefined, {}).events, [`sent with ${1_000 - REPORT_TIME} ms`]);
});

// Guards against a run for a caller that has left.
void test.test('a call that is cancelled during the check is not sent', () => {
  assert.deepEqual(play(BORN, {}, REPORT_TIME / 2).events, []);
  assert.deepEqual(play(BORN + 1, {}, REPORT_TIME / 2).events, []);
  assert.deepEqual(play(BORN, {}, 2 * REPORT_TIME).events, [
    `sent with ${1_000 - REPORT_TIME} ms`,
    'cancelled',
  ]);
});

// Guards against a stream that is read although its caller still waits.
void test.test('a pause during the check holds for the call', () => {
  assert.deepEqual(play(BORN, {}, Number.POSITIVE_INFINITY, REPORT_TIME / 2).events, [
    `sent with ${1_000 - REPORT_TIME} ms`,
    'paused',
  ]);
});

void test.test('no other call waits for the check', () => {
  const copy = { address: '10.0.0.9:80', handle: 'h' };
  for (const changes of [{ origin: undefined, lastEvent: undefined }, { lastEvent: undefined }, { copy }]) {
    const { asked, events } = play(BORN + 1, changes);
    assert.deepEqual([asked, events], [[], ['sent with 1000 ms']]);
  }
});
