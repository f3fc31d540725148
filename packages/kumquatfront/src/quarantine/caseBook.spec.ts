/**
 * What a control replica has the others agree on, and when it lets go.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as agreedState from '../agreedState/agreedState.js';
import * as caseBook from './caseBook.js';
import * as crashLedger from './crashLedger.js';

/** A book over a log of one replica: what it proposes is agreed on at once. */
class Bench {
  now = 0;
  mayLead = true;
  readonly proposed: string[] = [];
  readonly state = new agreedState.AgreedState({ ...agreedState.defaultLimits, quarantined: 2 });
  book = this.createBook();

  /** A replica that has started anew, with what is in its log. */
  createBook(): caseBook.CaseBook {
    const silent = (): void => undefined;
    return new caseBook.CaseBook({
      now: () => this.now,
      log: { debug: silent, info: silent, warn: silent, error: silent },
      metrics: { count: silent, gauge: silent, timing: silent },
      agreed: () => this.state.quarantined,
      mayLead: () => this.mayLead,
      mostAgreed: this.state.mostQuarantined,
      propose: (command) => {
        this.proposed.push(`${command.type} ${command.content}`);
        this.state.apply(command, this.proposed.length, this.now);
      },
    });
  }

  /** Entries found three ends under a content. */
  end(content: string): void {
    const crashes = ['a', 'b', 'c'].map((name) => ({ instance: `${content}-${name}`, age: 0 }));
    this.book.hear([{ content, crashes, lapses: 0 }]);
  }
}

void test.test('a quarantine is agreed on once, and known after a start', () => {
  const bench = new Bench();
  bench.end('x');
  bench.end('x');
  bench.now = 5_000;
  bench.book.beat();
  assert.deepEqual(bench.proposed, ['quarantine x']);
  const started = bench.createBook();
  assert.deepEqual(
    started.newsSince(0)?.cases.map(({ content }) => content),
    ['x'],
  );
});

void test.test('a replica that does not lead proposes nothing', () => {
  const bench = new Bench();
  bench.mayLead = false;
  bench.end('x');
  bench.book.beat();
  assert.deepEqual(bench.proposed, []);
});

// An upstream answered it in whole: it ends none, and must not be brought back by what the log holds.
void test.test('a content that was answered is released', () => {
  const bench = new Bench();
  bench.end('x');
  bench.now = 100;
  bench.book.hear([{ content: 'x', crashes: [], voidedAge: 10, lapses: 0 }]);
  assert.deepEqual(bench.proposed, ['quarantine x', 'release x']);
  assert.deepEqual(bench.state.quarantined, []);
  assert.equal(bench.createBook().newsSince(0), undefined);
});

void test.test('a quarantine that has run out is released', () => {
  const bench = new Bench();
  bench.end('x');
  bench.now = crashLedger.FIRST_QUARANTINE + 10;
  bench.book.beat();
  assert.deepEqual(bench.proposed, ['quarantine x', 'release x']);
});

// More contents are quarantined than the log keeps: those beyond live in memory, and the log does not grow with them.
void test.test('the replicas agree on a bounded number', () => {
  const bench = new Bench();
  ['x', 'y', 'z'].forEach((content) => {
    bench.end(content);
  });
  bench.now = 5_000;
  bench.book.beat();
  assert.deepEqual(bench.proposed, ['quarantine x', 'quarantine y']);
  assert.equal(bench.book.newsSince(0)?.cases.length, 3);
});

// A replica far behind takes a snapshot over.
void test.test('a snapshot carries what is quarantined', () => {
  const bench = new Bench();
  bench.end('x');
  const restored = new agreedState.AgreedState();
  restored.restore(JSON.parse(JSON.stringify(bench.state.toJson())) as agreedState.AgreedStateJson);
  assert.deepEqual(restored.quarantined, ['x']);
  assert.equal(restored.digest(), bench.state.digest());
});
