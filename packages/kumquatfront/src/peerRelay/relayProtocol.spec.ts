/** Requests through another entry whose messages are lost, or whose processes stop. */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as seededRandom from '../adapters/seededRandom.js';
import * as instanceTestHarness from '../instances/instanceTestHarness.js';
import type * as ports from '../kernel/ports.js';
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

/** Transport of a peer that ignores what it does not know of a question. */
function withoutHold(port: ports.PeerTransport): ports.PeerTransport {
  return {
    ...port,
    serve: (method, handler) => {
      port.serve(method, (parameters, reply) => {
        handler({ ...(parameters as object), hold: undefined }, reply);
      });
    },
  };
}

/** An entry that is cut off, and peers that relay to one upstream. */
class RelaySystem {
  readonly time = new virtualTime.VirtualTime();
  readonly transport = new relayTestTransport.RelayTestTransport(this.time);
  readonly runs: UpstreamRun[] = [];
  readonly events: string[] = [];
  readonly declining = new Map<string, messages.DeclineReason>();
  private readonly random = seededRandom.create(5);
  private readonly list: peerList.PeerList;
  /** Length of all answers that the entry has been sent. */
  answeredLength = 0;
  private readonly origin = this.withMeasuredAnswers(this.transport.portOf('origin'));
  /** The peer that was started last. */
  server: relayServer.RelayServer | undefined;
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

