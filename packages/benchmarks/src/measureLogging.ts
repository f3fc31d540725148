/**
 * `npm run measure:logging`: measures the processor time of formatting and writing one log line through the bounded output.
 */
import * as fs from 'node:fs';
import * as timersPromises from 'node:timers/promises';

import * as kumquatfront from 'kumquatfront';

const LINES_PER_BATCH = 1_000;
const WARM_UP_BATCHES = 5;
const BATCHES = 50;

/** Fields of the line that entries log at the end of a request, the longest of the frequent ones. */
const REQUEST_END_FIELDS = {
  ...{ request: 'a0799d8d4825298e', route: 'r-x9ewfaw', service: 'loka48a', version: 3, outcome: 'answered' },
  ...{ upstream: 'i-dca9383aa7', rank: 1, patience: 35241, promptTokens: 3079, outputLimit: 1756 },
  ...{ lengthHint: 436, produced: 744, sends: 1, moves: 0, lastEvent: '186', firstEvent: 478 },
  ...{ longestPause: 65, milliseconds: 7655 },
};

const sink = fs.openSync('/dev/null', 'w');
const output = new kumquatfront.boundedOutput.BoundedOutput(
  kumquatfront.systemTime.clock,
  kumquatfront.systemTime.scheduler,
  (bytes, done) => {
    fs.write(sink, bytes, (error, written) => {
      done(error, error === null ? written : 0);
    });
  },
  { linesPerSecond: 10_000_000, burst: 10 * LINES_PER_BATCH, maximumPendingCharacters: 100_000_000 },
);

async function writeBatch(): Promise<void> {
  for (let line = 0; line < LINES_PER_BATCH; line += 1) {
    const text = kumquatfront.keyValueLog.format('info', 'requestEnded', REQUEST_END_FIELDS);
    output.write(`time=${new Date().toISOString()} process=entry-1 ${text}`, 'ordinary');
  }
  await timersPromises.setTimeout(5);
}

async function writeBatches(count: number): Promise<void> {
  for (let batch = 0; batch < count; batch += 1) {
    await writeBatch();
  }
}

await writeBatches(WARM_UP_BATCHES);
const before = process.cpuUsage();
await writeBatches(BATCHES);
const { user, system } = process.cpuUsage(before);
const microsecondsPerLine = (user + system) / (BATCHES * LINES_PER_BATCH);
process.stdout.write(
  `${microsecondsPerLine.toFixed(1)} us of processor time per line, ${BATCHES * LINES_PER_BATCH} lines\n`,
);
