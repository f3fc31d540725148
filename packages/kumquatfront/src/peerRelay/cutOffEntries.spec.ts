/** Entries that reach no upstream, in a complete system on virtual time. */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as seededRandom from '../adapters/seededRandom.js';
import type * as relayTypes from '../relay/types.js';
import * as crashTestHarness from '../quarantine/crashTestHarness.js';

const UPSTREAMS = { llm: 4, app: 9 };

/** Refusals that do not state that the request has not run. */
const MAY_HAVE_RUN: readonly relayTypes.RefusalReason[] = ['outcomeUnknown', 'timeoutUnknown'];

/** Time from the start of a cut to the first request that counts. */
const DETECTION_TIME = 3_000;

const FORMS: readonly crashTestHarness.CutForm[] = ['silent', 'reset', 'newRefused'];

/** Seven entries: e1, e4 and e7 in data centre b, e2 and e5 in c, e3 and e6 in a. */
function createSystem(seed = 3): crashTestHarness.CrashTestHarness {
  return new crashTestHarness.CrashTestHarness(7, UPSTREAMS, () => 'served', seed, ['a', 'b', 'c']);
}

const EXTENTS: Readonly<Record<string, readonly string[]>> = {
  some: ['e1', 'e2', 'e3'],
  'a whole data centre': ['e1', 'e4', 'e7'],
  'nearly all': ['e1', 'e2', 'e3', 'e4', 'e5', 'e6'],
};

/** Sends each entry calls of all kinds at a constant rate. */
function sendLoad(system: crashTestHarness.CrashTestHarness, length: number, seed = 11): void {
  const random = seededRandom.create(seed);
  const { entryNames } = system;
  let count = 0;
  for (let at = 0; at < length; at += 25) {
    const entry = entryNames[Math.floor(random.next() * entryNames.length)] ?? '';
    const draw = random.next();
    const route = draw < 0.2 ? 'llm' : draw < 0.6 ? 'app' : 'orders';
    count += 1;
    const content = `request ${seed}.${count}`;
    system.time.after(at, () => {
      system.sendRequest(entry, route, content);
    });
  }
  system.time.advance(length);
}

interface ServedShare {
  readonly served: number;
  readonly all: number;
}

/** First tries served of those sent between two times to entries of a group. */
function servedShare(
  system: crashTestHarness.CrashTestHarness,
  from: number,
  until: number,
  isInGroup: (entry: string) => boolean,
): ServedShare {
  const attempts = system.attempts.filter(
    ({ startedAt, entry }) => startedAt >= from && startedAt < until && isInGroup(entry),
  );
  const served = attempts.filter(({ outcome }) => outcome === 'served');
  return { served: served.length, all: attempts.length };
}

/** Asserts that a group of entries serves first tries as often as the others, with one failure in 50 at most. */
function assertServedAlike(group: ServedShare, others: ServedShare, label: string): void {
  const detail = `${label}: ${group.served} of ${group.all}, the others ${others.served} of ${others.all}`;
  assert.ok(group.all > 20 && others.all > 20, detail);
  assert.ok(group.served / group.all >= 0.98 * (others.served / others.all), detail);
  assert.ok(others.served / others.all >= 0.98, detail);
}

// Guards against entries that refuse their callers for as long as they reach no upstream themselves.
void test.test('entries that reach no upstream serve first tries as the others do', () => {
  for (const form of FORMS) {
    for (const [extent, cutOff] of Object.entries(EXTENTS)) {
      const system = createSystem();
      sendLoad(system, 2_000);
      const cutAt = system.time.now();
      for (const entry of cutOff) {
        system.upstreams.cutOff(entry, form);
      }
      sendLoad(system, DETECTION_TIME + 9_000, 12);
      const end = system.time.now();
      system.time.advance(10_000);
      const from = cutAt + DETECTION_TIME;
      const group = servedShare(system, from, end, (entry) => cutOff.includes(entry));
      const others = servedShare(system, from, end, (entry) => !cutOff.includes(entry));
      assertServedAlike(group, others, `${extent}, ${form}`);
    }
  }
});

