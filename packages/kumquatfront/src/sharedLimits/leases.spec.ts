/**
 * One lease between an entry and a holder: who may spend what, and until when.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as seededRandom from '../adapters/seededRandom.js';
import * as timerService from '../kernel/timerService.js';
import * as virtualTime from '../kernel/virtualTime.js';
import * as leaseClient from './leaseClient.js';
import * as leaseLedger from './leaseLedger.js';
import * as leaseMessages from './leaseMessages.js';
import * as limitParts from './limitParts.js';

const KEY = 'retries:app';
const LIMIT = { amount: 1_000, window: 10_000 };
const ENTRIES = 4;

const noop = (): void => undefined;
const shared = {
  log: { debug: noop, info: noop, warn: noop, error: noop },
  metrics: { count: noop, gauge: noop, timing: noop },
};

/** A holder that lends; its own part is 20. */
function startLedger(runningFor = 20_000): {
  time: virtualTime.VirtualTime;
  ledger: leaseLedger.LeaseLedger;
} {
  const time = new virtualTime.VirtualTime();
  const timers = timerService.create(time.clock, time);
  const ledger = new leaseLedger.LeaseLedger({
    ...{ ...shared, timers, random: seededRandom.create(1), mayLend: () => true, entryCount: () => ENTRIES },
  });
  time.advance(runningFor);
  return { time, ledger };
}

function request(
  sequence: number,
  demand: Partial<leaseMessages.LeaseDemand>,
  entry = 'e1',
): leaseMessages.LeaseRequest {
  const base = { key: KEY, limit: LIMIT.amount, window: LIMIT.window, wanted: 0, used: 0, entries: ENTRIES };
  return { entry, epoch: entry, sequence, leases: [{ ...base, ...demand }] };
}

function grantedBy(ledger: leaseLedger.LeaseLedger, asked: leaseMessages.LeaseRequest): number {
  return ledger.lend(asked).leases[0]?.granted ?? 0;
}

/** An entry whose requests are recorded, and answered by the test if they do not time out. */
function startClient(timesOut = false): {
  time: virtualTime.VirtualTime;
  client: leaseClient.LeaseClient;
  sent: { request: leaseMessages.LeaseRequest; answer: (granted: number) => void }[];
} {
  const time = new virtualTime.VirtualTime();
  const timers = timerService.create(time.clock, time);
  const sent: { request: leaseMessages.LeaseRequest; answer: (granted: number) => void }[] = [];
  const client = new leaseClient.LeaseClient({
    ...{ ...shared, timers, random: seededRandom.create(1), entry: 'e1' },
    send: (sentRequest, timeout, done) => {
      if (timesOut) {
        time.after(timeout, () => {
          done(undefined);
        });
      }
      const answer = (granted: number): void => {
        const ttl = leaseMessages.LEASE_TTL;
        done({ holder: 'h', stamp: time.now(), leases: [{ key: KEY, granted, ttl }] });
      };
      sent.push({ request: sentRequest, answer });
    },
  });
  client.track(KEY, LIMIT, () => ({ entries: ENTRIES, used: 0, isActive: true, variance: 0, margin: 0 }));
  return { time, client, sent };
}

/** Takes that find no lease, so that the client asks for one. */
function burst({ client, time }: ReturnType<typeof startClient>, count: number): void {
  for (let index = 0; index < count; index += 1) {
    client.take(KEY, time.now());
  }
}

void test.test('a holder lends its own part, and no more before it has offers', () => {
  const { ledger } = startLedger();
  assert.equal(grantedBy(ledger, request(1, { wanted: 500 })), 20);
  assert.equal(grantedBy(ledger, request(1, { wanted: 500 }, 'e2')), 0);
});

// A former holder may have lent its own part until the new one started.
void test.test('a holder that starts lends nothing until earlier leases count no more', () => {
  const { ledger, time } = startLedger(1);
  assert.equal(grantedBy(ledger, request(1, { wanted: 20 })), 0);
  time.advance(leaseMessages.LEASE_TTL + LIMIT.window - 10);
  assert.equal(grantedBy(ledger, request(2, { wanted: 20 })), 0);
  time.advance(100);
  assert.equal(grantedBy(ledger, request(3, { wanted: 20 })), 20);
});

void test.test('what an entry reports as unspent can be lent again at once', () => {
  const { ledger } = startLedger();
  grantedBy(ledger, request(1, { wanted: 20 }));
  assert.equal(grantedBy(ledger, request(2, { used: 5 })), 0);
  assert.equal(ledger.outstanding(KEY), 5);
});

// An entry that has crashed reports nothing.
void test.test('a lease without a report counts until one window after its expiry', () => {
  const { ledger, time } = startLedger();
  grantedBy(ledger, request(1, { wanted: 20 }));
  time.advance(leaseMessages.LEASE_TTL + LIMIT.window - 300);
  assert.equal(ledger.outstanding(KEY), 20);
  time.advance(700);
  assert.equal(ledger.outstanding(KEY), 0);
});

