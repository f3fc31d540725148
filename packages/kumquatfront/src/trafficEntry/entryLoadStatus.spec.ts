/**
 * Load figures of an entry as control receives them, and refusals of generations for lack of memory.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as statsdMetrics from '../adapters/statsdMetrics.js';
import * as heldMemoryTestHarness from '../heldMemory/heldMemoryTestHarness.js';
import * as messages from '../peerRelay/messages.js';
import * as crashTestTraffic from '../quarantine/crashTestTraffic.js';
import * as responseMemory from '../relay/responseMemory.js';
import type * as relayTypes from '../relay/types.js';
import * as controlTestHarness from '../trafficControl/controlTestHarness.js';
import type * as methods from '../trafficControl/methods.js';
import type * as trafficEntry from './trafficEntry.js';

const MEGABYTE = 1_048_576;

function start(isEnabled = true): {
  readonly harness: controlTestHarness.ControlTestHarness;
  readonly entry: trafficEntry.TrafficEntry;
  readonly measured: { lag: number; residentBytes: number; isShedding: boolean };
  readonly listed: () => methods.EntryStatus | undefined;
} {
  const harness = new controlTestHarness.ControlTestHarness(['c1', 'c2', 'c3'], 1, crashTestTraffic);
  harness.time.advance(6_000);
  harness.replace('c1', 1);
  const measured = { lag: 0, residentBytes: 89 * MEGABYTE, isShedding: false };
  const entry = harness.startEntry('e1', controlTestHarness.NO_UPSTREAMS, {
    capacity: { cores: 0.324, memoryMegabytes: 178 },
    loadProbe: { takeLag: () => measured.lag, residentBytes: () => measured.residentBytes },
    isShedding: () => measured.isShedding,
    isEnabled: (feature) => isEnabled || feature !== 'entryCapacity',
  });
  harness.time.advance(1_500);
  const caller = { host: 'h', dataCentre: 'a', region: '' };
  return { harness, entry, measured, listed: () => harness.trafficOf('c1').entriesFor(caller, 10)[0] };
}

void test.test('control receives capacity, utilization and the time since the start', () => {
  const { harness, measured, listed } = start();
  const first = listed();
  assert.deepEqual(first?.capacity, [0.324, 178, null, null]);
  assert.deepEqual(first.utilization, [0, null, null, 50]);
  assert.ok(first.readyFor !== undefined && first.readyFor <= 1_500);
  measured.lag = 15;
  harness.time.advance(6_000);
  assert.deepEqual(listed()?.utilization, [50, null, null, 50]);
  assert.equal(listed()?.readyFor, undefined);
});

void test.test('with the feature disabled, the status is that of an earlier version', () => {
  const { entry, listed } = start(false);
  assert.equal(entry.load, undefined);
  assert.deepEqual(Object.keys(listed() ?? {}).sort(), [
    ...['callerAddress', 'dataCentre', 'name', 'peerAddress', 'state', 'trafficVersion'],
  ]);
});

// Plain calls hold little memory, and refusing them would lose more than it protects.
void test.test('an entry that runs out of memory refuses new generations, and nothing else', () => {
  const { harness, entry, measured } = start();
  const refusals: (relayTypes.Refusal | undefined)[] = [];
  const send = (path: string): void => {
    const index = refusals.push(undefined) - 1;
    const base = { identity: `r${index}`, host: crashTestTraffic.HOST, path, method: 'POST', headers: [] };
    const generation = { promptTokens: 900, outputLimit: 44, lengthHint: 2, prompt: 'p' };
    const request = { ...base, key: 'school-1', arrivedAt: harness.time.now(), generation };
    entry.handle(
      { ...request, body: Buffer.from(path) },
      {
        refuse: (refusal) => {
          refusals[index] = refusal;
        },
        respond: () => undefined,
        begin: () => undefined,
        ...{ write: () => true, onDrain: () => undefined, takenBytes: () => 0 },
        end: () => undefined,
        abort: () => undefined,
        onDisconnect: () => undefined,
      },
    );
  };
  send('/notes/x');
  measured.residentBytes = 172 * MEGABYTE;
  harness.time.advance(200);
  send('/notes/x');
  send('/stock/x');
  const isForMemory = refusals.map((refusal) => refusal?.message.includes('out of memory') ?? false);
  assert.deepEqual(isForMemory, [false, true, false]);
  assert.equal(refusals[1]?.retryAfter, 50);
});

// Guards against an entry that takes the requests of others for which its heap has no room.
void test.test('an entry whose heap is nearly full relays nothing for others', () => {
  const { harness, measured } = start();
  const declined = (): unknown => {
    let offer: Partial<messages.Offer> = {};
    harness.send('e1', messages.methods.offer, {}, (result) => {
      offer = result.unwrap() as messages.Offer;
    });
    harness.time.advance(200);
    return offer.declined;
  };
  assert.equal(declined(), undefined);
  measured.isShedding = true;
  assert.equal(declined(), 'overloaded');
});

// Guards against answers that the port to upstreams reads as a whole, and that no bound of the entry and no figure counts.
void test.test('responses that the upstreams hold count with those of the entry', () => {
  const { harness } = start();
  const { memory: heldMemory } = new heldMemoryTestHarness.HeldMemoryHarness();
  const ignore = (): void => undefined;
  const log = { debug: ignore, info: ignore, warn: ignore, error: ignore };
  const responses = new responseMemory.ResponseMemory(log, statsdMetrics.noop);
  harness.startEntry('e2', controlTestHarness.NO_UPSTREAMS, { heldMemory, responses });
  responses.openResponse(ignore).add(Buffer.alloc(40_000));
  assert.equal(heldMemory.totals().get('responses')?.bytes, 40_000);
});