// Guards against a cut-off entry whose refused connections remove upstreams that the other entries use.
void test.test('an entry that is cut off removes no upstream for the others', () => {
  for (const form of FORMS) {
    const system = createSystem();
    const cutOff = EXTENTS.some ?? [];
    sendLoad(system, 2_000);
    for (const entry of cutOff) {
      system.upstreams.cutOff(entry, form);
    }
    const cutAt = system.time.now();
    sendLoad(system, 10_000, 12);
    system.time.advance(2_000);
    const others = servedShare(system, cutAt, system.time.now(), (entry) => !cutOff.includes(entry));
    const refused = system.attempts.filter(
      ({ entry, startedAt, outcome }) =>
        !cutOff.includes(entry) && startedAt >= cutAt && outcome === 'noUpstream',
    );
    assert.deepEqual(
      { form, served: others.served, refused: refused.length },
      { form, served: others.all, refused: 0 },
    );
    assert.deepEqual(system.control.crashReports, [], form);
  }
});

/** Attempts that were refused as not run although their content reached an upstream, and calls that arrived twice. */
function brokenPromises(system: crashTestHarness.CrashTestHarness): readonly string[] {
  const arrivals = new Map<string, number>();
  for (const { content } of system.upstreams.arrivals) {
    arrivals.set(content, (arrivals.get(content) ?? 0) + 1);
  }
  const orders = system.attempts.filter(({ route }) => route === 'orders');
  const repeated = orders.filter(({ content }) => (arrivals.get(content) ?? 0) > 1);
  const untrue = orders.filter(
    ({ content, refusal }) =>
      refusal !== undefined && !MAY_HAVE_RUN.includes(refusal.reason) && (arrivals.get(content) ?? 0) > 0,
  );
  return [
    ...repeated.map(({ content }) => `${content} ran twice`),
    ...untrue.map(({ content, outcome }) => `${content} ran: ${outcome ?? ''}`),
  ];
}

/** Requests of callers at an entry that reached upstreams over the connections of another one. */
function relayedOf(system: crashTestHarness.CrashTestHarness, entry: string, from: number): number {
  const sent = new Set(
    system.attempts
      .filter((attempt) => attempt.entry === entry && attempt.startedAt >= from)
      .map(({ content }) => content),
  );
  return system.upstreams.arrivals.filter(
    ({ content, entry: sender }) => sent.has(content) && sender !== entry,
  ).length;
}

// Guards against entries that send through others, at the cost of both, after they reach upstreams again.
void test.test('an entry uses its own links again a second after its cut has ended', () => {
  for (const form of FORMS) {
    const system = createSystem();
    system.upstreams.cutOff('e1', form);
    sendLoad(system, 5_000);
    assert.ok(relayedOf(system, 'e1', 0) > 10, form);
    system.upstreams.healCut('e1');
    system.time.advance(1_000);
    const healedAt = system.time.now();
    sendLoad(system, 4_000, 12);
    system.time.advance(5_000);
    assert.equal(relayedOf(system, 'e1', healedAt), 0, form);
    assert.deepEqual(brokenPromises(system), []);
  }
});

// Guards against callers that wait to their deadlines when no entry reaches an upstream.
void test.test(
  'entries that are all cut off refuse at once, with the reason, and serve once the cut has ended',
  () => {
    const system = createSystem();
    for (const entry of system.entryNames) {
      system.upstreams.cutOff(entry, 'reset');
    }
    sendLoad(system, 3_000);
    const from = system.time.now();
    const attempt = system.sendRequest('e1', 'orders', 'refused');
    system.time.advance(300);
    assert.equal(attempt.outcome, 'noUpstream');
    assert.match(attempt.refusal?.message ?? '', /reaches no upstream/);
    assert.equal(attempt.refusal?.closesConnection, true);
    for (const entry of system.entryNames) {
      system.upstreams.healCut(entry);
    }
    system.time.advance(2_000);
    const healedAt = system.time.now();
    sendLoad(system, 3_000, 12);
    system.time.advance(5_000);
    const { served, all } = servedShare(system, healedAt, system.time.now(), () => true);
    assert.equal(served, all);
    assert.deepEqual(system.control.crashReports, []);
    assert.ok(system.attempts.every(({ startedAt, outcome }) => startedAt < from || outcome !== undefined));
    assert.deepEqual(brokenPromises(system), []);
  },
);

// Guards against a crash that nobody reports, because an entry that is cut off cannot confirm it.
void test.test('an upstream that crashes while entries are cut off is still removed at once', () => {
  const system = createSystem();
  for (const entry of EXTENTS.some ?? []) {
    system.upstreams.cutOff(entry, 'reset');
  }
  sendLoad(system, 3_000);
  system.upstreams.crashOne('app');
  sendLoad(system, 1_000, 12);
  const crashed = system.upstreams.crashes.map(({ upstream }) => upstream);
  const reported = new Set(system.control.crashReports.flatMap(({ instances }) => instances));
  assert.deepEqual([...reported], crashed);
});

