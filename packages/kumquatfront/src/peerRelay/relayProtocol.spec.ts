/** Requests through another entry whose messages are lost, or whose processes stop. */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as seededRandom from '../adapters/seededRandom.js';
import * as instanceTestHarness from '../instances/instanceTestHarness.js';
import * as results from '../kernel/results.js';
import * as timerService from '../kernel/timerService.js';
import * as virtualTime from '../kernel/virtualTime.js';
import * as relayTestHarness from '../relay/relayTestHarness.js';
import type * as relayTypes from '../relay/types.js';
import * as messages from './messages.js';
import * as peerList from './peerList.js';
import * as relayedExchange from './relayedExchange.js';
import * as relayServer from './relayServer.js';
import * as relayTestTransport from './relayTestTransport.js';

interface UpstreamRun {
  readonly through: string;
  readonly call: relayTypes.UpstreamCall;
  readonly listener: relayTypes.ExchangeListener;
  cancelled: boolean;
  paused: boolean;
}

const REQUEST: relayTypes.TrafficRequest = {
  identity: 'r',
  host: 'market.example',
  path: '/stock/x',
  method: 'POST',
  headers: [['X-Kind', 'order']],
  body: Buffer.from([0, 255, 10, 13]),
  key: 'secret',
  arrivedAt: 0,
};

/** An entry that is cut off, and peers that relay to one upstream. */
class RelaySystem {
  readonly time = new virtualTime.VirtualTime();
  readonly transport = new relayTestTransport.RelayTestTransport(this.time);
  readonly runs: UpstreamRun[] = [];
  readonly events: string[] = [];
  readonly declining = new Map<string, messages.DeclineReason>();
  private readonly random = seededRandom.create(5);
  private readonly list: peerList.PeerList;
  private readonly origin = this.transport.portOf('origin');
  private readonly originTimers = timerService.create(this.time.clock, this.time);

  constructor(peerNames: readonly string[]) {
    this.transport.portOf('control').serve(messages.methods.peers, (_parameters, reply) => {
      const peers = peerNames.map((name) => ({ name, address: name, dataCentre: 'a' }));
      reply(results.Ok({ peers } satisfies messages.PeersAnswer));
    });
    for (const name of peerNames) {
      this.startPeer(name);
    }
    this.list = new peerList.PeerList({
      ...this.basePorts(),
      entry: 'origin',
      dataCentre: 'a',
      replicas: () => ['control'],
    });
  }

  private basePorts(): Pick<
    relayedExchange.RelayedExchangeOptions,
    'timers' | 'random' | 'log' | 'metrics' | 'peers'
  > {
    const noop = (): void => undefined;
    return {
      timers: this.originTimers,
      random: this.random,
      log: { debug: noop, info: noop, warn: noop, error: noop },
      metrics: { count: noop, gauge: noop, timing: noop },
      peers: this.origin,
    };
  }

  startPeer(name: string): void {
    const upstreams: relayTypes.UpstreamPort = {
      send: (call, listener) => {
        const run: UpstreamRun = { through: name, call, listener, cancelled: false, paused: false };
        this.runs.push(run);
        return {
          cancel: () => {
            run.cancelled = true;
          },
          pause: () => {
            run.paused = true;
          },
          resume: () => {
            run.paused = false;
          },
        };
      },
      check: () => undefined,
      copyMemory: () => undefined,
      releaseCopy: () => undefined,
    };
    new relayServer.RelayServer({
      ...this.basePorts(),
      timers: timerService.create(this.time.clock, this.time),
      peers: this.transport.portOf(name),
      epoch: this.random.identity(),
      upstreams,
      declineReason: () => this.declining.get(name),
    });
  }

  /** Sends a request; what its listener receives is appended to `events`. */
  send(): relayedExchange.RelayedExchange {
    const now = this.time.now();
    const exchange = new relayedExchange.RelayedExchange(
      { ...this.basePorts(), peerList: this.list, entry: 'origin', onReached: () => undefined },
      {
        request: REQUEST,
        instance: messages.decodeInstance(instanceTestHarness.announcement('app-1'), now),
        timeLeft: 1_000,
        isStream: true,
        origin: undefined,
      },
      {
        head: ({ status }) => this.events.push(`head ${status}`),
        data: (bytes) => this.events.push(Buffer.from(bytes).toString()),
        end: () => this.events.push('end'),
        failed: (failure) => this.events.push(failure),
      },
      now,
    );
    exchange.start();
    return exchange;
  }

