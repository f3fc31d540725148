/**
 * Sends to upstreams that became excluded after their selection are rejected.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as instanceView from '../instances/instanceView.js';
import * as relayTestHarness from '../relay/relayTestHarness.js';
import type * as relayTypes from '../relay/types.js';
import * as streamExchange from '../relay/streamExchange.js';
import * as contentDigest from './contentDigest.js';
import type * as quarantineTypes from './types.js';

function send(
  harness: relayTestHarness.RelayTestHarness,
  instance: instanceView.Instance,
  dataCentres?: readonly string[],
): string[] {
  const events: string[] = [];
  const { request } = harness.createRoutedRequest('stream');
  harness.context.upstreams.send(
    { request, instance, timeLeft: 1_000, isStream: true, origin: undefined, dataCentres },
    {
      head: () => events.push('head'),
      data: () => events.push('data'),
      end: () => events.push('end'),
      failed: (failure) => events.push(failure),
    },
  );
  return events;
}

// An outdated decision of the coordinator, or a copy started earlier, may lead to a data centre evacuated since. The
// exchange must learn that nothing was sent, so that it can use another upstream.
void test.test('nothing is sent into an evacuated data centre, whoever chose the upstream', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a']);
  const instance = harness.context.instances.get('a');
  assert.ok(instance);
  harness.context.instances.setEvacuated([instance.dataCentre]);
  const events = send(harness, instance);
  assert.deepEqual(events, []);
  harness.time.advance(1);
  assert.deepEqual(events, ['withheld']);
  assert.equal(harness.sentCalls.length, 0);
  harness.context.instances.setEvacuated([]);
  send(harness, instance);
  assert.equal(harness.sentCalls.length, 1);
});

// The regions of a route changed while the request was being placed.
void test.test('nothing is sent to a region where the request may not run', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a']);
  const instance = harness.context.instances.get('a');
  assert.ok(instance);
  const events = send(harness, instance, ['elsewhere']);
  harness.time.advance(1);
  assert.deepEqual(events, ['withheld']);
  assert.equal(harness.sentCalls.length, 0);
  send(harness, instance, [instance.dataCentre]);
  assert.equal(harness.sentCalls.length, 1);
});

// Guards against requests that go to an address again and again after another process has taken it.
void test.test('an upstream whose address another process has taken is sent nothing more', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a', 'b']);
  const instance = harness.context.instances.get('a');
  assert.ok(instance);
  send(harness, instance);
  harness.sentCalls.pop()?.listener.head({ ...relayTestHarness.notRunHead, status: 421 });
  const ready = harness.context.instances.readyOf('llm').map(({ identity }) => identity);
  assert.deepEqual(ready, ['b']);
});

// Guards against a path that sends a stream on without saying where it began, or to another version.
void test.test('a stream with events is sent only to the software that began it', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a']);
  const instance = harness.context.instances.get('a');
  assert.ok(instance);
  const { request } = harness.createRoutedRequest('stream');
  const failures: string[] = [];
  const noop = (): void => undefined;
  const sendWith = (changes: Partial<relayTypes.UpstreamCall>): void => {
    harness.context.upstreams.send(
      { request, instance, timeLeft: 1_000, isStream: true, origin: undefined, ...changes },
      { head: noop, data: noop, end: noop, failed: (failure) => failures.push(failure) },
    );
    harness.time.advance(1);
  };
  const copy = { address: '10.0.0.9:80', handle: 'h' };
  sendWith({ lastEvent: '7' });
  sendWith({ copy });
  sendWith({ lastEvent: '7', origin: { service: 'llm', software: 'version v2' } });
  sendWith({ lastEvent: '7', origin: { service: 'other', software: 'version v1' } });
  assert.deepEqual(failures, ['withheld', 'withheld', 'withheld', 'withheld']);
  sendWith({ lastEvent: '7', copy, origin: { service: 'llm', software: 'version v1' } });
  assert.equal(harness.sentCalls.length, 1);
});

// Guards against a stream that goes on at an upstream that was started again under its name, with other software.
void test.test('an upstream that was started again is sent no stream with events, and nothing more', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a', 'b']);
  const listed = harness.context.instances.get('a');
  assert.ok(listed);
  const { request } = harness.createRoutedRequest('stream');
  const origin = { service: 'llm', software: 'version v1' };
  const sendAt = (born: number): string[] => {
    const failures: string[] = [];
    const noop = (): void => undefined;
    harness.context.upstreams.send(
      {
        ...{ request, instance: { ...listed, born }, timeLeft: 1_000, isStream: true },
        ...{ origin, lastEvent: '7' },
      },
      { head: noop, data: noop, end: noop, failed: (failure) => failures.push(failure) },
    );
    harness.time.advance(5);
    return failures;
  };
  harness.reportedStartTime = 5;
  assert.deepEqual(sendAt(5), []);
  assert.equal(harness.sentCalls.length, 1);
  harness.reportedStartTime = 6;
  assert.deepEqual(sendAt(5), ['withheld']);
  assert.equal(harness.sentCalls.length, 1);
  const ready = harness.context.instances.readyOf('llm').map(({ identity }) => identity);
  assert.deepEqual(ready, ['b']);
});

// Guards against a copy whose source stops although its target cannot go on with the stream.
void test.test('memory is copied only to an engine of the same software', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a', 'b']);
  const { instances, upstreams } = harness.context;
  const [source, target] = [instances.get('a'), instances.get('b')];
  assert.ok(source !== undefined && target !== undefined);
  const results: string[] = [];
  upstreams.copyMemory(source, { ...target, softwareVersion: 'v2' }, 'r1', true, ({ state }) => {
    results.push(state);
  });
  harness.time.advance(1);
  assert.deepEqual(results, ['failed']);
  assert.equal(harness.copyRequests.length, 0);
  upstreams.copyMemory(source, target, 'r1', true, () => undefined);
  assert.equal(harness.copyRequests.length, 1);
});

// Guards against a request that is sent to the next upstream before the crash that quarantines it is recorded.
void test.test('the failure of a suspected request is passed on after the check of its upstream', () => {
  for (const [crashes, expected] of [
    [[], ['broken']],
    [[{ instance: 'x', age: 100 }], []],
  ] as const) {
    const harness = new relayTestHarness.RelayTestHarness(['a']);
    const instance = harness.context.instances.get('a');
    assert.ok(instance);
    const content = contentDigest.forRequest(harness.createRoutedRequest('stream').request, '');
    harness.context.quarantine.mergeRecords([{ content, crashes, lapses: 0 }]);
    const events = send(harness, instance);
    harness.sentCalls[0]?.listener.failed('broken', 'reset');
    assert.deepEqual(events, expected);
    harness.time.advance(10);
    assert.deepEqual(events, ['broken']);
  }
});

// Guards against parts of plain requests that no answer ever clears, since plain answers have no events.
void test.test('a whole plain answer clears the parts of its prompt', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a']);
  const instance = harness.context.instances.get('a');
  assert.ok(instance);
  const causes = { content: 'other', parts: ['part:llm/p'] };
  harness.context.quarantine.mergeRecords([
    { content: 'part:llm/p', crashes: [{ instance: 'x', content: 'c', age: 100 }], lapses: 0 },
  ]);
  assert.equal(harness.context.quarantine.verdictOf(causes), 'suspected');
  const request = { ...harness.createRoutedRequest('idempotent').request, sharedParts: ['p'] };
  const noop = (): void => undefined;
  harness.context.upstreams.send(
    { request, instance, timeLeft: 1_000, isStream: false, origin: undefined },
    { head: noop, data: noop, end: noop, failed: noop },
  );
  harness.sentCalls[0]?.listener.head(relayTestHarness.okHead);
  harness.sentCalls[0]?.listener.end();
  assert.equal(harness.context.quarantine.verdictOf(causes), 'free');
});

// Guards against a trial that is used up by an upstream that the request may not go to, and ends as quarantined.
void test.test('a trial is used up by a send only', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a']);
  const instance = harness.context.instances.get('a');
  assert.ok(instance);
  const { quarantine } = harness.context;
  const crashes = [0, 1, 2, 3].map((index) => ({
    ...{ instance: `x${index}`, content: `c${index}`, age: 5_000 - index * 1_000 },
  }));
  quarantine.mergeRecords([{ content: 'part:llm/p', crashes, lapses: 0 }]);
  const request = { ...harness.createRoutedRequest('stream').request, sharedParts: ['p'] };
  const causes = { content: contentDigest.forRequest(request, ''), parts: ['part:llm/p'] };
  assert.equal(quarantine.admit(request, causes), false);
  harness.time.advance(60_000);
  assert.equal(quarantine.admit(request, causes), true);
  const noop = (): void => undefined;
  const sendOnce = (dataCentres?: readonly string[]): void => {
    harness.context.upstreams.send(
      { request, instance, timeLeft: 1_000, isStream: true, origin: undefined, dataCentres },
      { head: noop, data: noop, end: noop, failed: noop },
    );
  };
  sendOnce(['elsewhere']);
  assert.equal(harness.sentCalls.length, 0);
  sendOnce();
  sendOnce();
  assert.equal(harness.sentCalls.length, 1);
});

// Guards against a harmless request that was placed before a part of its prompt came on trial, and is turned away for good.
void test.test('a request that waits for the trial of another is told when to come back', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a']);
  const crashOf = (content: string, age: number): quarantineTypes.InstanceCrash => ({
    ...{ instance: `of ${content}`, content, age },
  });
  harness.context.quarantine.mergeRecords([
    {
      content: 'part:llm/p',
      crashes: [crashOf('c1', 9_000), crashOf('c2', 7_000), crashOf('c3', 5_000)],
      lapses: 0,
    },
    { content: 'other', crashes: [{ instance: 'x', age: 6_000 }], lapses: 0 },
  ]);
  const routed = harness.createRoutedRequest('stream');
  harness.placements.push('a');
  const request = { ...routed.request, sharedParts: ['p'] };
  new streamExchange.StreamExchange(harness.context, { ...routed, request }).start();
  harness.time.advance(10);
  assert.equal(harness.refusals[0]?.reason, 'quarantined');
  assert.equal(harness.refusals[0].retryAfter, 1_000);
});
