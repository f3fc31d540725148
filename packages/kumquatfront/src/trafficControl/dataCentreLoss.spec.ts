/**
 * The loss of a whole data centre with every control replica in it, also after repairs.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as controlBench from './controlBench.js';

const CATCH_UP = 6_000;

function founded(seeds: readonly string[], toleratedLosses: number): controlBench.ControlBench {
  const bench = new controlBench.ControlBench(seeds, toleratedLosses);
  bench.time.advance(6_000);
  assert.equal(bench.replace(seeds[0] ?? '', 7), true);
  return bench;
}

/** All replicas of a data centre lose power; the others must elect, tell what was acknowledged and take changes. */
function loseAndCheck(bench: controlBench.ControlBench, lost: readonly string[], left: string): void {
  for (const address of lost) {
    bench.kill(address);
  }
  bench.time.advance(4_000);
  assert.equal(bench.read(left), 7);
  assert.equal(bench.replace(left, 9), true);
}

void test.test('two replicas in each of three data centres tolerate the loss of any of them', () => {
  for (const lost of ['a', 'b', 'c']) {
    const seeds = ['a/1', 'a/2', 'b/1', 'b/2', 'c/1', 'c/2'];
    const bench = founded(seeds, 2);
    const left = seeds.filter((seed) => !seed.startsWith(lost));
    loseAndCheck(
      bench,
      seeds.filter((seed) => !left.includes(seed)),
      left[0] ?? '',
    );
  }
});

// A VM of data centre c is gone for good, and a spare of a takes its place: three of five voters are in a, as well as
// can be had. Then c has a VM again. With its replica as a sixth voter three of six are in a, and its loss stops every
// change; one of a's must step back.
void test.test(
  'a repair that put three of five voters into one data centre is undone once another has a VM',
  () => {
    const bench = founded(['a/1', 'a/2', 'b/1', 'b/2', 'c/1'], 2);
    bench.loseDisk('c/1');
    bench.time.advance(1_000);
    bench.start('a/3');
    bench.time.advance(CATCH_UP);
    bench.start('c/2');
    bench.time.advance(CATCH_UP);
    assert.equal(bench.voters().filter((name) => name.startsWith('a')).length, 2);
    loseAndCheck(bench, ['a/1', 'a/2', 'a/3'], 'b/1');
  },
);

// Three voters tolerate the loss of one data centre, four of which two are in one place do not: the fourth is kept as a
// learner, which has everything and takes over for a voter that is lost.
void test.test('a replica that would spoil the spread stays a learner, and replaces a lost voter', () => {
  const bench = founded(['a/1', 'b/1', 'c/1'], 1);
  bench.start('a/2');
  bench.time.advance(CATCH_UP);
  assert.deepEqual([...bench.voters()].sort(), ['a/1', 'b/1', 'c/1']);
  bench.loseDisk('a/1');
  bench.time.advance(CATCH_UP);
  assert.deepEqual([...bench.voters()].sort(), ['a/2', 'b/1', 'c/1']);
  loseAndCheck(bench, ['b/1'], 'c/1');
});
