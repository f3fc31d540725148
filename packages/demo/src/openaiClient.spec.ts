/**
 * Compatibility of the request path, as separate processes, with the official OpenAI client.
 */
import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as test from 'node:test';

import * as openaiModule from 'openai';

import * as cluster from './cluster.js';
import * as configuring from './configuring.js';
import * as deployments from './deployments.js';

const WORKSPACE = new URL('../../../', import.meta.url).pathname;
const OUTPUT_TOKENS = 12;

void test.test('the OpenAI client receives streamed and unstreamed answers', async () => {
  const deployment = {
    ...deployments.tuckshop,
    configurationFile: path.join(WORKSPACE, deployments.tuckshop.configurationFile),
  };
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'kumquatfront-'));
  const running = await cluster.start(deployment, folder);
  try {
    await configuring.apply(running, deployment.configurationFile);
    const client = new openaiModule.OpenAI({
      baseURL: `${running.entryAddresses[0] ?? ''}/v1`,
      apiKey: 'demo-key-school-small',
      defaultHeaders: { 'Kumquatfront-Labels': 'traffic=question' },
      maxRetries: 0,
    });

    const stream = await client.chat.completions.create({
      model: 'ledger-8b',
      messages: [{ role: 'user', content: 'Is a receipt for oranges claimable?' }],
      max_completion_tokens: OUTPUT_TOKENS,
      stream: true,
    });
    const indexes: number[] = [];
    for await (const chunk of stream) {
      indexes.push(Number(/#(\d+) /.exec(chunk.choices[0]?.delta.content ?? '')?.[1]));
    }
    assert.deepEqual(
      indexes,
      Array.from({ length: OUTPUT_TOKENS }, (_, index) => index),
    );

    const completion = await client.completions.create({
      model: 'ledger-8b',
      prompt: 'Is a receipt for cups claimable?',
      max_tokens: OUTPUT_TOKENS,
    });
    assert.equal(completion.choices[0]?.text.trim().split(' ').length, OUTPUT_TOKENS);
    assert.equal(completion.usage?.completion_tokens, OUTPUT_TOKENS);
  } finally {
    await running.stop();
    fs.rmSync(folder, { recursive: true, force: true });
  }
});