  private withMeasuredAnswers(port: ports.PeerTransport): ports.PeerTransport {
    return {
      ...port,
      request: (address, method, parameters, timeout, done) => {
        port.request(address, method, parameters, timeout, (result) => {
          this.answeredLength += result.ok ? JSON.stringify(result.val).length : 0;
          done(result);
        });
      },
    };
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

  /** Starts a peer; one of an earlier release does not know that an entry takes nothing more. */
  startPeer(name: string, isEarlier = false): void {
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
    this.server = new relayServer.RelayServer({
      ...this.basePorts(),
      timers: timerService.create(this.time.clock, this.time),
      peers: isEarlier ? withoutHold(this.transport.portOf(name)) : this.transport.portOf(name),
      epoch: this.random.identity(),
      upstreams,
      declineReason: () => this.declining.get(name),
    });
  }

  /** Sends a request; what its listener receives is appended to `events`. */
  send(isStream = true): relayedExchange.RelayedExchange {
    const now = this.time.now();
    const exchange = new relayedExchange.RelayedExchange(
      { ...this.basePorts(), peerList: this.list, entry: 'origin', onReached: () => undefined },
      {
        request: REQUEST,
        instance: messages.decodeInstance(instanceTestHarness.announcement('app-1'), now),
        timeLeft: 1_000,
        isStream,
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
    run.listener.data(Buffer.from(`${index};`));
    system.time.advance(index % 3);
  }
  system.time.advance(1_000);
  run.listener.data(Buffer.from('20;'));
  run.listener.end();
  system.time.advance(50);
  // Chunks that wait together are passed on together.
  const text = Array.from({ length: 21 }, (_, index) => `${index};`).join('');
  const [head, ...chunks] = system.events.slice(0, -1);
  assert.deepEqual([head, chunks.join(''), system.events.at(-1)], ['head 200', text, 'end']);
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

// Guards against an upstream that is blamed, because the entry that relays is short of memory.
void test.test('a peer that is short of memory gives the largest response up, and says that it did', () => {
  const system = new RelaySystem(['p1']);
  system.send();
  system.send();
  system.time.advance(100);
  for (const [index, { listener }] of system.runs.entries()) {
    listener.head(relayTestHarness.okHead);
    listener.data(Buffer.alloc((index + 1) * 30_000));
  }
  const largest = system.server?.largest() ?? assert.fail('nothing is held');
  assert.equal(largest.held.bytes, 80_000);
  largest.giveUp();
  assert.deepEqual(
    system.runs.map(({ cancelled }) => cancelled),
    [false, true],
  );
  assert.equal(system.server?.held().bytes, 40_000);
  system.time.advance(100);
  assert.deepEqual(
    system.events.filter((event) => event === 'givenUp'),
    ['givenUp'],
  );
});

// Guards against an upstream that is blamed, because its caller's entry does not read what a peer holds for it.
void test.test('a peer that gives up what is not read says so, over either bound', () => {
  for (const sizes of [[6_500], [4_000, 5_000, 4_000]]) {
    const system = new RelaySystem(['p1']);
    sizes.forEach(() => system.send());
    system.time.advance(100);
    for (const [index, { listener }] of system.runs.entries()) {
      listener.head(relayTestHarness.okHead);
      listener.data(Buffer.alloc((sizes[index] ?? 0) * 1_024, 'x'));
    }
    system.time.advance(100);
    const failed = system.events.filter((event) => !event.startsWith('x') && event !== 'head 200');
    assert.deepEqual(failed, ['unread']);
  }
});

const PIECE = Buffer.alloc(32 * 1_024, 'x');

/** Sends pieces until the peer does not read any more, or has taken far too many; returns their number. */
function sendUntilPaused(run: UpstreamRun, most = 2_000): number {
  let count = 0;
  while (!run.paused && count < most) {
    run.listener.data(PIECE);
    count += 1;
  }
  return count;
}

function receivedBytes(events: readonly string[]): number {
  return events.filter((event) => event.startsWith('x')).join('').length;
}

/** Sends a request whose response has begun. */
function startResponse(
  system: RelaySystem,
  isStream = true,
): {
  readonly run: UpstreamRun;
  readonly exchange: relayedExchange.RelayedExchange;
} {
  const exchange = system.send(isStream);
  system.time.advance(50);
  const run = system.runs.at(-1) ?? assert.fail('nothing has run');
  run.listener.head(relayTestHarness.okHead);
  system.time.advance(10);
  return { run, exchange };
}

// Guards against a stream that fills both entries, is taken for abandoned, or loses bytes where it has stopped.
void test.test('a stream that is paused waits at its upstream, and goes on whole', () => {
  const system = new RelaySystem(['p1']);
  const { run, exchange } = startResponse(system);
  exchange.pause();
  system.time.advance(1_000);
  const count = sendUntilPaused(run);
  assert.ok(count < 20, `${count} pieces`);
  const lengthBefore = system.answeredLength;
  system.time.advance(10_000);
  assert.ok(system.answeredLength - lengthBefore < PIECE.length, 'events were sent that nobody takes');
  assert.equal(run.cancelled, false);
  assert.equal(run.paused, true);
  assert.deepEqual(system.events, ['head 200']);
  exchange.resume();
  system.time.advance(20);
  assert.equal(run.paused, false);
  run.listener.data(Buffer.from('last'));
  run.listener.end();
  system.time.advance(20);
  assert.equal(receivedBytes(system.events), count * PIECE.length);
  assert.deepEqual(system.events.slice(-2), ['last', 'end']);
});

// Guards against an answer that is passed on to a caller which cannot take more, from a peer that sends it nevertheless.
void test.test('a peer of an earlier release keeps the events of a stream that is paused', () => {
  const system = new RelaySystem([]);
  system.transport.portOf('control').serve(messages.methods.peers, (_parameters, reply) => {
    reply(
      results.Ok({ peers: [{ name: 'p1', address: 'p1', dataCentre: 'a' }] } satisfies messages.PeersAnswer),
    );
  });
  system.startPeer('p1', true);
  const { run, exchange } = startResponse(system);
  exchange.pause();
  // The question that was open before the pause brings one more answer.
  system.time.advance(1_000);
  for (const text of ['x1', 'x2', 'x3']) {
    run.listener.data(Buffer.from(text));
    system.time.advance(2_000);
  }
  run.listener.end();
  system.time.advance(3_000);
  assert.equal(run.cancelled, false);
  assert.deepEqual(system.events, ['head 200']);
  exchange.resume();
  system.time.advance(20);
  assert.deepEqual(system.events.join(' '), 'head 200 x1 x2 x3 end');
});

// Guards against two chains of questions, of which each answer makes the peer answer the other at once.
void test.test('a stream that is paused and resumed again and again asks no more often', () => {
  const system = new RelaySystem(['p1']);
  const { exchange } = startResponse(system);
  let questions = 0;
  system.transport.fateOf = (method) => {
    questions += method === messages.methods.events ? 1 : 0;
    return 'arrives';
  };
  for (let count = 0; count < 20; count += 1) {
    exchange.pause();
    system.time.advance(400);
    exchange.resume();
    system.time.advance(20);
  }
  questions = 0;
  system.time.advance(3_000);
  assert.ok(questions <= 11, `${questions} questions in 3 s`);
});

// Guards against bytes that are added to an event which the other entry has, and are lost with it.
void test.test('bytes that follow an event whose answer was lost arrive once', () => {
  const system = new RelaySystem(['p1']);
  const { run } = startResponse(system);
  let lost = 0;
  system.transport.fateOf = (method) => {
    lost += method === messages.methods.events ? 1 : 0;
    return method === messages.methods.events && lost % 2 === 1 ? 'answerIsLost' : 'arrives';
  };
  for (let index = 0; index < 40; index += 1) {
    run.listener.data(Buffer.from(`${index} `));
    system.time.advance(70);
  }
  run.listener.end();
  system.time.advance(5_000);
  const text = Array.from({ length: 40 }, (_, index) => `${index} `).join('');
  assert.equal(system.events.slice(1, -1).join(''), text);
  assert.equal(system.events.at(-1), 'end');
});

// Guards against an object, and a message part, for each byte that an upstream sends by itself.
void test.test('pieces of a byte that wait are one event', () => {
  const system = new RelaySystem(['p1']);
  const { run } = startResponse(system);
  system.transport.fateOf = (method) => (method === messages.methods.events ? { delay: 200 } : 'arrives');
  system.time.advance(400);
  for (let index = 0; index < 10_000; index += 1) {
    run.listener.data(Buffer.from('x'));
  }
  run.listener.end();
  system.time.advance(2_000);
  assert.equal(receivedBytes(system.events), 10_000);
  assert.ok(system.events.length <= 4, `${system.events.length} events`);
});

// Guards against a sound answer that is given up because it arrives faster than it is passed on.
void test.test('a plain answer of the largest size arrives whole through a peer', () => {
  const system = new RelaySystem(['p1']);
  const { run } = startResponse(system, false);
  let count = 0;
  for (let step = 0; step < 1_000 && count < 256; step += 1) {
    while (!run.paused && count < 256) {
      run.listener.data(PIECE);
      count += 1;
    }
    system.time.advance(20);
  }
  run.listener.end();
  system.time.advance(50);
  assert.equal(receivedBytes(system.events), 256 * PIECE.length);
  assert.equal(system.events.at(-1), 'end');
});
