/**
 * Tests the generation relay against an engine that sends wrong, late and repeated events.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as timerService from '../kernel/timerService.js';
import * as generationRelay from './generationRelay.js';
import type * as types from './types.js';

/** Runs a relay with a manually driven engine and records the events its caller receives. */
class GenerationRelayTestHarness {
  readonly callerEvents: string[] = [];
  readonly connections: { readonly kind: string; readonly listener: types.GenerationListener }[] = [];
  readonly releases: string[] = [];
  readonly cancelled: string[] = [];
  readonly messages: string[] = [];
  timersSet = 0;
  /** Called for each token that the caller is sent. */
  onSent: () => void = () => undefined;
  discardedEvents = 0;
  /** Grants the requested placement; called immediately unless `grantsImmediately` is false. */
  grantPlacement: () => void = () => undefined;
  readonly relay: generationRelay.GenerationRelay;

  constructor(mayRestart = false, grantsImmediately = true) {
    const open = (kind: string) => (listener: types.GenerationListener) => {
      this.connections.push({ kind, listener });
      return { pause: () => undefined, resume: () => undefined, close: () => undefined };
    };
    const clock = { now: () => 0, wall: () => 0 };
    const announcement = { name: 'e1', address: 'http://e1' };
    this.relay = new generationRelay.GenerationRelay({
      requestId: 'r',
      request: { path: '/v1/completions', body: '{}', priority: 1 },
      mayRestart,
      engines: {
        start: (_target, request, listener) => open(`start ${request.generation}`)(listener),
        resume: (_target, generation, from, listener) => open(`resume ${generation} from ${from}`)(listener),
        cancel: (_target, generation) => {
          this.cancelled.push(generation);
        },
      },
      timers: timerService.create(clock, {
        after: () => {
          this.timersSet += 1;
          return () => undefined;
        },
      }),
      settings: {
        stallTimeout: 1,
        openTimeout: 1,
        silenceLimit: 9,
        resumePause: 0,
        resumeGrace: 1,
        resumeLimit: 2,
        generationLimit: 3,
      },
      caller: {
        sendAccepted: () => undefined,
        sendToken: (_token, index) => {
          this.callerEvents.push(String(index));
          this.onSent();
          return true;
        },
        sendRestart: () => {
          this.callerEvents.push('restart');
        },
        complete: (count) => {
          this.callerEvents.push(`ended ${count}`);
        },
        refuse: (refusal) => {
          this.callerEvents.push(refusal.kind);
          this.messages.push(refusal.message);
        },
      },
      host: {
        requestPlacement: (_exclude, done) => {
          this.grantPlacement = () => {
            done({ type: 'granted', upstream: { announcement } as never });
          };
          if (grantsImmediately) {
            this.grantPlacement();
          }
          return () => undefined;
        },
        issueTokenPrefix: () => 'token',
        mayRetry: () => true,
        onProgress: () => undefined,
        onReleased: (upstream, _produced, reason) => {
          this.releases.push(`${upstream} ${reason}`);
        },
        onStall: () => undefined,
        onEventDiscarded: () => {
          this.discardedEvents += 1;
        },
        otherEntries: () => [],
        onFinished: () => undefined,
      },
    });
    this.relay.start();
  }

  listener(position: number): types.GenerationListener {
    const found = this.connections[position]?.listener;
    assert.ok(found);
    return found;
  }
}

// Guards against forwarding tokens of another generation or tokens that were already relayed.
void test.test('tokens of another generation and repeated tokens are discarded', () => {
  const harness = new GenerationRelayTestHarness();
  const engine = harness.listener(0);
  engine.onAccepted();
  engine.onToken('r.1', 0, 'a');
  engine.onToken('other.1', 1, 'x');
  engine.onToken('r.1', 0, 'a');
  engine.onToken('r.1', 1, 'b');
  engine.onCompleted('other.1', 1);
  engine.onCompleted('r.1', 2);
  assert.deepEqual(harness.callerEvents, ['0', '1', 'ended 2']);
  assert.equal(harness.discardedEvents, 3);
});

