/** Time between two placements of a service. */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as grantPace from './grantPace.js';

void test.test('the interval follows the grants of its service', () => {
  const pace = new grantPace.GrantPace();
  for (let at = 0; at <= 20_000; at += 400) {
    pace.record('llm', at);
  }
  assert.ok(Math.abs(pace.intervalOf('llm') - 400) < 10);
  assert.equal(pace.intervalOf('other'), 100);
});

// Guards against callers that are refused for minutes because no request came for a while.
void test.test('a time without requests counts as one second at most', () => {
  const pace = new grantPace.GrantPace();
  pace.record('llm', 0);
  pace.record('llm', 600_000);
  assert.equal(pace.intervalOf('llm'), 190);
});
