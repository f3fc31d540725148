/**
 * Reads of a process per interval.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as virtualTime from '../kernel/virtualTime.js';
import * as readPace from './readPace.js';

const READ = 65_536;
const SMALL_READ = 2_000;

class Fixture {
  readonly time = new virtualTime.VirtualTime();
  readonly resumed: string[] = [];
  private readonly pace = new readPace.ReadPace(this.time, 2 * READ);

  /** Reads from a connection; true if it must wait. */
  read(connection: string, bytes: number): boolean {
    return this.pace.count(bytes, () => {
      this.resumed.push(connection);
    });
  }
}

// Guards against reads that are not collected yet and use up the memory, since a crowd sends faster than the collector runs.
void test.test('connections wait when the reads of an interval are used up, and go on in order', () => {
  const fixture = new Fixture();
  assert.equal(fixture.read('a', READ), false);
  assert.deepEqual(
    ['b', 'c', 'd', 'e'].map((name) => fixture.read(name, READ)),
    [true, true, true, true],
  );
  fixture.time.advance(10);
  assert.deepEqual(fixture.resumed, ['b', 'c']);
  fixture.time.advance(10);
  assert.deepEqual(fixture.resumed, ['b', 'c', 'd', 'e']);
});

// Guards against an ordinary request that waits behind the bodies of a crowd.
void test.test('a connection that has sent little does not wait', () => {
  const fixture = new Fixture();
  fixture.read('crowd', READ);
  fixture.read('crowd', READ);
  assert.equal(fixture.read('ordinary', SMALL_READ), false);
});

// Guards against connections that wait for ever where the reads of an interval are smaller than one read.
void test.test('each interval lets one connection go on at least', () => {
  const time = new virtualTime.VirtualTime();
  const pace = new readPace.ReadPace(time, SMALL_READ);
  let resumed = 0;
  assert.ok(
    pace.count(READ, () => {
      resumed += 1;
    }),
  );
  time.advance(10);
  assert.equal(resumed, 1);
});

// Guards against a crowd that reads twice as much as the pace allows: once when it goes on, and once more before it waits again.
void test.test('connections that go on do not read again while others wait', () => {
  const fixture = new Fixture();
  const names = ['a', 'b', 'c', 'd', 'e', 'f'];
  for (const name of names) {
    fixture.read(name, READ);
  }
  let reads = 0;
  for (let interval = 0; interval < 10; interval += 1) {
    const before = fixture.resumed.length;
    fixture.time.advance(10);
    for (const name of fixture.resumed.slice(before)) {
      for (let isPaused = false; !isPaused; reads += 1) {
        isPaused = fixture.read(name, READ);
      }
    }
  }
  assert.equal(reads, 20);
});
