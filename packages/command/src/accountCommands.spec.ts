/**
 * The table of client accounts.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as accountCommands from './accountCommands.js';

const ROW = { service: 'llm', weight: 1, held: 900, waiting: 3_000, refused: 4, refusedForShare: 3 };

void test.test('the account furthest above its share comes first, and silent replicas are named', () => {
  const rows = accountCommands.accountRows({
    accounts: [
      { ...ROW, account: 'small', share: 1_000, use: 500.4, debt: -1_000 },
      { ...ROW, account: '', share: 1_000, use: 1_500, debt: 1_000 },
    ],
    silent: ['10.0.0.9:7300'],
  });
  assert.deepEqual(rows.slice(1), [
    ['llm', '(no account)', '1', '1000', '1500', '3000', '1.0', '4', '3'],
    ['llm', 'small', '1', '1000', '500', '3000', '-1.0', '4', '3'],
    ['10.0.0.9:7300 did not respond'],
  ]);
});

void test.test('without accounts the table says so', () => {
  const rows = accountCommands.accountRows({ accounts: [], silent: [] });
  assert.deepEqual(rows, [['no client account uses or waits for an engine']]);
});
