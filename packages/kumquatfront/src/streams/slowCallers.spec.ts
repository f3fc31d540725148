/**
 * Generations whose callers take less than their engines send: the engine waits, is not blamed for it, and does not run for a caller that
 * takes nothing.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as defaultConfig from '../settings/defaultConfig.js';
import * as timerService from '../kernel/timerService.js';
import * as virtualTime from '../kernel/virtualTime.js';
import * as generationRelay from './generationRelay.js';
import type * as types from './types.js';

interface OpenedConnection {
  readonly kind: string;
  readonly listener: types.GenerationListener;
  isPaused: boolean;
  isClosed: boolean;
  /** Called when the connection is read again. */
  onResume: () => void;
}

/** A relay on virtual time whose caller takes no more after its first token. */
class SlowCallerHarness {
  readonly time = new virtualTime.VirtualTime();
  readonly events: string[] = [];
  readonly connections: OpenedConnection[] = [];
  takesMore = false;
  taken = 0;
  readonly relay: generationRelay.GenerationRelay;

  constructor(mayRestart = false) {
    const open = (kind: string, listener: types.GenerationListener): types.GenerationConnection => {
      const opened: OpenedConnection = {
        kind,
        listener,
        isPaused: false,
        isClosed: false,
        onResume: () => undefined,
      };
      this.connections.push(opened);
      return {
        pause: () => (opened.isPaused = true),
        resume: () => {
          opened.isPaused = false;
          opened.onResume();
        },
        close: () => (opened.isClosed = true),
      };
    };
    const record = (text: string): void => {
      this.events.push(text);
    };
    this.relay = new generationRelay.GenerationRelay({
      requestId: 'r',
      request: { path: '/v1/completions', body: '{}', priority: 1 },
      mayRestart,
      engines: {
        start: (_target, { generation }, listener) => open(`start ${generation}`, listener),
        resume: (_target, generation, from, listener) => open(`resume ${generation} from ${from}`, listener),
        cancel: (_target, generation) => {
          record(`cancel ${generation}`);
        },
      },
      timers: timerService.create(this.time.clock, this.time),
      settings: defaultConfig.entryDefaults.relay,
      caller: {
        connection: {
          takenBytes: () => this.taken,
          abort: () => {
            record('abort');
          },
        },
        sendAccepted: () => undefined,
        sendToken: (_token, index) => {
          record(String(index));
          return this.takesMore;
        },
        sendRestart: () => {
          record('restart');
        },
        complete: (count) => {
          record(`ended ${count}`);
        },
        refuse: ({ kind }) => {
          record(kind);
        },
      },
      host: {
        requestPlacement: (_exclude, done) => {
          done({ type: 'granted', upstream: { announcement: { name: 'e', address: 'http://e' } } as never });
          return () => undefined;
        },
        issueTokenPrefix: () => 'token',
        mayRetry: () => true,
        onProgress: () => undefined,
        onReleased: (_upstream, _produced, reason) => {
          record(`released ${reason}`);
        },
        onStall: () => undefined,
        onEventDiscarded: () => undefined,
        otherEntries: () => [],
        onFinished: () => {
          record('finished');
        },
      },
    });
    this.relay.start();
    this.connection(0).listener.onAccepted();
    this.connection(0).listener.onToken('r.1', 0, 'a');
  }

  connection(position: number): OpenedConnection {
    return this.connections[position] ?? assert.fail(`connection ${position + 1} was not opened`);
  }

  /** Lets the caller take a byte now and then. */
  advanceWithProgress(duration: number): void {
    for (let passed = 0; passed < duration; passed += 1_000) {
      this.taken += 1;
      this.time.advance(1_000);
    }
  }

  drain(): void {
    this.takesMore = true;
    this.relay.onDrain();
  }
}

// Guards against tokens that wait in the memory of the entry, and against a generation that never goes on.
void test.test('an engine waits until its caller has drained', () => {
  const harness = new SlowCallerHarness();
  assert.equal(harness.connection(0).isPaused, true);
  harness.drain();
  assert.equal(harness.connection(0).isPaused, false);
  harness.connection(0).listener.onToken('r.1', 1, 'b');
  harness.connection(0).listener.onCompleted('r.1', 2);
  assert.deepEqual(harness.events, ['0', '1', 'released whole', 'ended 2', 'finished']);
});

