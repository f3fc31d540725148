/**
 * Answers of control that are cut after any of their bytes: the operator client takes none for a whole one.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as kumquatfront from 'kumquatfront';

import * as operatorClient from './operatorClient.js';
import * as systemCommands from './systemCommands.js';

const { cutResponses, systemTime } = kumquatfront;

const SECOND = JSON.stringify({ answer: 'second' });

/** How the connection ends; those that are late differ in time only. */
const endings: readonly kumquatfront.cutResponses.Ending[] = ['end', 'reset'];

/** Requests are repeated without the delays of the client. */
const time = {
  clock: systemTime.clock,
  scheduler: {
    ...systemTime.scheduler,
    after: (_delay: number, callback: () => void) => systemTime.scheduler.after(0, callback),
  },
};

/** An object of JSON is whole with its last byte, whatever states the end of the body. */
const permitWholeContent: typeof cutResponses.permitted = (response, sentBytes, ending) => {
  const { head, contentBytes, framing } = response;
  if (framing === 'connection' && sentBytes >= head.length) {
    return sentBytes < head.length + contentBytes ? 'noEnd' : 'unconfirmed';
  }
  return cutResponses.permitted(response, sentBytes, ending);
};

/** Answers of control, which sends no interim responses: the client takes them for a fault. */
function createAnswers(method: string, body: string): readonly kumquatfront.cutResponses.WholeBytes[] {
  return cutResponses.createAll(method, body).filter(({ name }) => name !== 'interim responses');
}

for (const method of ['GET', 'POST'] as const) {
  // Guards against an operator who is told that a change was made, or how the system is, by a part of an answer.
  void test.test(`an answer of control to ${method} that is cut is asked for again`, async () => {
    const faults: string[] = [];
    const read = async (
      upstream: kumquatfront.cutResponses.CutUpstream,
    ): Promise<kumquatfront.cutResponses.Reported> => {
      const { cutFor, address } = upstream;
      let count = 0;
      upstream.cutFor = (request) => {
        count += 1;
        const bytes = `HTTP/1.1 200 OK\r\nContent-Length: ${SECOND.length}\r\n\r\n${SECOND}`;
        return count === 1 ? cutFor(request) : { bytes, ending: 'end' };
      };
      const random = kumquatfront.seededRandom.createUnpredictable();
      const client = new operatorClient.OperatorClient({ control: [address], key: 'k', random, time });
      const result = await (method === 'GET' ? client.status() : client.drain('e'));
      await client.close();
      const answer = result.ok ? (result.val as { readonly answer?: string }).answer : undefined;
      if (answer !== (count === 1 ? 'first' : 'second')) {
        faults.push(JSON.stringify({ answer, count }));
      }
      return { hasHead: count === 1, end: count === 1 ? 'unconfirmed' : 'failed' };
    };
    const answers = createAnswers(method, JSON.stringify({ answer: 'first' }));
    const problems = await cutResponses.playAll(answers, read, { permit: permitWholeContent, endings });
    assert.deepEqual([...problems, ...faults].slice(0, 10), []);
  });
}

// Guards against a table of addresses that lacks some, or is empty, by a part of an answer.
void test.test('addresses that are cut are none', async () => {
  const context = {} as Parameters<typeof systemCommands.addresses>[0];
  const list = JSON.stringify({ entries: [{ address: 'http://10.0.0.5:8080', dataCentre: 'perth-a' }] });
  const read = async ({
    address,
  }: kumquatfront.cutResponses.CutUpstream): Promise<kumquatfront.cutResponses.Reported> => {
    const result = await systemCommands.addresses(context, `http://${address}`);
    return { hasHead: result.ok, end: result.ok ? 'unconfirmed' : 'failed' };
  };
  const answers = createAnswers('GET', list);
  const problems = await cutResponses.playAll(answers, read, { permit: permitWholeContent, endings });
  assert.deepEqual(problems, []);
});
