/**
 * Bad input on every parser of outside input: none throws, and each refusal names a remedy.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fastCheck from 'fast-check';

import * as httpMessages from './adapters/httpMessages.js';
import * as validation from './configuration/validation.js';
import * as logFile from './consensus/logFile.js';
import * as upstreamUpdateParser from './directory/upstreamUpdateParser.js';
import type * as failures from './kernel/failures.js';
import type * as results from './kernel/results.js';
import * as labelSelector from './selectors/labelSelector.js';
import * as trafficResolver from './selectors/trafficResolver.js';
import * as settingsLoader from './settings/settingsLoader.js';
import * as resumeToken from './streams/resumeToken.js';

const RUNS = { numRuns: 300, seed: 7 };

type Parsed = results.Result<unknown, failures.Failure>;

function assertClear(parsed: Parsed): void {
  if (parsed.err) {
    assert.ok(parsed.val.message.length > 0);
    assert.ok(parsed.val.remedy.length > 0);
  }
}

const texts: readonly (readonly [string, (text: string) => Parsed])[] = [
  ['label selectors', labelSelector.parse],
  ['label headers', trafficResolver.parseHeaderLabels],
  ['news of upstreams', upstreamUpdateParser.parse],
  ['JSON bodies', httpMessages.parseObject],
  ['resume tokens', (text) => resumeToken.verify(text, 'account', 'key')],
  ['entry settings', (text) => settingsLoader.parseEntrySettings(text, 'file')],
  ['control settings', (text) => settingsLoader.parseControlSettings(text, 'file')],
];

for (const [what, parse] of texts) {
  void test.test(`${what}: any text and any JSON is taken or refused with a remedy`, () => {
    fastCheck.assert(
      fastCheck.property(fastCheck.oneof(fastCheck.string(), fastCheck.json()), (text) => {
        assertClear(parse(text));
      }),
      RUNS,
    );
  });
}

void test.test('configuration drafts: any body of any kind is taken or refused with a remedy', () => {
  const kinds = fastCheck.constantFrom(
    'market',
    'clientAccount',
    'deployment',
    'selector',
    'limits',
    'objective',
    'other',
  );
  fastCheck.assert(
    fastCheck.property(kinds, fastCheck.string(), fastCheck.jsonValue(), (kind, name, body) => {
      assertClear(validation.checkShape({ kind: kind as 'market', name, body }));
    }),
    RUNS,
  );
});

void test.test('log files: any bytes are read, cut off or refused', () => {
  fastCheck.assert(
    fastCheck.property(fastCheck.uint8Array({ maxLength: 400 }), (bytes) => {
      assertClear(logFile.decode(bytes));
    }),
    RUNS,
  );
});

// A caller changes its token to read another's stream. The signature covers everything but the index, and the
// account is part of it.
void test.test('a resume token is good for its own account and unchanged only', () => {
  const claims = {
    requestId: 'r',
    account: 'a',
    upstream: 'u',
    address: 'http://10.0.0.1:1',
    generation: 'r.1',
    path: '/v1/completions',
  };
  const token = `${resumeToken.issuePrefix(claims, 'key')}.5`;
  assert.equal(resumeToken.verify(token, 'a', 'key').unwrap().nextIndex, 5);
  assert.ok(resumeToken.verify(token, 'b', 'key').err);
  assert.ok(resumeToken.verify(token, 'a', 'other key').err);
  const lastDot = token.lastIndexOf('.');
  for (let position = 0; position < lastDot; position += 1) {
    const other = token[position] === 'A' ? 'B' : 'A';
    const changed = token.slice(0, position) + other + token.slice(position + 1);
    assert.ok(resumeToken.verify(changed, 'a', 'key').err, `position ${position}`);
  }
});
