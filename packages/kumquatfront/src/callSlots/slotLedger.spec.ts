/** Slots that a coordinator grants at the upstreams of a fragile service. */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as seededRandom from '../adapters/seededRandom.js';
import * as instanceTestHarness from '../instances/instanceTestHarness.js';
import * as timerService from '../kernel/timerService.js';
import * as virtualTime from '../kernel/virtualTime.js';
import type * as messages from './messages.js';
import * as slotLedger from './slotLedger.js';

const noop = (): void => undefined;

interface LedgerSystem {
  readonly time: virtualTime.VirtualTime;
  readonly ledger: slotLedger.SlotLedger;
  /** Number of slots that are granted at once, of as many as are asked for. */
  readonly take: (count: number, patience?: number) => readonly string[];
}

/** One upstream with six slots, in a service that tolerates two rejections in a second. */
function createLedger(mayLead = true): LedgerSystem {
  const time = new virtualTime.VirtualTime();
  const announcement = instanceTestHarness.announcement('a', { service: 'app', slots: 6 });
  const ledger = new slotLedger.SlotLedger({
    timers: timerService.create(time.clock, time),
    random: seededRandom.create(1),
    log: { debug: noop, info: noop, warn: noop, error: noop },
    metrics: { count: noop, gauge: noop, timing: noop },
    instances: () => [{ ...announcement, age: 0, firstAge: 0 }],
    isEvacuated: () => false,
    mayLead: () => mayLead,
    maximumRejectionsOf: () => 2,
  });
  let asked = 0;
  const take = (count: number, patience = 0): readonly string[] => {
    const granted: string[] = [];
    for (let index = 0; index < count; index += 1) {
      asked += 1;
      const id = `call ${asked}`;
      const request: messages.TakeRequest = {
        ...{ id, entry: 'e1', dataCentre: 'a', service: 'app', excluded: [], holdFor: 1_000, patience },
      };
      ledger.take(request, (answer) => {
        if (answer.state === 'granted') {
          granted.push(id);
        }
      });
    }
    return granted;
  };
  return { time, ledger, take };
}

/** A ledger that has been asked for longer than calls of a predecessor last. */
function createSettledLedger(): LedgerSystem {
  const system = createLedger();
  system.take(1);
  system.time.advance(1_100);
  return system;
}

// Guards against a new coordinator that grants slots which calls of its predecessor still hold.
void test.test('a coordinator that has just started, or may not be the only one, grants a quarter', () => {
  assert.equal(createLedger().take(10).length, 1);
  const other = createLedger(false);
  other.take(1);
  other.time.advance(1_500);
  assert.equal(other.take(10).length, 1);
  assert.equal(createSettledLedger().take(10).length, 6);
});

// Guards against calls that wait although there is no prospect of a slot.
void test.test('calls wait for as many slots as there are, and others are refused at once', () => {
  const { time, ledger, take } = createSettledLedger();
  const [first = ''] = take(6);
  const waiting = take(10, 60);
  assert.equal(waiting.length, 0);
  ledger.release([{ id: first, rejected: false }]);
  assert.equal(waiting.length, 1);
  time.advance(100);
  assert.equal(waiting.length, 1);
});

// Guards against an upstream that has fewer slots than it announces, and crashes because its rejections go on.
void test.test('an upstream that rejects calls gets none for a second, and then fewer', () => {
  const { time, ledger, take } = createSettledLedger();
  const granted = take(6);
  ledger.release(granted.slice(0, 1).map((id) => ({ id, rejected: true })));
  assert.equal(take(1).length, 0);
  ledger.release(granted.slice(1).map((id, index) => ({ id, rejected: index === 0 })));
  assert.equal(take(6).length, 0);
  time.advance(1_050);
  assert.equal(take(6).length, 4);
});
