/**
 * The relay against an engine that says wrong things at the wrong time.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as timerService from '../kernel/timerService.js';
import * as generationRelay from './generationRelay.js';
import type * as types from './types.js';

/** A relay with a hand-driven engine, and what its caller got. */
class Bench {
  readonly got: string[] = [];
  readonly opened: { readonly kind: string; readonly listener: types.GenerationListener }[] = [];
  readonly left: string[] = [];
  dropped = 0;
  /** Gives the place that was asked for; at once unless told otherwise. */
  grant: () => void = () => undefined;
  readonly relay: generationRelay.GenerationRelay;

  constructor(mayRestart = false, grantsAtOnce = true) {
    const open = (kind: string) => (listener: types.GenerationListener) => {
      this.opened.push({ kind, listener });
      return { pause: () => undefined, resume: () => undefined, close: () => undefined };
    };
    const clock = { now: () => 0, wall: () => 0 };
    const announcement = { name: 'e1', address: 'http://e1' };
    this.relay = new generationRelay.GenerationRelay({
      requestId: 'r',
      order: { path: '/v1/completions', body: '{}', priority: 1 },
      mayRestart,
      engines: {
        start: (_target, order, listener) => open(`start ${order.generation}`)(listener),
        resume: (_target, generation, from, listener) => open(`resume ${generation} from ${from}`)(listener),
        cancel: () => undefined,
      },
      timers: timerService.create(clock, { after: () => () => undefined }),
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
        accepted: () => undefined,
        token: (_token, index) => {
          this.got.push(String(index));
          return true;
        },
        restarted: () => {
          this.got.push('restart');
        },
        ended: (count) => {
          this.got.push(`ended ${count}`);
        },
        refused: (refusal) => {
          this.got.push(refusal.kind);
        },
      },
      host: {
        place: (_exclude, done) => {
          this.grant = () => {
            done({ type: 'granted', upstream: { announcement } as never });
          };
          if (grantsAtOnce) {
            this.grant();
          }
          return () => undefined;
        },
        issueToken: () => 'token',
        mayRetry: () => true,
        progressed: () => undefined,
        left: (upstream, _produced, reason) => {
          this.left.push(`${upstream} ${reason}`);
        },
        stalled: () => undefined,
        dropped: () => {
          this.dropped += 1;
        },
        otherEntries: () => [],
        finished: () => undefined,
      },
    });
    this.relay.start();
  }

  listener(position: number): types.GenerationListener {
    const found = this.opened[position]?.listener;
    assert.ok(found);
    return found;
  }
}

// The engine crosses two streams and repeats itself: tokens of another generation and tokens that were relayed
// already come in between. The caller sees neither, and loses nothing.
void test.test('tokens of another generation and repeated tokens are dropped', () => {
  const bench = new Bench();
  const engine = bench.listener(0);
  engine.opened();
  engine.token('r.1', 0, 'a');
  engine.token('other.1', 1, 'x');
  engine.token('r.1', 0, 'a');
  engine.token('r.1', 1, 'b');
  engine.ended('other.1', 1);
  engine.ended('r.1', 2);
  assert.deepEqual(bench.got, ['0', '1', 'ended 2']);
  assert.equal(bench.dropped, 3);
});

// A token is missing in the stream, or the end comes before the last one. The relay asks for the rest of the
// same generation from the index that it lacks.
void test.test('a gap is filled by resuming from the missing index', () => {
  const bench = new Bench();
  bench.listener(0).token('r.1', 0, 'a');
  bench.listener(0).token('r.1', 2, 'c');
  assert.equal(bench.opened[1]?.kind, 'resume r.1 from 1');
  bench.listener(1).token('r.1', 1, 'b');
  bench.listener(1).ended('r.1', 3);
  assert.equal(bench.opened[2]?.kind, 'resume r.1 from 2');
  bench.listener(2).token('r.1', 2, 'c');
  bench.listener(2).ended('r.1', 3);
  assert.deepEqual(bench.got, ['0', '1', '2', 'ended 3']);
});

// The engine loses the generation after a token. A restart voids what the caller has; afterwards a late token
// and a late end of the lost generation arrive on its old connection and change nothing.
void test.test('late news of a voided generation reaches nobody', () => {
  const bench = new Bench(true);
  bench.listener(0).token('r.1', 0, 'a');
  bench.listener(0).failed('unknownGeneration', '');
  bench.listener(1).token('r.2', 0, 'A');
  bench.listener(0).token('r.1', 1, 'b');
  bench.listener(0).ended('r.1', 2);
  bench.listener(1).token('r.1', 1, 'b');
  bench.listener(1).ended('r.2', 1);
  assert.deepEqual(bench.got, ['0', 'restart', '0', 'ended 1']);
});

void test.test('an engine that accepts and breaks off again and again is given up', () => {
  const bench = new Bench();
  bench.listener(0).token('r.1', 0, 'a');
  bench.listener(0).token('r.1', 5, 'f');
  bench.listener(1).opened();
  bench.listener(1).token('r.1', 5, 'f');
  bench.listener(2).token('r.1', 5, 'f');
  assert.deepEqual(bench.got, ['0', 'interrupted']);
});

// The caller goes away while its request waits in the queue, and the place is granted a moment later. Nothing is
// sent to the engine, and the place is given back; it would count as running for ever otherwise.
void test.test('a place that comes after the caller went away is given back', () => {
  const bench = new Bench(false, false);
  bench.relay.callerGone();
  bench.grant();
  assert.equal(bench.opened.length, 0);
  assert.deepEqual(bench.left, ['e1 callerGone']);
});