// Guards against a generation that occupies its engine for a caller that does not read.
void test.test('a caller that takes nothing for 20 s is let go, and its generation is cancelled', () => {
  const harness = new SlowCallerHarness();
  harness.time.advance(19_000);
  assert.deepEqual(harness.events, ['0']);
  harness.time.advance(1_000);
  assert.deepEqual(harness.events, ['0', 'abort']);
  assert.equal(harness.connection(0).isClosed, true);
  harness.time.advance(defaultConfig.entryDefaults.relay.resumeGrace);
  assert.deepEqual(harness.events, ['0', 'abort', 'cancel r.1', 'released callerGone', 'finished']);
});

// Guards against a bound on the pace of a caller, and against a watch that outlives its pause.
void test.test('a caller that reads slowly is kept, and so is one that has drained', () => {
  const harness = new SlowCallerHarness();
  harness.advanceWithProgress(60_000);
  harness.drain();
  harness.connection(0).listener.onToken('r.1', 1, 'b');
  for (let silence = 0; silence < 30_000; silence += 1_000) {
    harness.time.advance(1_000);
    harness.connections.at(-1)?.listener.onAccepted();
  }
  assert.deepEqual(harness.events, ['0', '1']);
});

// Guards against an engine that is taken for silent because its caller has taken nothing.
void test.test('a pause does not count as silence of the engine', () => {
  const harness = new SlowCallerHarness();
  harness.advanceWithProgress(70_000);
  assert.equal(harness.connections.length, 1);
  harness.drain();
  harness.time.advance(2_500);
  assert.equal(harness.connections.at(-1)?.kind, 'resume r.1 from 1');
  assert.deepEqual(harness.events, ['0']);
});

// Guards against an engine that is taken for silent while this entry does not read it.
void test.test('time in which the entry does not read a generation is no silence of its engine', () => {
  const harness = new SlowCallerHarness();
  harness.drain();
  const { listener } = harness.connection(0);
  listener.onHeld?.(true);
  harness.time.advance(70_000);
  assert.equal(harness.connections.length, 1);
  listener.onHeld?.(false);
  harness.time.advance(2_500);
  assert.equal(harness.connections.at(-1)?.kind, 'resume r.1 from 1');
  assert.deepEqual(harness.events, ['0']);
});

// Guards against a drain that takes the timer of a lost connection for that of a silent one.
void test.test('a connection that was lost during a pause is opened again, whatever its caller takes', () => {
  const harness = new SlowCallerHarness();
  harness.connection(0).listener.onFailed('broken', 'reset');
  harness.drain();
  harness.time.advance(1);
  assert.equal(harness.connection(1).kind, 'resume r.1 from 1');
});

// Guards against a drain that puts off the new connection behind one whose end was read before the pause, or places the generation twice.
void test.test('a connection that ends when it is read again is opened again at once', () => {
  const harness = new SlowCallerHarness();
  const first = harness.connection(0);
  first.onResume = () => {
    first.listener.onFailed('broken', 'reset');
  };
  harness.drain();
  harness.time.advance(1);
  assert.equal(harness.connections.length, 2);
  assert.equal(harness.connection(1).kind, 'resume r.1 from 1');
});

// Guards against a second engine that sends all it has to a caller that still waits.
void test.test('an engine that follows during a pause is read until its first token', () => {
  const harness = new SlowCallerHarness(true);
  harness.connection(0).listener.onFailed('unknownGeneration', '');
  const second = harness.connection(1);
  second.listener.onAccepted();
  assert.equal(second.isPaused, false);
  second.listener.onToken('r.2', 0, 'A');
  assert.equal(second.isPaused, true);
  harness.drain();
  assert.equal(second.isPaused, false);
});

// Guards against a watch that ends the connection of a caller whose stream was complete.
void test.test('a caller whose stream has ended is not let go', () => {
  const harness = new SlowCallerHarness();
  harness.connection(0).listener.onCompleted('r.1', 1);
  harness.time.advance(60_000);
  assert.deepEqual(harness.events, ['0', 'released whole', 'ended 1', 'finished']);
});
