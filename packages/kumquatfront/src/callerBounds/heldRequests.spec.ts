/**
 * Which requests are refused when all together hold too much, or make no progress.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as virtualTime from '../kernel/virtualTime.js';
import * as heldRequests from './heldRequests.js';
import type * as types from './types.js';

const BOUNDS: types.CallerBounds = {
  ...{ heldBytes: 1_000_000, requestsAhead: 4, stallTimeout: 20_000, connections: 10 },
};

class Fixture {
  readonly time = new virtualTime.VirtualTime();
  readonly refused: string[] = [];
  readonly lines: string[] = [];
  readonly requests: heldRequests.HeldRequests;

  constructor() {
    const noop = (): void => undefined;
    this.requests = new heldRequests.HeldRequests({
      clock: this.time.clock,
      scheduler: this.time,
      log: {
        ...{ debug: noop, info: noop, error: noop },
        warn: (event, fields) => {
          this.lines.push(`${event} ${JSON.stringify(fields)}`);
        },
      },
      metrics: { count: noop, gauge: noop, timing: noop },
      bounds: BOUNDS,
    });
  }

  open(name: string, isLate = (): boolean => false): heldRequests.HeldConnection {
    const held = this.requests.openConnection({
      listener: 'callers',
      stallTimeout: () => BOUNDS.stallTimeout,
      isLate,
      giveUp: (reason) => {
        this.refused.push(`${name} ${reason}`);
        this.requests.recordClose('callers', reason);
        held.close();
      },
    });
    return held;
  }
}

// Guards against many bodies that are each inside the limit and use up the memory together.
void test.test('above the bound, what has held the most for the longest is refused', () => {
  const fixture = new Fixture();
  fixture.open('silent').grow(400_000);
  fixture.time.advance(5_000);
  fixture.open('small').grow(2_000);
  const moving = fixture.open('moving');
  moving.grow(500_000);
  fixture.time.advance(500);
  moving.grow(200_000);
  assert.deepEqual(fixture.refused, ['silent memory']);
  assert.equal(fixture.requests.heldBytes, 702_000);
});

// Guards against a refusal that is untrue: a request that has arrived whole may run.
void test.test('a request that is served is not refused; one that arrives then is', () => {
  const fixture = new Fixture();
  const served = fixture.open('served');
  served.grow(950_000);
  served.serve();
  fixture.time.advance(1_000);
  fixture.open('large').grow(100_000);
  assert.deepEqual(fixture.refused, ['large memory']);
});

// Guards against ordinary small requests that are turned away because large ones are served.
void test.test('a small request finds room above the bound', () => {
  const fixture = new Fixture();
  const served = fixture.open('served');
  served.grow(995_000);
  served.serve();
  fixture.time.advance(1_000);
  fixture.open('small').grow(10_000);
  assert.deepEqual(fixture.refused, []);
});

// Guards against bodies that stop short and hold their memory until the process restarts.
void test.test('a request without a byte for the time limit is refused, one that moves is not', () => {
  const fixture = new Fixture();
  const moving = fixture.open('moving');
  fixture.open('silent').grow(1_000);
  for (let second = 0; second < 25; second += 1) {
    moving.grow(1);
    fixture.time.advance(1_000);
  }
  assert.deepEqual(fixture.refused, ['silent stalled']);
});

// Guards against a body that arrives until after its deadline, although it was known that it cannot be served.
void test.test('a request that is too late is refused while its body arrives', () => {
  const fixture = new Fixture();
  let isLate = false;
  const late = fixture.open('late', () => isLate);
  late.grow(10);
  fixture.time.advance(2_000);
  assert.deepEqual(fixture.refused, []);
  isLate = true;
  late.grow(10);
  fixture.time.advance(1_000);
  assert.deepEqual(fixture.refused, ['late stalled']);
});

// Guards against complete answers that nobody reads and that no bound closes.
void test.test('above the bound, answers that were not read for long are closed', () => {
  const fixture = new Fixture();
  fixture.open('unread').answer(900_000);
  fixture.time.advance(10_000);
  fixture.open('recent').answer(50_000);
  fixture.time.advance(15_000);
  const arriving = fixture.open('arriving');
  arriving.grow(100_000);
  assert.deepEqual(fixture.refused, ['unread unreadAnswer']);
});

// Guards against a log line for each of thousands of connections.
void test.test('closed connections are logged together', () => {
  const fixture = new Fixture();
  for (let count = 0; count < 1_000; count += 1) {
    fixture.requests.recordClose('callers', 'requestsAhead');
  }
  fixture.time.advance(5_000);
  assert.equal(fixture.lines.length, 1);
  assert.match(fixture.lines[0] ?? '', /callersClosed.*"connections":1000/);
  fixture.requests.recordClose('callers', 'requestsAhead');
  fixture.time.advance(5_000);
  assert.match(fixture.lines[1] ?? '', /callersClosed.*"connections":1,/);
});

// Guards against memory that closed connections seem to hold: in time it would refuse every request.
void test.test('a closed connection holds nothing, whatever is counted for it afterwards', () => {
  const fixture = new Fixture();
  const held = fixture.open('left');
  held.grow(1_000);
  held.serve();
  held.setAhead(50_000, 1);
  held.close();
  assert.equal(fixture.requests.heldBytes, 0);
  held.setAhead(20_000, 1);
  held.answer(300_000);
  assert.equal(fixture.requests.heldBytes, 0);
});
