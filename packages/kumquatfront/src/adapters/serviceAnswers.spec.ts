/**
 * Answers of services on the own interface, from an upstream that cuts them to a caller that reads how they are framed.
 */
import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as test from 'node:test';

import type * as agreedState from '../agreedState/types.js';
import type * as claimClient from '../claims/claimClient.js';
import * as wholeBody from '../client/wholeBody.js';
import type * as entryTypes from '../entryNode/types.js';
import * as results from '../kernel/results.js';
import type * as routing from '../routing/types.js';
import * as serviceRelay from '../streams/serviceRelay.js';
import type * as streams from '../streams/types.js';
import * as cutResponses from './cutResponses.js';
import * as entryHttpTestHarness from './entryHttpTestHarness.js';
import * as httpMessages from './httpMessages.js';
import * as httpUpstreams from './httpUpstreams.js';

const LOCAL = '127.0.0.1';
const BODY = '{"paid":7}';
const TEST_TIMEOUT_MS = 20_000;

const noop = (): void => undefined;

/** Claims of one process: the first call of each key runs, and its outcome is the answer to those that follow. */
function createClaims(): claimClient.ClaimClient {
  const outcomes = new Map<string, agreedState.RecordedOutcome | null>();
  const claims: Pick<claimClient.ClaimClient, 'claim' | 'settle'> = {
    claim: ({ key }, done) => {
      const outcome = outcomes.get(key);
      done(results.Ok(outcome === undefined ? { state: 'granted' } : { state: 'done', outcome }));
    },
    settle: ({ key, outcome }) => {
      outcomes.set(key, outcome);
    },
  };
  return claims as claimClient.ClaimClient;
}

/** Starts the server of an entry; the path of a call is the port of its upstream. */
async function startEntry(context: test.TestContext): Promise<number> {
  const services = httpUpstreams.createServicePort();
  const claims = createClaims();
  const callService = (request: entryTypes.ServiceRequest, caller: streams.ServiceCaller): void => {
    const { method, path, contentType, body, idempotencyKey = '' } = request;
    const announcement = { name: 's', address: `http://${LOCAL}:${path.slice(1)}` };
    const placement = { type: 'granted', upstream: { announcement } } as unknown as routing.Placement;
    new serviceRelay.ServiceRelay({
      call: { method, path, contentType, body, idempotencyKey },
      claim: { account: 'a', key: idempotencyKey, digest: '', holder: 'e', attempt: '1' },
      ...{ claims, services, timeout: TEST_TIMEOUT_MS, caller },
      host: {
        requestPlacement: (_excluded, done) => {
          done(placement);
          return noop;
        },
        mayRetry: () => false,
        otherEntries: () => [],
        ...{ onReleased: noop, onFinished: noop },
      },
    }).start();
  };
  return entryHttpTestHarness.start(context, { requests: { callService } });
}

interface Received {
  readonly status: number;
  readonly body: string;
  readonly isReplay: boolean;
  /** Whether a length or the last chunk states that the body is whole. */
  readonly isFramed: boolean;
  /** Number of bytes that the entry tells where the framing does not. */
  readonly toldBytes: string | undefined;
}

/** Sends a call and reads its answer, which has an end. */
function callOf(port: number, upstream: cutResponses.CutUpstream, key: string): Promise<Received> {
  return new Promise((resolve, reject) => {
    const path = `/v1/services/s/${upstream.address.split(':').at(-1) ?? ''}`;
    const headers = { 'idempotency-key': key, 'content-type': 'application/json' };
    const request = http.request({ host: LOCAL, port, method: 'POST', path, headers, agent: false });
    request.on('error', reject);
    request.on('response', (response) => {
      let body = '';
      response.setEncoding('latin1');
      response.on('data', (text: string) => {
        body += text;
      });
      response.on('error', reject);
      response.on('end', () => {
        const { 'content-length': length, 'transfer-encoding': coding } = response.headers;
        resolve({
          ...{ status: response.statusCode ?? 0, body },
          isReplay: response.headers['idempotency-replayed'] === 'true',
          isFramed: length !== undefined || coding !== undefined,
          toldBytes: httpMessages.header(response, wholeBody.RECEIVED_HEADER),
        });
      });
    });
    request.end('{}');
  });
}

// Guards against a part of an answer that reaches callers as a whole one: their framing is all that they can judge by.
void test.test('an answer of a service claims no more of its end than is known', async (context) => {
  const port = await startEntry(context);
  let count = 0;
  const faults: string[] = [];
  const read = async (upstream: cutResponses.CutUpstream): Promise<cutResponses.Reported> => {
    count += 1;
    const key = `key-${count}`;
    const { status, body, isFramed, toldBytes } = await callOf(port, upstream, key);
    if (status !== 200) {
      return { hasHead: false, end: 'failed' };
    }
    const again = await callOf(port, upstream, key);
    if (!again.isReplay || again.body !== body || again.isFramed !== isFramed) {
      faults.push(JSON.stringify({ body, isFramed, again }));
    }
    if (toldBytes !== (isFramed ? undefined : String(body.length))) {
      faults.push(JSON.stringify({ body, isFramed, toldBytes }));
    }
    if (!BODY.startsWith(body) || (isFramed && body !== BODY)) {
      faults.push(JSON.stringify({ body, isFramed }));
    }
    return { hasHead: true, end: isFramed ? 'whole' : 'unconfirmed' };
  };
  const problems = await cutResponses.playAll(cutResponses.createAll('POST', BODY), read);
  assert.deepEqual([...problems, ...faults].slice(0, 10), []);
});
