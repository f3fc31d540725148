/**
 * When the watches of entries are answered: what is urgent by every replica, the rest by the nearest one.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as instanceTable from '../instances/instanceTable.js';
import type * as ports from '../kernel/ports.js';
import * as timerService from '../kernel/timerService.js';
import * as virtualTime from '../kernel/virtualTime.js';
import * as controlBench from './controlBench.js';
import type * as methods from './methods.js';
import * as openWatches from './openWatches.js';

/** One replica with its watches. */
class Bench {
  readonly time = new virtualTime.VirtualTime();
  readonly table = new instanceTable.InstanceTable('epoch');
  state: openWatches.WatchedState = {
    trafficVersion: 1,
    fresh: true,
    leaderTerm: 1,
    caseRevision: 0,
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
      instances: this.table.newsSince(request.epoch, request.revision, this.time.now()),
      trafficVersion: this.state.trafficVersion,
      fresh: this.state.fresh,
      leaderTerm: this.state.leaderTerm,
      leaderAddress: 'c1',
      control: [],
      entryCount: 1,
      evacuations: { revision: this.state.evacuationRevision, dataCentres: [] },
    };
  }

  hear(identity: string): void {
    this.table.hear(controlBench.announcementOf(identity, 1), this.time.now());
    this.watches.wake();
  }

  /** Moments at which an entry that watches for ever is answered. */
  follow(toldAtOnce: methods.ToldAtOnce): ports.Milliseconds[] {
    const answeredAt: ports.Milliseconds[] = [];
    const position = { epoch: this.table.epoch, revision: this.table.currentRevision };
    const told = { version: this.state.trafficVersion, term: this.state.leaderTerm, evacuations: 0 };
    const place = { name: 'e', dataCentre: 'a', callerAddress: 'e:1', peerAddress: 'e' };
    const entry: methods.EntryNews = { ...place, state: 'ready', trafficVersion: 1 };
    const ask = (): void => {
      const request = {
        entry,
        ...position,
        toldVersion: told.version,
        toldTerm: told.term,
        toldAtOnce,
        controlDigest: 0,
        caseRevision: 0,
        evacuationRevision: told.evacuations,
      };
      this.watches.open(request, (result) => {
        const answer = result.unwrap() as methods.WatchAnswer;
        answeredAt.push(this.time.now());
        position.revision = answer.instances?.revision ?? position.revision;
        told.version = answer.trafficVersion;
        told.term = answer.leaderTerm;
        told.evacuations = answer.evacuations?.revision ?? told.evacuations;
        this.time.after(2, ask);
      });
    };
    ask();
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

// Every instance of a fleet is heard of anew within a second, as after a loss of all power. Each of two hundred entries
// watches five replicas: told of each instance at once by all of them, control would answer nothing else for seconds.
void test.test(
  'a fleet that is heard of anew costs the nearest replica some waves, and the others one answer',
  () => {
    const bench = new Bench();
    const near = bench.follow('instances');
    const far = bench.follow('leaders');
    for (let index = 0; index < 100; index += 1) {
      bench.time.advance(6);
      bench.hear(`i${index}`);
    }
    assert.ok(near.length >= 10 && near.length <= 14, `${near.length} answers of the nearest`);
    const farInStorm = far.length;
    bench.time.advance(500);
    assert.deepEqual([farInStorm, far.length], [0, 1]);
  },
);

void test.test(
  'the nearest replica tells of a single instance at once, another before its watch is over',
  () => {
    const bench = new Bench();
    const near = bench.follow('instances');
    const far = bench.follow('leaders');
    bench.time.advance(100);
    bench.hear('i');
    assert.deepEqual(near, [100]);
    bench.time.advance(openWatches.WATCH_OPEN + 250);
    assert.equal(far.length, 1);
  },
);

// An engine gives two seconds of notice. An entry whose nearest replica is cut off or hangs must know of it as soon as
// any other entry: what it sent there meanwhile would be lost with the engine.
void test.test(
  'a notice is told by two replicas at once, also within a wave, and by all within a second',
  () => {
    const bench = new Bench();
    const near = bench.follow('instances');
    const second = bench.follow('notices');
    const far = bench.follow('leaders');
    bench.time.advance(100);
    bench.hear('i');
    bench.time.advance(10);
    bench.table.leave('i', bench.time.now());
    bench.watches.wake();
    assert.deepEqual([near, second], [[100, 110], [110]]);
    bench.time.advance(890);
    assert.equal(far.length, 1);
  },
);

// The leader is lost, and with it who places generations. Entries that learn of the next one only when their watches
// close keep every caller waiting for most of a second more.
void test.test('a new leader is told by every replica at once, a new configuration by two', () => {
  const bench = new Bench();
  const second = bench.follow('notices');
  const far = bench.follow('leaders');
  bench.time.advance(100);
  bench.state = { ...bench.state, leaderTerm: 2 };
  bench.watches.wake();
  bench.time.advance(10);
  bench.state = { ...bench.state, trafficVersion: 2 };
  bench.watches.wake();
  assert.deepEqual([second, far], [[100, 110], [100]]);
});

void test.test('a replica that is not fresh tells of no leader', () => {
  const bench = new Bench();
  bench.state = { ...bench.state, fresh: false };
  const far = bench.follow('leaders');
  bench.time.advance(100);
  bench.state = { ...bench.state, leaderTerm: 2 };
  bench.watches.wake();
  assert.deepEqual(far, []);
});