  /** Lets the newest run send its whole response. */
  answer(text = 'answer'): void {
    const { listener } = this.runs.at(-1) ?? assert.fail('nothing has run');
    listener.head(relayTestHarness.okHead);
    listener.data(Buffer.from(text));
    listener.end();
  }
}

void test.test('a response comes through a peer whole and in order', () => {
  const system = new RelaySystem(['p1', 'p2']);
  system.send();
  system.time.advance(50);
  const run = system.runs[0] ?? assert.fail('nothing has run');
  assert.deepEqual(run.call.request.body, REQUEST.body);
  assert.equal(run.call.request.key, undefined);
  run.listener.head(relayTestHarness.okHead);
  for (let index = 0; index < 20; index += 1) {
    run.listener.data(Buffer.from(`${index}`));
    system.time.advance(index % 3);
  }
  system.time.advance(1_000);
  run.listener.data(Buffer.from('20'));
  run.listener.end();
  system.time.advance(50);
  const chunks = Array.from({ length: 21 }, (_, index) => String(index));
  assert.deepEqual(system.events, ['head 200', ...chunks, 'end']);
  assert.equal(system.runs.length, 1);
});

// Guards against a call that runs twice because the message that brought it was held up, and overtaken by another peer.
void test.test('a call whose message was held up runs once', () => {
  const system = new RelaySystem(['p1', 'p2', 'p3']);
  system.transport.fateOf = (method, _to, count) =>
    method === messages.methods.send && count === 1 ? { delay: 1_500 } : 'arrives';
  system.send();
  system.time.advance(1_000);
  system.answer();
  system.time.advance(3_000);
  assert.deepEqual(system.events, ['head 200', 'answer', 'end']);
  assert.equal(system.runs.length, 1);
});

// Guards against a call that is reported as not sent, or sent again, although the answer to its message was lost.
void test.test('a call whose first answer was lost is found again at the same peer', () => {
  const system = new RelaySystem(['p1', 'p2']);
  system.transport.fateOf = (method, _to, count) =>
    method === messages.methods.send && count === 1 ? 'answerIsLost' : 'arrives';
  system.send();
  system.time.advance(50);
  system.answer();
  system.time.advance(2_000);
  assert.deepEqual(system.events, ['head 200', 'answer', 'end']);
  assert.equal(system.runs.length, 1);
});

// Guards against the loss of a complete response whose last answer did not arrive.
void test.test('a response is kept until its last answer has arrived', () => {
  const system = new RelaySystem(['p1', 'p2']);
  system.transport.fateOf = (method, _to, count) =>
    method === messages.methods.events && count <= 2 ? 'answerIsLost' : 'arrives';
  system.send();
  system.time.advance(400);
  system.answer();
  system.time.advance(3_000);
  assert.deepEqual(system.events, ['head 200', 'answer', 'end']);
});

// Guards against a call that is sent again after its peer has restarted and knows nothing of it.
void test.test('a call whose peer has restarted may have run', () => {
  const system = new RelaySystem(['p1']);
  system.send();
  system.time.advance(50);
  system.transport.stop('p1');
  system.startPeer('p1');
  system.time.advance(4_000);
  assert.deepEqual(system.events, ['broken']);
  assert.equal(system.runs.length, 1);
});

// Guards against a call that waits to its deadline, or is sent again, when its peer stops.
void test.test('a call whose peer has stopped may have run', () => {
  const system = new RelaySystem(['p1', 'p2']);
  system.send();
  system.time.advance(50);
  system.transport.stop(system.runs[0]?.through ?? '');
  system.time.advance(4_000);
  assert.deepEqual(system.events, ['broken']);
  assert.equal(system.runs.length, 1);
});

// Guards against runs that go on for a caller whose entry has stopped.
void test.test('a peer cancels the run of an entry that has stopped', () => {
  const system = new RelaySystem(['p1']);
  system.send();
  system.time.advance(50);
  system.transport.stop('origin');
  system.time.advance(3_000);
  assert.equal(system.runs[0]?.cancelled, true);
});

