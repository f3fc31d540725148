/**
 * Changes between texts restore the target exactly, and are small for small changes.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fastCheck from 'fast-check';

import * as textDelta from './textDelta.js';

const segment = fastCheck.constantFrom('{"a":1}', ',{"b":2}', '\n', 'é', '"}"', '');
const text = fastCheck.array(segment, { maxLength: 30 }).map((segments) => segments.join(''));

void test.test('changes applied to their base give the target', () => {
  fastCheck.assert(
    fastCheck.property(text, text, (base, target) => {
      assert.equal(textDelta.apply(base, textDelta.create(base, target)), target);
    }),
    { seed: 5, numRuns: 500 },
  );
});

// An entry behind a narrow link receives each change in time only if its size does not depend on the configuration's.
void test.test('the change of one object of many takes a few operations', () => {
  const objects = Array.from({ length: 5_000 }, (_, index) => `{"name":"r${index}"}`);
  const changed = objects.map((object, index) => (index === 2_500 ? '{"name":"changed"}' : object));
  const operations = textDelta.create(`7[${objects.join(',')}]`, `8[${changed.join(',')}]`);
  assert.ok(JSON.stringify(operations).length < 100, JSON.stringify(operations));
});
