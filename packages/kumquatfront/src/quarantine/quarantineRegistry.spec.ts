/**
 * Which quarantines a control replica commits to the replicated log, and when it releases them.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as agreedState from '../agreedState/agreedState.js';
import * as quarantineRegistry from './quarantineRegistry.js';
import * as crashRecordStore from './crashRecordStore.js';

/** A registry over a log of one replica, which commits every proposal immediately. */
class Harness {
  now = 0;
  mayLead = true;
  readonly proposed: string[] = [];
  readonly state = new agreedState.AgreedState({ ...agreedState.defaultLimits, quarantined: 2 });
  registry = this.createRegistry();

  /** Creates the registry of a restarted replica from the replicated log. */
  createRegistry(): quarantineRegistry.QuarantineRegistry {
    const noop = (): void => undefined;
    return new quarantineRegistry.QuarantineRegistry({
      now: () => this.now,
      log: { debug: noop, info: noop, warn: noop, error: noop },
      metrics: { count: noop, gauge: noop, timing: noop },
      agreed: () => this.state.quarantined,
      mayLead: () => this.mayLead,
      maximumAgreed: this.state.maximumQuarantined,
      propose: (command) => {
        this.proposed.push(`${command.type} ${command.content}`);
        this.state.apply(command, this.proposed.length, this.now);
      },
    });
  }

  /** Merges a record with three crashes, as reported by entries. */
  reportCrashes(content: string): void {
    const crashes = ['a', 'b', 'c'].map((name) => ({ instance: `${content}-${name}`, age: 0 }));
    this.registry.mergeRecords([{ content, crashes, lapses: 0 }]);
  }
}

void test.test('a quarantine is proposed once and restored after a restart', () => {
  const harness = new Harness();
  harness.reportCrashes('x');
  harness.reportCrashes('x');
  harness.now = 5_000;
  harness.registry.tick();
  assert.deepEqual(harness.proposed, ['quarantine x']);
  const started = harness.createRegistry();
  assert.deepEqual(
    started.updatesSince(0)?.cases.map(({ content }) => content),
    ['x'],
  );
});

void test.test('a replica that is not the leader proposes nothing', () => {
  const harness = new Harness();
  harness.mayLead = false;
  harness.reportCrashes('x');
  harness.registry.tick();
  assert.deepEqual(harness.proposed, []);
});

// An answered content must not be quarantined again from the replicated log.
void test.test('a content that was answered is released from quarantine', () => {
  const harness = new Harness();
  harness.reportCrashes('x');
  harness.now = 100;
  harness.registry.mergeRecords([{ content: 'x', crashes: [], voidedAge: 10, lapses: 0 }]);
  assert.deepEqual(harness.proposed, ['quarantine x', 'release x']);
  assert.deepEqual(harness.state.quarantined, []);
  assert.equal(harness.createRegistry().updatesSince(0), undefined);
});

void test.test('an expired quarantine is released', () => {
  const harness = new Harness();
  harness.reportCrashes('x');
  harness.now = crashRecordStore.FIRST_QUARANTINE_DURATION + 10;
  harness.registry.tick();
  assert.deepEqual(harness.proposed, ['quarantine x', 'release x']);
});

// Contents beyond the limit stay quarantined in memory only.
void test.test('the number of quarantined contents in the replicated log is bounded', () => {
  const harness = new Harness();
  ['x', 'y', 'z'].forEach((content) => {
    harness.reportCrashes(content);
  });
  harness.now = 5_000;
  harness.registry.tick();
  assert.deepEqual(harness.proposed, ['quarantine x', 'quarantine y']);
  assert.equal(harness.registry.updatesSince(0)?.cases.length, 3);
});

// A replica that lags behind restores its state from a snapshot.
void test.test('a snapshot contains the quarantined contents', () => {
  const harness = new Harness();
  harness.reportCrashes('x');
  const restored = new agreedState.AgreedState();
  restored.restore(JSON.parse(JSON.stringify(harness.state.toJson())) as agreedState.AgreedStateJson);
  assert.deepEqual(restored.quarantined, ['x']);
  assert.equal(restored.digest(), harness.state.digest());
});