// Guards against lost tokens: a token is missing in the stream, or the end arrives before the last token.
void test.test('a gap is filled by resuming from the missing index', () => {
  const harness = new GenerationRelayTestHarness();
  harness.listener(0).onToken('r.1', 0, 'a');
  harness.listener(0).onToken('r.1', 2, 'c');
  assert.equal(harness.connections[1]?.kind, 'resume r.1 from 1');
  harness.listener(1).onToken('r.1', 1, 'b');
  harness.listener(1).onCompleted('r.1', 3);
  assert.equal(harness.connections[2]?.kind, 'resume r.1 from 2');
  harness.listener(2).onToken('r.1', 2, 'c');
  harness.listener(2).onCompleted('r.1', 3);
  assert.deepEqual(harness.callerEvents, ['0', '1', '2', 'ended 3']);
});

// Guards against late events of a lost generation after the request was restarted on another engine.
void test.test('late events of a discarded generation do not reach the caller', () => {
  const harness = new GenerationRelayTestHarness(true);
  harness.listener(0).onToken('r.1', 0, 'a');
  harness.listener(0).onFailed('unknownGeneration', '');
  harness.listener(1).onToken('r.2', 0, 'A');
  harness.listener(0).onToken('r.1', 1, 'b');
  harness.listener(0).onCompleted('r.1', 2);
  harness.listener(1).onToken('r.1', 1, 'b');
  harness.listener(1).onCompleted('r.2', 1);
  assert.deepEqual(harness.callerEvents, ['0', 'restart', '0', 'ended 1']);
});

void test.test('an engine that accepts but repeatedly makes no progress is abandoned', () => {
  const harness = new GenerationRelayTestHarness();
  harness.listener(0).onToken('r.1', 0, 'a');
  harness.listener(0).onToken('r.1', 5, 'f');
  harness.listener(1).onAccepted();
  harness.listener(1).onToken('r.1', 5, 'f');
  harness.listener(2).onToken('r.1', 5, 'f');
  assert.deepEqual(harness.callerEvents, ['0', 'interrupted']);
});

// Guards against a placement that counts as running indefinitely because its caller disconnected in the queue.
void test.test('a placement granted after the caller disconnected is released', () => {
  const harness = new GenerationRelayTestHarness(false, false);
  harness.relay.onCallerDisconnect();
  harness.grantPlacement();
  assert.equal(harness.connections.length, 0);
  assert.deepEqual(harness.releases, ['e1 callerGone']);
});

// Guards against an engine that goes on for nobody, and a relay that still waits for it.
void test.test('an answer that is given up cancels its generation and tells the caller why', () => {
  const harness = new GenerationRelayTestHarness();
  harness.listener(0).onAccepted();
  harness.onSent = () => {
    harness.relay.giveUpAnswer('it is too long');
  };
  const { timersSet } = harness;
  harness.listener(0).onToken('r.1', 0, 'a');
  harness.listener(0).onToken('r.1', 1, 'b');
  harness.relay.giveUpAnswer('it is too long');
  harness.relay.onCallerDisconnect();
  assert.deepEqual(harness.callerEvents, ['0', 'interrupted']);
  assert.deepEqual(harness.messages, ['The answer was given up: it is too long.']);
  assert.deepEqual(harness.cancelled, ['r.1']);
  assert.deepEqual(harness.releases, ['e1 failure']);
  assert.equal(harness.timersSet, timersSet);
});

// Guards against an engine that is released twice: it would seem less loaded than it is.
void test.test('an answer that is given up between two engines releases neither again', () => {
  const harness = new GenerationRelayTestHarness(true, false);
  harness.grantPlacement();
  harness.listener(0).onToken('r.1', 0, 'a');
  harness.listener(0).onFailed('unknownGeneration', '');
  harness.relay.giveUpAnswer('it is too long');
  assert.deepEqual(harness.releases, ['e1 failure']);
  assert.deepEqual(harness.callerEvents, ['0', 'interrupted']);
});
