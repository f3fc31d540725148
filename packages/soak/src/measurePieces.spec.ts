/**
 * The parts of `npm run measure:pieces` that read deploy files and logs.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as deployedOptions from './deployedOptions.js';
import * as keptCalls from './keptCalls.js';
import * as pieceRow from './pieceRow.js';
import * as processLives from './processLives.js';

const DEPLOY_FILE = `build = "true"

[roles.entry]
run = "node --max-old-space-size=90 --max-semi-space-size=8 target/kumquatfront.cjs"
on = "edge"

[roles.control]
run = "node --max-old-space-size=120 target/kumquatfront.cjs"
`;

const LOG = `time=1 process=entry-1 level=info event=bootstrapped
time=1 process=entry-1 level=info event=started port=1
time=2 process=entry-1 level=warn event=callersClosed count=3
time=2 process=entry-1 level=info event=requestEnded
time=2 process=entry-1 level=warn event=callersClosed count=4

<--- Last few GCs --->
[7:0x1] 400 ms: Mark-sweep 88.0 (120.0) -> 87.9 (120.0) MB
FATAL ERROR: Reached heap limit Allocation failed - JavaScript heap out of memory
 1: 0xb78db3 node::Abort() [node]
time=3 process=entry-1 level=info event=started port=1
FATAL ERROR: Ineffective mark-compacts near heap limit Allocation failed - JavaScript heap out of memory
time=4 process=entry-1 level=info event=started port=1
time=5 process=entry-1 level=error event=recovered
`;

// Guards against a landing that is measured with the heap of another one, or entries with the heap of control.
void test.test('the heap options of each role come from the deploy file', () => {
  assert.deepEqual(deployedOptions.of(DEPLOY_FILE, 'entry'), [
    '--max-old-space-size=90',
    '--max-semi-space-size=8',
  ]);
  assert.deepEqual(deployedOptions.of(DEPLOY_FILE, 'control'), ['--max-old-space-size=120']);
});

// Guards against a role without a command that takes the command of the next role.
void test.test('a deploy file without a command for a role is refused', () => {
  const text = DEPLOY_FILE.replace('run = "node --max-old-space-size=90', 'walk = "node');
  assert.throws(() => deployedOptions.of(text, 'entry'), /no command for the role entry/);
});

// Guards against warnings of one life that count for another, and lines of the fatal error that count as lines of the log.
void test.test('a log is split at its starts, each life with its fatal error and its warnings', () => {
  const [first, second, third, ...more] = processLives.of(LOG);
  assert.deepEqual(first, {
    ...{ fatalText: 'Reached heap limit Allocation failed', lineCount: 3 },
    warnings: new Map([['callersClosed', 2]]),
  });
  assert.deepEqual(second, {
    ...{ fatalText: 'Ineffective mark-compacts near heap limit Allocation failed', lineCount: 0 },
    warnings: new Map(),
  });
  assert.deepEqual(third, { fatalText: undefined, lineCount: 1, warnings: new Map([['recovered', 1]]) });
  assert.deepEqual(more, []);
});

// Guards against a row that shows the warnings of lives that went on as if they came before an end.
void test.test('a row tells ends, texts, and the warnings before an end apart from the others', () => {
  const plain = { ...keptCalls.none(), answered: 5, lostKept: 1 };
  const streams = { ...keptCalls.none(), cut: 2 };
  const row = pieceRow.of('sound', [
    { name: 'entry-1', exits: 2, peakMegabytes: 90.6, plain, streams, log: LOG },
  ]);
  const [name, ends, texts, warnings, lines, peak, ...calls] = row
    .slice('| '.length, -' |'.length)
    .split(' | ');
  assert.deepEqual([name, ends, lines, peak], ['sound', '2', '0', '91']);
  assert.equal(
    texts,
    'Reached heap limit Allocation failed 1, Ineffective mark-compacts near heap limit Allocation failed 1',
  );
  assert.equal(warnings, 'callersClosed 2 (recovered 1)');
  assert.deepEqual(calls, [
    '5 answered, 0 refused, 0 cut, 1 + 0 lost, 0 unreachable',
    '0 answered, 0 refused, 2 cut, 0 + 0 lost, 0 unreachable',
  ]);
});
