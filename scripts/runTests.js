/**
 * `npm test`: runs every spec, prints what is known to be red, and fails for any other failure.
 */
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as reporters from 'node:test/reporters';
import * as nodeTest from 'node:test';

import * as knownRed from './knownRed.js';

/** The longest time that one test may take, in milliseconds: four times the soak, the longest one there is. */
const TEST_TIMEOUT = 240_000;

const ROOT = new URL('..', import.meta.url).pathname;
const LIST = path.join(ROOT, 'KNOWN-RED.txt');

function specsBelow(folder) {
  const found = fs.readdirSync(path.join(ROOT, folder), { recursive: true, encoding: 'utf8' });
  return found.filter((file) => file.endsWith('.spec.js')).map((file) => path.join(ROOT, folder, file));
}

function builtFolders(parent) {
  return fs
    .readdirSync(path.join(ROOT, parent))
    .map((name) => path.join(parent, name, 'dist'))
    .filter((folder) => fs.existsSync(path.join(ROOT, folder)));
}

function nameOf(event) {
  return `${path.relative(ROOT, event.file ?? '')} > ${event.name}`;
}

const known = fs.existsSync(LIST) ? knownRed.parse(fs.readFileSync(LIST, 'utf8')) : [];
const folders = ['scripts', ...builtFolders('packages'), ...builtFolders('examples'), 'platform/dist'];
const files = folders.flatMap(specsBelow).sort();
const failed = [];
const passed = [];

const stream = nodeTest.run({ files, concurrency: true, timeout: TEST_TIMEOUT });
stream.on('test:fail', (event) => {
  failed.push(nameOf(event));
});
stream.on('test:pass', (event) => {
  passed.push(nameOf(event));
});
stream.on('end', () => {
  const { unknown, mended, missing } = knownRed.judge(failed, passed, known);
  for (const { test, seen, issue } of known) {
    process.stdout.write(`known red: ${test}: ${seen} (issue ${issue})\n`);
  }
  for (const test of mended) {
    process.stdout.write(`mended, take it off KNOWN-RED.txt: ${test}\n`);
  }
  for (const test of missing) {
    process.stdout.write(`listed in KNOWN-RED.txt, but there is no such test: ${test}\n`);
  }
  for (const test of unknown) {
    process.stdout.write(`failed: ${test}\n`);
  }
  process.exitCode = unknown.length + mended.length + missing.length === 0 && passed.length > 0 ? 0 : 1;
});
stream.compose(new reporters.spec()).pipe(process.stdout);
