/**
 * docs/metrics.md names exactly the metrics that the code sends.
 */
import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as test from 'node:test';

const LIBRARY = new URL('./', import.meta.url).pathname;
const PAGE = new URL('../../../docs/metrics.md', import.meta.url).pathname;

function builtFiles(folder: string): readonly string[] {
  return fs.readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const file = path.join(folder, entry.name);
    if (entry.isDirectory()) {
      return builtFiles(file);
    }
    return file.endsWith('.js') && !file.endsWith('.spec.js') ? [file] : [];
  });
}

void test.test('every metric is on the page, and nothing else', () => {
  const sent = new Set<string>();
  for (const file of builtFiles(LIBRARY)) {
    const text = fs.readFileSync(file, 'utf8');
    for (const match of text.matchAll(/metrics\.(?:count|gauge|timing)\('([a-z_.]+)'/g)) {
      sent.add(match[1] ?? '');
    }
  }
  const named = [...fs.readFileSync(PAGE, 'utf8').matchAll(/^\| `([a-z_.]+)`/gm)].map(
    (match) => match[1] ?? '',
  );
  assert.deepEqual(named.sort(), [...sent].sort());
});