// A late request would end a lease that the entry still spends, or grant a second one.
void test.test('a request that a later one has overtaken changes nothing', () => {
  const { ledger } = startLedger();
  assert.equal(grantedBy(ledger, request(2, { wanted: 5 })), 5);
  assert.equal(grantedBy(ledger, request(1, { wanted: 9 })), 0);
  assert.equal(ledger.outstanding(KEY), 5);
});

void test.test('an offer to another holder, or an old one, backs no lease', () => {
  const { ledger, time } = startLedger();
  const { holder, stamp } = ledger.lend(request(1, {}));
  ledger.lend({ ...request(2, { offered: 200 }), holder: 'other', stamp });
  assert.equal(grantedBy(ledger, request(1, { wanted: 500 }, 'e2')), 20);
  time.advance(leaseMessages.OFFER_LENDABLE + 1);
  ledger.lend({ ...request(3, { offered: 200 }), holder, stamp });
  assert.equal(grantedBy(ledger, request(2, { wanted: 500 }, 'e2')), 0);
});

// Entries without offers may round all of their shares up.
void test.test('a holder lends less of the offers while other entries round their shares', () => {
  const { ledger } = startLedger();
  const limit = 12;
  const { holder, stamp } = ledger.lend(request(1, { limit }));
  const { offered } = { offered: limitParts.entitlement(limit, ENTRIES) };
  ledger.lend({ ...request(2, { limit, offered }), holder, stamp });
  const silent = limitParts.reserve(limit, ENTRIES, ENTRIES - 1, 0);
  assert.equal(grantedBy(ledger, request(1, { limit, wanted: 9 }, 'e2')), Math.floor(offered - silent));
});

void test.test('an entry asks for what it lacked, and spends what it is granted', () => {
  const started = startClient();
  burst(started, 6);
  started.time.advance(500);
  const [first] = started.sent;
  assert.equal(first?.request.leases[0]?.wanted, 5);
  first.answer(2);
  const taken = [1, 2, 3].map(() => started.client.take(KEY, started.time.now()));
  assert.deepEqual(taken, [true, true, false]);
});

void test.test('a lease ends one time to live after its request, however late the answer', () => {
  const started = startClient();
  burst(started, 6);
  started.time.advance(500);
  started.time.advance(400);
  started.sent[0]?.answer(3);
  assert.equal(started.client.take(KEY, started.time.now() + 599), true);
  assert.equal(started.client.take(KEY, started.time.now() + 600), false);
});

// The holder has counted an earlier lease as returned when it received the next request.
void test.test('the answer to an older request is ignored', () => {
  const started = startClient();
  burst(started, 6);
  started.time.advance(1_000);
  assert.equal(started.sent.length, 2);
  started.sent[0]?.answer(3);
  assert.equal(started.client.take(KEY, started.time.now()), false);
  started.sent[1]?.answer(3);
  assert.equal(started.client.take(KEY, started.time.now()), true);
});

// The former process may have offered all but the kept part.
void test.test('a new process keeps to what its former process may have offered', () => {
  const { client, time } = startClient();
  assert.equal(client.staticShare(KEY, ENTRIES, time.now()), limitParts.minimumKept(LIMIT.amount, ENTRIES));
  time.advance(leaseMessages.offerDuration(LIMIT.window));
  assert.equal(client.staticShare(KEY, ENTRIES, time.now()), (limitParts.STATIC_PART * 1_000) / ENTRIES);
});

// Others spend what was offered until the offer ends.
void test.test('an entry does not use what it has offered, until the offer ends', () => {
  const { client, sent, time } = startClient();
  const kept = limitParts.minimumKept(LIMIT.amount, ENTRIES);
  const share = (limitParts.STATIC_PART * LIMIT.amount) / ENTRIES;
  time.advance(leaseMessages.offerDuration(LIMIT.window));
  sent.at(-1)?.answer(0);
  time.advance(1_500);
  const offered = sent.at(-1)?.request.leases[0]?.offered ?? 0;
  assert.ok(Math.abs(offered - (limitParts.entitlement(LIMIT.amount, ENTRIES) - kept)) < 0.01, `${offered}`);
  assert.equal(client.staticShare(KEY, ENTRIES, time.now()), kept);
  time.advance(leaseMessages.offerDuration(LIMIT.window) - 1_500);
  assert.ok(client.staticShare(KEY, ENTRIES, time.now()) <= share);
});

void test.test('without an answer an entry asks less often, and keeps its share', () => {
  const started = startClient(true);
  for (let second = 0; second < 30; second += 1) {
    burst(started, 5);
    started.time.advance(1_000);
  }
  assert.ok(started.sent.length <= 8, `${started.sent.length} requests`);
  const share = started.client.staticShare(KEY, ENTRIES, started.time.now());
  assert.equal(share, (limitParts.STATIC_PART * 1_000) / ENTRIES);
});
