/**
 * Counting requests in log lines in the format that entries and control replicas write.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as ledgerReport from './ledgerReport.js';

const at = (second: number): string => `time=2026-01-01T00:00:${second.toFixed(3).padStart(6, '0')}Z`;
const endedLine = (second: number, request: string, rest: string): string =>
  `${at(second)} process=entry-1 level=info event=requestEnded request=${request} route=r service=llm version=7 ${rest}`;
const placedLine = (second: number, request: string, entry: string): string =>
  `${at(second)} process=control-1 level=info event=placed request=${request} entry=${entry} engine=i-a waited=0 waiting=0`;

const CONTROL = [
  `${at(0)} process=control-1 level=info event=instanceHeard instance=i-a service=llm address=10.0.0.1:80 state=ready sequence=1`,
  placedLine(1, 'soon', 'entry-1'),
  placedLine(3, 'with-its-entry', 'entry-2'),
  placedLine(9, 'still-running', 'entry-1'),
].join('\n');

const ENTRIES = [
  `${at(0)} process=entry-2 level=info event=started role=entry peers=10.0.1.2:1`,
  endedLine(2, 'soon', 'outcome=answered rank=1 firstEvent=500 longestPause=20 milliseconds=1000'),
  endedLine(4, 'late-begin', 'outcome=answered rank=1 firstEvent=1900 longestPause=20 milliseconds=2000'),
  endedLine(4, 'paused', 'outcome=answered rank=1 firstEvent=300 longestPause=400 milliseconds=2000'),
  endedLine(5, 'no-place', 'outcome=overloaded reason="no place came free in time" rank=1 milliseconds=216'),
  endedLine(5, 'broken', 'outcome=interrupted reason="the upstream broke off" rank=1 milliseconds=900'),
  endedLine(5, 'own-failure', 'outcome=answered status=500 milliseconds=90'),
  endedLine(5, 'gone', 'outcome=callerGone milliseconds=90'),
  `${at(6)} process=entry-1 level=info event=requestRefused request=unknown-path reason=noRoute message="no route"`,
  `${at(7)} process=entry-2 level=info event=started role=entry peers=10.0.1.2:1`,
].join('\n');

const report = ledgerReport.create([ENTRIES, CONTROL], { firstEvent: 1_800, pause: 180 });

void test.test(
  'every attempt is counted under one ending, and the counts sum to the number of attempts',
  () => {
    assert.equal(report.asked, 10);
    const total = report.kinds.reduce((sum, kind) => sum + kind.asked, 0);
    const bySecond = report.seconds.reduce((sum, second) => sum + second.asked, 0);
    assert.deepEqual([total, bySecond], [10, 10]);
    const rankedGenerations = report.kinds.find((kind) => kind.name === 'llm rank 1');
    assert.deepEqual(rankedGenerations?.counts, {
      ...{
        answered: 1,
        late: 2,
        failed: 0,
        refused: 1,
        lost: 1,
        callerLeft: 0,
        timedOut: 0,
        notOwed: 0,
        open: 0,
      },
    });
  },
);

// A crashed entry writes no final line for its requests; only the coordinator's log shows that they were placed.
void test.test('a generation without a final line is lost if its entry restarted, else open', () => {
  const otherRequests = report.kinds.find((kind) => kind.name === 'llm');
  assert.deepEqual(
    [
      otherRequests?.counts.lost,
      otherRequests?.counts.open,
      otherRequests?.counts.failed,
      otherRequests?.counts.callerLeft,
    ],
    [1, 1, 1, 1],
  );
  assert.ok(report.causes.some(({ ending, cause }) => ending === 'lost' && cause === 'its entry restarted'));
});

void test.test('attempts are counted in the second in which they arrived', () => {
  const names = report.seconds.map((second) => second.name.slice(-2));
  assert.deepEqual(names, ['01', '02', '03', '04', '06', '09']);
});

void test.test('causes are listed, most frequent first', () => {
  const named = report.causes.map(({ ending, cause }) => `${ending}: ${cause}`);
  assert.ok(named.includes('refused: overloaded: no place came free in time'));
  assert.ok(named.includes('notOwed: noRoute'));
  assert.ok(named.includes('late: pause between two events above the threshold'));
});