// Guards against a request that crashes upstreams without end because it is sent through other entries.
void test.test(
  'a request through other entries is not sent any more after it has crashed three upstreams',
  () => {
    const isDeadly = (content: string): boolean => content.startsWith('deadly');
    const system = new crashTestHarness.CrashTestHarness(7, UPSTREAMS, (content) =>
      isDeadly(content) ? 'crashes' : 'served',
    );
    for (const entry of ['e1', 'e2', 'e3']) {
      system.upstreams.cutOff(entry, 'newRefused');
    }
    sendLoad(system, 3_000);
    for (let round = 0; round < 30; round += 1) {
      system.sendRequest(`e${1 + (round % 3)}`, 'app', 'deadly');
      sendLoad(system, 500, 20 + round);
    }
    const crashes = system.upstreams.crashes.filter(({ content }) => isDeadly(content));
    assert.ok(crashes.length === 3, `${crashes.length} crashes`);
  },
);

// Guards against work in an evacuated data centre that comes through another entry.
void test.test('nothing is sent into an evacuated data centre through another entry', () => {
  const system = createSystem();
  system.upstreams.cutOff('e1', 'silent');
  sendLoad(system, 2_000);
  system.control.evacuateOrRestore(system.control.leader(), 'evacuate', 'b');
  const from = system.time.now();
  sendLoad(system, 4_000, 12);
  const arrived = system.upstreams.arrivals.filter(({ at, dataCentre }) => at > from && dataCentre === 'b');
  assert.equal(arrived.length, 0);
  assert.ok(relayedOf(system, 'e1', from) > 10);
});

// Guards against an entry that takes itself to be cut off because it does not reach one upstream, or a few.
void test.test('an entry that does not reach one upstream sends only its requests through others', () => {
  for (const form of FORMS) {
    const system = createSystem();
    system.upstreams.cutOff('e1', form, (address) => address.startsWith('app-1:'));
    sendLoad(system, 3_000);
    const from = system.time.now();
    sendLoad(system, 6_000, 12);
    system.time.advance(3_000);
    const { served, all } = servedShare(system, from, system.time.now(), (entry) => entry === 'e1');
    assert.equal(served, all, form);
    const relayed = system.upstreams.arrivals.filter(
      ({ at, entry, content }) =>
        at > from && entry !== 'e1' && system.attempts.some((a) => a.content === content && a.entry === 'e1'),
    );
    assert.ok(relayed.length > 5, `${form}: ${relayed.length} through others`);
    assert.ok(
      relayed.every(({ upstream }) => upstream === 'app-1'),
      form,
    );
    assert.deepEqual(system.control.crashReports, [], form);
  }
});

// Guards against faults that come together with a cut: bursts, crashes, a leader, a peer and a cut-off entry that are killed.
void test.test('a day of cuts amid other faults keeps every promise', () => {
  for (const [seed, form] of [...FORMS.entries(), ...FORMS.entries()].map(
    ([index, each], run) => [run * 3 + index + 1, each] as const,
  )) {
    const system = createSystem(seed);
    sendLoad(system, 1_000, seed);
    const cutOff = ['e1', 'e2', 'e4', 'e7'];
    const cutAll = (): void => {
      for (const entry of cutOff) {
        system.upstreams.cutOff(entry, form);
      }
    };
    const healAll = (): void => {
      for (const entry of cutOff) {
        system.upstreams.healCut(entry);
      }
    };
    cutAll();
    system.time.after(3_500, () => {
      system.upstreams.crashOne('app');
      system.upstreams.crashOne('llm');
    });
    system.time.after(5_000, () => {
      system.control.kill(system.control.leader());
    });
    system.time.after(6_500, () => {
      system.killEntry('e3');
    });
    system.time.after(7_000, () => {
      system.startEntry('e1');
    });
    system.time.after(9_000, healAll);
    system.time.after(10_500, cutAll);
    system.time.after(14_000, healAll);
    sendLoad(system, 6_000, 100 + seed);
    sendLoad(system, 12_000, 200 + seed);
    system.time.advance(10_000);
    assert.deepEqual(brokenPromises(system), [], `seed ${seed}, ${form}`);
    const { served, all } = servedShare(
      system,
      0,
      system.time.now(),
      (entry) => entry !== 'e3' && entry !== 'e1',
    );
    assert.ok(served / all > 0.95, `seed ${seed}, ${form}: ${served} of ${all}`);
  }
});