// Guards against runs that go on after their caller has left.
void test.test('the end of the caller reaches the upstream through the peer', () => {
  const system = new RelaySystem(['p1']);
  const exchange = system.send();
  system.time.advance(50);
  exchange.cancel();
  system.time.advance(10);
  assert.equal(system.runs[0]?.cancelled, true);
});

// Guards against a run that goes on beside the one that replaces it, because its cancellation was lost.
void test.test('a cancellation that was lost is repeated', () => {
  const system = new RelaySystem(['p1']);
  system.transport.fateOf = (method, _to, count) =>
    method === messages.methods.cancel && count === 1 ? 'isLost' : 'arrives';
  const exchange = system.send();
  system.time.advance(50);
  exchange.cancel('silent');
  system.time.advance(300);
  assert.equal(system.runs[0]?.cancelled, true);
});

// Guards against a cancellation that overtakes its request, which then runs for nobody.
void test.test('a request that arrives after its cancellation does not run', () => {
  const system = new RelaySystem(['p1']);
  system.transport.fateOf = (method) => (method === messages.methods.send ? { delay: 300 } : 'arrives');
  const exchange = system.send();
  system.time.advance(100);
  exchange.cancel();
  system.time.advance(1_000);
  assert.equal(system.runs.length, 0);
});

// Guards against requests that are stuck at peers that are cut off, drain or have no room.
void test.test('a peer that declines is passed over, and without any the request was not sent', () => {
  const system = new RelaySystem(['p1', 'p2', 'p3']);
  system.declining.set('p1', 'cutOff').set('p2', 'draining');
  system.send();
  system.time.advance(50);
  assert.deepEqual(
    system.runs.map(({ through }) => through),
    ['p3'],
  );
  system.answer();
  system.time.advance(50);
  system.declining.set('p3', 'overloaded');
  system.time.advance(3_000);
  system.send();
  system.time.advance(1_000);
  assert.deepEqual(system.events, ['head 200', 'answer', 'end', 'notSent']);
  assert.equal(system.runs.length, 1);
});

// Guards against callers that are refused because the only entry that could relay was slow for a moment.
void test.test('a peer that did not answer in time is asked again if there is no other', () => {
  const system = new RelaySystem(['p1']);
  system.transport.fateOf = (method, _to, count) =>
    method === messages.methods.offer && count <= 2 ? 'isLost' : 'arrives';
  system.send();
  system.time.advance(300);
  system.send();
  system.time.advance(600);
  assert.equal(system.runs.length, 2);
  system.transport.fateOf = () => 'arrives';
  system.time.advance(1_500);
  system.send();
  system.time.advance(10);
  assert.equal(system.runs.length, 3);
});

// Guards against a request that waits for peers which have all declined.
void test.test('a request fails at once when every peer has declined', () => {
  const system = new RelaySystem(['p1', 'p2']);
  system.declining.set('p1', 'cutOff').set('p2', 'cutOff');
  system.send();
  system.time.advance(30);
  assert.deepEqual(system.events, ['notSent']);
});

// Guards against an upstream that gets more time than the caller has, because the request waited for a peer.
void test.test('the time that is left shrinks on the way to a peer', () => {
  const system = new RelaySystem(['p1', 'p2']);
  system.transport.fateOf = (method) => (method === messages.methods.offer ? { delay: 100 } : 'arrives');
  system.send();
  system.time.advance(500);
  const [run] = system.runs;
  assert.ok(run !== undefined && run.call.timeLeft <= 900, `${run?.call.timeLeft} ms`);
});

// Guards against responses of endless upstreams that fill the memory of the peer which relays them.
void test.test('a peer gives up the largest response when all together are too large', () => {
  const system = new RelaySystem(['p1']);
  for (let count = 0; count < 3; count += 1) {
    system.send();
  }
  system.time.advance(100);
  assert.equal(system.runs.length, 3);
  for (const [index, { listener }] of system.runs.entries()) {
    listener.head(relayTestHarness.okHead);
    listener.data(Buffer.alloc((index === 1 ? 5_000 : 4_000) * 1_024));
  }
  assert.deepEqual(
    system.runs.map(({ cancelled }) => cancelled),
    [false, true, false],
  );
});
