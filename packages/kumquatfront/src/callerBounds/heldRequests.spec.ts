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

  open(
    name: string,
    { isLate = () => false, takenBytes = () => 0 }: Partial<heldRequests.ConnectionPort> = {},
  ): heldRequests.HeldConnection {
    const held = this.requests.openConnection({
      listener: 'callers',
      stallTimeout: () => BOUNDS.stallTimeout,
      ...{ isLate, takenBytes },
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
  const late = fixture.open('late', { isLate: () => isLate });
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

/** Opens answers of 400 kB that nobody reads. */
function openUnread(fixture: Fixture, count: number): void {
  for (let index = 0; index < count; index += 1) {
    fixture.open(`unread${index}`).answer(400_000);
  }
}

// Guards against answers that few callers do not read, and for which the requests of all others are refused.
void test.test('unread answers leave requests their share of the bound', () => {
  const fixture = new Fixture();
  openUnread(fixture, 3);
  for (let index = 0; index < 20; index += 1) {
    fixture.open(`other${index}`).grow(20_000);
  }
  assert.deepEqual(fixture.refused, []);
});

// Guards against unread answers that no bound limits, since they do not count against requests.
void test.test('unread answers far above their share refuse requests, until they are closed', () => {
  const fixture = new Fixture();
  openUnread(fixture, 6);
  fixture.time.advance(500);
  fixture.open('early').grow(20_000);
  assert.deepEqual(fixture.refused, ['early memory']);
  fixture.time.advance(2_000);
  fixture.open('other').grow(20_000);
  assert.ok(!fixture.refused.includes('other memory'));
  assert.ok(fixture.requests.heldBytes <= 1_520_000, `${fixture.requests.heldBytes} bytes`);
});

// Guards against answers that keep much memory for the whole time limit although nobody reads them.
void test.test('the more is unread, the earlier what makes no progress is closed', () => {
  const fixture = new Fixture();
  openUnread(fixture, 3);
  fixture.time.advance(5_000);
  assert.equal(fixture.refused.length, 0);
  fixture.time.advance(3_000);
  assert.equal(fixture.refused.length, 1);
  fixture.time.advance(5_000);
  assert.equal(fixture.refused.length, 1);
  fixture.time.advance(2_000);
  assert.equal(fixture.refused.length, 2);
  fixture.time.advance(60_000);
  assert.equal(fixture.refused.length, 2);
});

// Guards against a complete answer that is cut although its caller reads it, only slowly.
void test.test('an answer is kept while its caller takes bytes, beside others that are closed', () => {
  const fixture = new Fixture();
  let taken = 0;
  fixture.open('reading', { takenBytes: () => taken }).answer(600_000);
  openUnread(fixture, 2);
  fixture.time.advance(1_500);
  for (let step = 0; step < 10; step += 1) {
    taken += 10_000;
    fixture.time.advance(15_000);
  }
  assert.deepEqual(fixture.refused, ['unread0 unreadAnswer', 'unread1 unreadAnswer']);
});

// Guards against callers that read just enough to keep all memory for unread answers from the others for minutes.
void test.test(
  'answers that are read for longer than the time limit are closed where too much is unread',
  () => {
    const fixture = new Fixture();
    let taken = 0;
    for (let index = 0; index < 6; index += 1) {
      fixture.open(`reading${index}`, { takenBytes: () => taken }).answer(400_000);
    }
    fixture.time.advance(500);
    taken += 10_000;
    fixture.time.advance(1_000);
    for (let step = 0; step < 5; step += 1) {
      assert.deepEqual(fixture.refused, []);
      taken += 10_000;
      fixture.time.advance(4_000);
    }
    fixture.time.advance(3_000);
    assert.equal(fixture.refused.length, 3);
  },
);

// Guards against requests that are refused for the memory of an answer that nobody reads, although it is within the share of such answers.
void test.test('above the bound, an answer within the share that was not read for long is closed', () => {
  const fixture = new Fixture();
  openUnread(fixture, 1);
  fixture.time.advance(25_000);
  const served = fixture.open('served');
  served.grow(500_000);
  served.serve();
  assert.deepEqual(fixture.refused, []);
  fixture.open('arriving').grow(200_000);
  assert.deepEqual(fixture.refused, ['unread0 unreadAnswer']);
});

// Guards against callers that read nothing and seem to, since their operating system takes the first bytes.
void test.test('bytes that are taken at once after the answer do not count as being read', () => {
  const fixture = new Fixture();
  let taken = 0;
  for (let index = 0; index < 6; index += 1) {
    fixture.open(`silent${index}`, { takenBytes: () => taken }).answer(400_000);
  }
  fixture.time.advance(500);
  taken += 10_000;
  fixture.time.advance(3_500);
  assert.equal(fixture.refused.length, 3);
});

// Guards against slow callers that are broken off while there is memory for all.
void test.test('in calm, no answer is closed, however long it is unread', () => {
  const fixture = new Fixture();
  openUnread(fixture, 1);
  for (let minute = 0; minute < 10; minute += 1) {
    fixture.time.advance(60_000);
    fixture.open(`other${minute}`).grow(20_000);
  }
  assert.ok(!fixture.refused.some((name) => name.startsWith('unread')));
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
