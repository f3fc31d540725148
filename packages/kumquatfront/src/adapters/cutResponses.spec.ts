/**
 * Responses of upstreams that are cut after any of their bytes: no reader takes a part for a head or for a whole response.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as agreedState from '../agreedState/types.js';
import type * as relayTypes from '../relay/types.js';
import type * as streams from '../streams/types.js';
import * as cutResponses from './cutResponses.js';
import * as httpUpstreams from './httpUpstreams.js';
import * as singleUseConnection from './singleUseConnection.js';
import * as systemTime from './systemTime.js';
import * as wholeResponse from './wholeResponse.js';

const METHODS = ['GET', 'HEAD', 'POST'] as const;

/** No exchange of these tests takes as long. */
const TEST_TIMEOUT_MS = 20_000;

/** More than the kernel takes from a sender whose peer does not read. */
const UNREAD_BODY_BYTES = 8 * 1024 * 1024;

function requestTo(
  address: string,
  method: string,
  body = method === 'POST' ? Buffer.from('{}') : Buffer.alloc(0),
): singleUseConnection.OutgoingRequest {
  const headers: readonly relayTypes.Header[] = [
    ['Host', address],
    ...(body.length > 0 ? [['Content-Length', String(body.length)] as const] : []),
  ];
  return { address, method, path: '/', headers, body };
}

/** Time for which a paused exchange is not read, in milliseconds: its connection has ended meanwhile. */
const PAUSE_MS = 20;

/**
 * Sends a request on a connection of its own, as calls and streams of the platform do.
 *
 * @param pausesAt - when the reads are paused for a while, as by a caller that takes no more
 */
function exchange(
  request: singleUseConnection.OutgoingRequest,
  pausesAt?: 'start' | 'head',
): Promise<cutResponses.Reported> {
  return new Promise((resolve) => {
    let received: relayTypes.BodyFraming | undefined;
    const pause = (): void => {
      sent.pause();
      setTimeout(() => {
        sent.resume();
      }, PAUSE_MS);
    };
    const sent = singleUseConnection.send(request, systemTime.scheduler, {
      head: (_status, _headers, framing) => {
        received = framing;
        if (pausesAt === 'head') {
          pause();
        }
      },
      data: () => undefined,
      end: () => {
        resolve({ hasHead: true, end: received === 'connection' ? 'unconfirmed' : 'whole' });
      },
      failed: () => {
        resolve({ hasHead: received !== undefined, end: 'failed' });
      },
    });
    if (pausesAt === 'start') {
      pause();
    }
  });
}

for (const method of METHODS) {
  // Guards against a part of a response that is passed on to a caller as a whole one.
  void test.test(`an exchange takes no part of a response to ${method} for a whole one`, async () => {
    const responses = cutResponses.createAll(method, 'sound');
    const problems = await cutResponses.playAll(responses, ({ address }) =>
      exchange(requestTo(address, method)),
    );
    assert.deepEqual(problems, []);
  });
}

for (const pausesAt of ['start', 'head'] as const) {
  // Guards against an end that is taken for a whole one because its cause came while nothing was read.
  void test.test(
    `an exchange that is paused at its ${pausesAt} takes no part for a whole response`,
    async () => {
      const responses = cutResponses.createAll('POST', 'sound');
      const read = ({ address }: cutResponses.CutUpstream): Promise<cutResponses.Reported> =>
        exchange(requestTo(address, 'POST'), pausesAt);
      assert.deepEqual(await cutResponses.playAll(responses, read), []);
    },
  );
}

// Guards against a failure of the request being reported after a head that has none, or instead of one that is cut.
void test.test('a response that is cut while the request is sent is no whole one', async () => {
  const body = Buffer.alloc(UNREAD_BODY_BYTES, 'x');
  const [first, second, , chunked] = cutResponses.createAll('POST', 'sound');
  assert.ok(first && second && chunked);
  // A whole response on a connection that ends while the request is sent may be lost.
  const isReset = (problem: string): boolean => problem.endsWith('a whole response failed');
  const problems = await cutResponses.playAll(
    [first, second, chunked],
    ({ address }) => exchange(requestTo(address, 'POST', body)),
    { isEarly: true },
  );
  assert.deepEqual(
    problems.filter((problem) => !isReset(problem)),
    [],
  );
});

for (const method of METHODS) {
  // Guards against copies of memory, reports and receipts that are read from a part of a response.
  void test.test(`a response to ${method} that is read as a whole is no part of one`, async () => {
    const responses = cutResponses.createAll(method, '{"born":7}');
    const bounds = { maximumBytes: 65_536, timeout: TEST_TIMEOUT_MS };
    const problems = await cutResponses.playAll(
      responses,
      ({ address }) =>
        new Promise((resolve) => {
          wholeResponse.send(requestTo(address, method), bounds, systemTime.scheduler, (result) => {
            const isUnconfirmed = result.ok && result.val.framing === 'connection';
            resolve({
              hasHead: result.ok,
              end: result.err ? 'failed' : isUnconfirmed ? 'unconfirmed' : 'whole',
            });
          });
        }),
    );
    assert.deepEqual(problems, []);
  });
}

