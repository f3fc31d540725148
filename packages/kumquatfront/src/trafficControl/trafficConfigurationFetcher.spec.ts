/**
 * Which replica an entry requests a configuration from, and when, while replicas fail.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as packagePublisher from '../configurationTransfer/packagePublisher.js';
import type * as transferTypes from '../configurationTransfer/types.js';
import * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import * as timerService from '../kernel/timerService.js';
import * as virtualTime from '../kernel/virtualTime.js';
import * as trafficConfigurationFetcher from './trafficConfigurationFetcher.js';

interface ReceivedRequest {
  readonly address: string;
  readonly request: transferTypes.PieceRequest;
  readonly reply: ports.Reply;
}

/** A fetcher whose requests are recorded, and answered by the test. */
class FetcherTest {
  readonly time = new virtualTime.VirtualTime();
  readonly requests: ReceivedRequest[] = [];
  readonly versions: number[] = [];
  readonly fetcher = new trafficConfigurationFetcher.TrafficConfigurationFetcher({
    timers: timerService.create(this.time.clock, this.time),
    peers: {
      request: (address, _method, request, _timeout, reply) => {
        this.requests.push({ address, request: request as transferTypes.PieceRequest, reply });
      },
      notify: () => undefined,
      serve: () => undefined,
    },
    log: { debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined },
    preferredReplica: () => 'c1',
    onTraffic: ({ version }) => this.versions.push(version),
  });

  announce(version: number, ...addresses: readonly string[]): void {
    for (const address of addresses) {
      this.fetcher.recordVersion(address, version);
    }
    this.time.advance(30);
  }

  takeRequest(): ReceivedRequest {
    const taken = this.requests.shift();
    assert.ok(taken !== undefined, 'no request was sent');
    return taken;
  }

  /** Answers the oldest request from a replica's publisher, and returns it. */
  answer(publisher: packagePublisher.PackagePublisher): ReceivedRequest {
    const taken = this.takeRequest();
    taken.reply(results.Ok(publisher.answer(taken.request)));
    this.time.advance(1);
    return taken;
  }

  fail(): void {
    const reason = failures.create('timeout', 'The replica did not answer in time.', 'Try another one.');
    this.takeRequest().reply(results.Err(reason));
    this.time.advance(1);
  }
}

/** A text whose package takes several pieces. */
function largeText(version: number, lineCount = 12_000): string {
  let state = 1;
  const lines = Array.from({ length: lineCount }, () => {
    state = (state * 48_271) % 2_147_483_647;
    return String(state);
  });
  return `${version}\n${lines.join('\n')}`;
}

function publisherOf(version: number, lineCount?: number): packagePublisher.PackagePublisher {
  const publisher = new packagePublisher.PackagePublisher();
  publisher.record({ version, text: largeText(version, lineCount) });
  return publisher;
}

// A replica that stops answering must cost less time than a request takes to time out.
void test.test('a piece that does not arrive is requested from a second replica', () => {
  const fetcher = new FetcherTest();
  fetcher.announce(7, 'c1', 'c2');
  assert.equal(fetcher.takeRequest().address, 'c1');
  fetcher.time.advance(700);
  assert.equal(fetcher.takeRequest().address, 'c2');
});

void test.test(
  'a replica whose request has failed is asked again when it announces the version again',
  () => {
    const fetcher = new FetcherTest();
    fetcher.announce(7, 'c1');
    fetcher.fail();
    assert.equal(fetcher.requests.length, 0);
    fetcher.announce(7, 'c1');
    assert.equal(fetcher.takeRequest().address, 'c1');
  },
);

// What had arrived was discarded when a replica failed, so that a large configuration never arrived.
void test.test('another replica continues the package of one that fails', () => {
  const fetcher = new FetcherTest();
  fetcher.announce(7, 'c1', 'c2');
  fetcher.answer(publisherOf(7));
  fetcher.fail();
  const { address, request } = fetcher.answer(publisherOf(7));
  assert.equal(address, 'c2');
  assert.ok((request.position?.offset ?? 0) > 0);
});

// A package that no replica can continue must not keep the entry from newer versions.
void test.test('a package is begun anew if the only replica that could continue it has failed', () => {
  const fetcher = new FetcherTest();
  fetcher.announce(7, 'c1', 'c2');
  fetcher.answer(publisherOf(7));
  fetcher.fail();
  const newer = publisherOf(9);
  for (let piece = 0; fetcher.versions.length === 0 && piece < 100; piece += 1) {
    fetcher.answer(newer);
  }
  assert.deepEqual(fetcher.versions, [9]);
});

// Two replicas with different packages must not make the entry alternate between them.
void test.test('a package that makes progress is finished before a newer one is begun', () => {
  const fetcher = new FetcherTest();
  const publisher = publisherOf(7);
  fetcher.announce(7, 'c1', 'c2');
  fetcher.answer(publisher);
  fetcher.announce(8, 'c2');
  for (let piece = 0; fetcher.versions.length === 0 && piece < 100; piece += 1) {
    assert.equal(fetcher.answer(publisher).address, 'c1');
  }
  assert.deepEqual(fetcher.versions, [7]);
});

// A replica without the package was asked again with each of its answers while the one with the package was silent.
void test.test('a replica that cannot continue a package is not asked while another may answer', () => {
  const fetcher = new FetcherTest();
  fetcher.announce(7, 'c1', 'c2');
  fetcher.answer(publisherOf(7));
  fetcher.announce(9, 'c2');
  fetcher.takeRequest();
  fetcher.time.advance(700);
  assert.equal(fetcher.answer(publisherOf(9, 24_000)).address, 'c2');
  fetcher.time.advance(700);
  assert.equal(fetcher.requests.length, 0);
});

// The text in force at an entry may differ from the one that a replica has under the same version.
void test.test('a complete configuration is requested if changes cannot be applied', () => {
  const fetcher = new FetcherTest();
  const text = (version: number): string => `${version}\nunchanged\n`;
  const publisher = new packagePublisher.PackagePublisher();
  publisher.record({ version: 7, text: text(7) });
  fetcher.announce(7, 'c1');
  fetcher.answer(publisher);
  const other = new packagePublisher.PackagePublisher();
  other.record({ version: 7, text: `other\n${text(7)}` });
  other.record({ version: 8, text: text(8) });
  fetcher.time.advance(300);
  fetcher.announce(8, 'c1');
  fetcher.answer(other);
  assert.deepEqual(fetcher.versions, [7]);
  fetcher.time.advance(300);
  assert.equal(fetcher.answer(other).request.base, 0);
  assert.deepEqual(fetcher.versions, [7, 8]);
});
