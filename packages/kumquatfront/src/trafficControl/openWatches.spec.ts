/**
 * When watches are answered: urgent updates by several or all replicas, other updates by the nearest one.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as instanceTable from '../instances/instanceTable.js';
import type * as ports from '../kernel/ports.js';
import * as timerService from '../kernel/timerService.js';
import * as virtualTime from '../kernel/virtualTime.js';
import * as controlTestHarness from './controlTestHarness.js';
import type * as methods from './methods.js';
import * as openWatches from './openWatches.js';

/** Test harness with the open watches of one replica. */
class WatchTestHarness {
  readonly time = new virtualTime.VirtualTime();
  readonly table = new instanceTable.InstanceTable('epoch');
  state: openWatches.WatchedState = {
    trafficVersion: 1,
    fresh: true,
    leaderTerm: 1,
    crashRecordRevision: 0,
    evacuationRevision: 0,
  };
  readonly watches = new openWatches.OpenWatches({
    timers: timerService.create(this.time.clock, this.time),
    table: this.table,
    state: () => this.state,
    answer: (request) => this.answer(request),
  });

  private answer(request: methods.WatchRequest): methods.WatchAnswer {
    return {
      dataCentre: 'a',
      instances: this.table.updatesSince(request.epoch, request.revision, this.time.now()),
      trafficVersion: this.state.trafficVersion,
      trafficAge: 0,
      fresh: this.state.fresh,
      leaderTerm: this.state.leaderTerm,
      leaderAddress: 'c1',
      control: [],
      entryCount: 1,
      evacuations: { revision: this.state.evacuationRevision, dataCentres: [] },
    };
  }

  announce(identity: string): void {
    this.table.applyAnnouncement(controlTestHarness.announcementOf(identity, 1), this.time.now());
    this.watches.wake();
  }

  /** Watches continuously as an entry, and records the times of the answers. */
  recordAnswerTimes(immediateUpdates: methods.ImmediateUpdates): ports.Milliseconds[] {
    const answeredAt: ports.Milliseconds[] = [];
    const position = { epoch: this.table.epoch, revision: this.table.currentRevision };
    const received = { version: this.state.trafficVersion, term: this.state.leaderTerm, evacuations: 0 };
    const attributes = { name: 'e', dataCentre: 'a', callerAddress: 'e:1', peerAddress: 'e' };
    const entry: methods.EntryStatus = { ...attributes, state: 'ready', trafficVersion: 1 };
    const sendWatch = (): void => {
      const request = {
        entry,
        ...position,
        toldVersion: received.version,
        toldTerm: received.term,
        toldAtOnce: immediateUpdates,
        controlDigest: 0,
        caseRevision: 0,
        evacuationRevision: received.evacuations,
      };
      this.watches.open(request, (result) => {
        const answer = result.unwrap() as methods.WatchAnswer;
        answeredAt.push(this.time.now());
        position.revision = answer.instances?.revision ?? position.revision;
        received.version = answer.trafficVersion;
        received.term = answer.leaderTerm;
        received.evacuations = answer.evacuations?.revision ?? received.evacuations;
        this.time.after(2, sendWatch);
      });
    };
    sendWatch();
    this.time.after(250, () => {
      this.wakeRegularly();
    });
    return answeredAt;
  }

  private wakeRegularly(): void {
    this.watches.wake();
    this.time.after(250, () => {
      this.wakeRegularly();
    });
  }
}

// If every replica answered every watch for each instance of a restarting fleet, the replicas would be overloaded.
void test.test(
  'announcements of a whole fleet cost the nearest replica some batches, and the others one answer',
  () => {
    const harness = new WatchTestHarness();
    const nearest = harness.recordAnswerTimes('instances');
    const other = harness.recordAnswerTimes('leaders');
    for (let index = 0; index < 100; index += 1) {
      harness.time.advance(6);
      harness.announce(`i${index}`);
    }
    assert.ok(nearest.length >= 10 && nearest.length <= 14, `${nearest.length} answers of the nearest`);
    const otherDuringAnnouncements = other.length;
    harness.time.advance(500);
    assert.deepEqual([otherDuringAnnouncements, other.length], [0, 1]);
  },
);

void test.test(
  'the nearest replica sends a single instance immediately, another one when its watch closes',
  () => {
    const harness = new WatchTestHarness();
    const nearest = harness.recordAnswerTimes('instances');
    const other = harness.recordAnswerTimes('leaders');
    harness.time.advance(100);
    harness.announce('i');
    assert.deepEqual(nearest, [100]);
    harness.time.advance(openWatches.MAXIMUM_WATCH_DURATION + 250);
    assert.equal(other.length, 1);
  },
);

// An entry whose nearest replica is partitioned or hangs must not be late to receive a termination notice: requests sent
// to the engine after it would be lost.
void test.test(
  'a termination notice is sent immediately by two replicas, also between batches, and by all within a second',
  () => {
    const harness = new WatchTestHarness();
    const nearest = harness.recordAnswerTimes('instances');
    const backup = harness.recordAnswerTimes('notices');
    const other = harness.recordAnswerTimes('leaders');
    harness.time.advance(100);
    harness.announce('i');
    harness.time.advance(10);
    harness.table.markDraining('i', harness.time.now());
    harness.watches.wake();
    assert.deepEqual([nearest, backup], [[100, 110], [110]]);
    harness.time.advance(890);
    assert.equal(other.length, 1);
  },
);

// Entries that learn of a new leader only when their watches close cannot place generations until then.
void test.test('a new leader is sent immediately by every replica, a new configuration by two', () => {
  const harness = new WatchTestHarness();
  const backup = harness.recordAnswerTimes('notices');
  const other = harness.recordAnswerTimes('leaders');
  harness.time.advance(100);
  harness.state = { ...harness.state, leaderTerm: 2 };
  harness.watches.wake();
  harness.time.advance(10);
  harness.state = { ...harness.state, trafficVersion: 2 };
  harness.watches.wake();
  assert.deepEqual([backup, other], [[100, 110], [100]]);
});

void test.test('a stale replica sends no leader', () => {
  const harness = new WatchTestHarness();
  harness.state = { ...harness.state, fresh: false };
  const other = harness.recordAnswerTimes('leaders');
  harness.time.advance(100);
  harness.state = { ...harness.state, leaderTerm: 2 };
  harness.watches.wake();
  assert.deepEqual(other, []);
});

// The pages of a long list took a watch each, so that an entry learned a large fleet only after many seconds.
void test.test(
  'the next page of a long update is sent at once, except by replicas that are not preferred',
  () => {
    const answered = (toldAtOnce: methods.ImmediateUpdates): boolean => {
      const harness = new WatchTestHarness();
      const attributes = { name: 'e', dataCentre: 'a', callerAddress: 'e:1', peerAddress: 'e' };
      let isAnswered = false;
      harness.watches.open(
        {
          entry: { ...attributes, state: 'ready', trafficVersion: 1 },
          ...{ epoch: 'epoch', revision: harness.table.currentRevision, awaitsMore: true },
          ...{
            toldVersion: 1,
            toldTerm: 1,
            toldAtOnce,
            controlDigest: 0,
            caseRevision: 0,
            evacuationRevision: 0,
          },
        },
        () => {
          isAnswered = true;
        },
      );
      return isAnswered;
    };
    assert.deepEqual([answered('instances'), answered('notices'), answered('leaders')], [true, true, false]);
  },
);