for (const method of METHODS) {
  // Guards against a part of an answer that the own interface passes on, and records as the outcome of a call.
  void test.test(`a service of the own interface answers ${method} with a whole response`, async () => {
    const services = httpUpstreams.createServicePort();
    const call = { method, path: '/pay', contentType: 'application/json', body: '{}', idempotencyKey: 'k' };
    const problems = await cutResponses.playAll(
      cutResponses.createAll(method, '{"paid":7}'),
      ({ address }, { framing }) =>
        new Promise((resolve) => {
          services.call({ name: 's', address: `http://${address}` }, call, TEST_TIMEOUT_MS, {
            onAnswer: () => {
              resolve({ hasHead: true, end: framing === 'connection' ? 'unconfirmed' : 'whole' });
            },
            onFailed: () => {
              resolve({ hasHead: false, end: 'failed' });
            },
          });
        }),
    );
    assert.deepEqual(problems, []);
  });
}

const RECEIPT = '{"fencingNumber":7,"target":"ledger"}';
const ORDER: agreedState.Order = {
  ...{ orderId: 'o1', upstream: 's', fencingNumber: 7, stamp: 0, state: 'open' },
  order: { action: 'loadModel', target: 'ledger' },
};

/** Sends an order; the order and its receipt are two requests, of which the given one is cut. */
function playOrder(cutMethod: string): Promise<readonly string[]> {
  const port = httpUpstreams.createOrderPort();
  const whole: cutResponses.Cut = {
    bytes: `HTTP/1.1 200 OK\r\nContent-Length: ${RECEIPT.length}\r\n\r\n${RECEIPT}`,
    ending: 'end',
  };
  const play = (upstream: cutResponses.CutUpstream): Promise<cutResponses.Reported> => {
    const { cutFor } = upstream;
    const methods = new Set<string>();
    upstream.cutFor = (request) => {
      methods.add(request.slice(0, request.indexOf(' ')));
      return request.startsWith(cutMethod) ? cutFor(request) : whole;
    };
    return new Promise((resolve) => {
      port.send(ORDER, `http://${upstream.address}`, TEST_TIMEOUT_MS, ({ ok }) => {
        resolve({ hasHead: ok, end: ok ? 'whole' : 'failed', lacksRequest: !methods.has('GET') });
      });
    });
  };
  const permit: typeof cutResponses.permitted = (response, sentBytes, ending) => {
    const permitted = cutResponses.permitted(response, sentBytes, ending);
    if (permitted !== 'unconfirmed') {
      return permitted;
    }
    // The receipt is an object, which its last byte ends; the response to the order itself has nothing that is read.
    const isWhole = cutMethod === 'POST' || sentBytes === response.head.length + RECEIPT.length;
    return isWhole ? 'whole' : 'noEnd';
  };
  return cutResponses.playAll(cutResponses.createAll(cutMethod, RECEIPT), play, { permit });
}

// Guards against an order that counts as confirmed by a part of a response, and is not sent again.
void test.test('an order is confirmed by whole responses only', async () => {
  assert.deepEqual(await playOrder('POST'), []);
  assert.deepEqual(await playOrder('GET'), []);
});

const TOKEN = '{"choices":[{"text":"a"}]}';
const GENERATION = `id: r.1:0\ndata: ${TOKEN}\n\nid: r.1:1\r\ndata: [DONE]\r\n\r\n`;

/** Reads a generation; what completes it is its last event, in whatever framing. */
function readGeneration(
  open: (listener: streams.GenerationListener) => void,
): Promise<cutResponses.Reported & { tokens: readonly string[]; count: number }> {
  return new Promise((resolve) => {
    let hasHead = false;
    const tokens: string[] = [];
    open({
      onAccepted: () => {
        hasHead = true;
      },
      onToken: (generation, index, data) => {
        tokens.push(`${generation}:${index} ${data}`);
      },
      onCompleted: (_generation, count) => {
        resolve({ hasHead, end: 'whole', tokens, count });
      },
      onFailed: () => {
        resolve({ hasHead, end: 'failed', tokens, count: tokens.length });
      },
    });
  });
}

/** The last event of a generation is its end, whatever states the end of the response. */
const permitUpToLastEvent: typeof cutResponses.permitted = ({ head, contentBytes }, sentBytes) => {
  if (sentBytes < head.length) {
    return 'noHead';
  }
  return sentBytes < head.length + contentBytes ? 'noEnd' : 'whole';
};

for (const method of ['POST', 'GET'] as const) {
  // Guards against a generation that is complete, or has a token, by a part of its events.
  void test.test(`a generation that is read by ${method} has whole events only`, async () => {
    const engines = httpUpstreams.createGenerationPort();
    const request = { generation: 'r.1', path: '/v1/completions', body: '{}', priority: 0 };
    const faults: string[] = [];
    const read = async ({ address }: cutResponses.CutUpstream): Promise<cutResponses.Reported> => {
      const target = { name: 's', address: `http://${address}` };
      const { tokens, count, ...reported } = await readGeneration((listener) => {
        if (method === 'POST') {
          engines.start(target, request, listener);
        } else {
          engines.resume(target, 'r.1', 0, listener);
        }
      });
      const areWhole = tokens.every((token) => token === `r.1:0 ${TOKEN}`) && count === tokens.length;
      if (!areWhole || (reported.end === 'whole' && count !== 1)) {
        faults.push(JSON.stringify({ tokens, count, reported }));
      }
      return reported;
    };
    const responses = cutResponses.createAll(method, GENERATION, 'Content-Type: text/event-stream\r\n');
    assert.deepEqual(await cutResponses.playAll(responses, read, { permit: permitUpToLastEvent }), []);
    assert.deepEqual(faults, []);
  });
}
