/**
 * `npm test`: runs every spec, prints the known failures of KNOWN-RED.txt, and fails on any other failure.
 */
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as reporters from 'node:test/reporters';
import * as nodeTest from 'node:test';

import * as knownRed from './knownRed.js';

/** Time limit of one test in milliseconds; leaves a margin over the soak, the longest test. */
const TEST_TIMEOUT_MS = 240_000;

const ROOT = new URL('..', import.meta.url).pathname;
const KNOWN_RED_FILE = path.join(ROOT, 'KNOWN-RED.txt');

function findSpecs(folder) {
  const found = fs.readdirSync(path.join(ROOT, folder), { recursive: true, encoding: 'utf8' });
  return found.filter((file) => file.endsWith('.spec.js')).map((file) => path.join(ROOT, folder, file));
}

function findBuildFolders(parent) {
  return fs
    .readdirSync(path.join(ROOT, parent))
    .map((name) => path.join(parent, name, 'dist'))
    .filter((folder) => fs.existsSync(path.join(ROOT, folder)));
}

function testName(event) {
  return `${path.relative(ROOT, event.file ?? '')} > ${event.name}`;
}

const known = fs.existsSync(KNOWN_RED_FILE) ? knownRed.parse(fs.readFileSync(KNOWN_RED_FILE, 'utf8')) : [];
const folders = [
  'scripts',
  ...findBuildFolders('packages'),
  ...findBuildFolders('examples'),
  'platform/dist',
];
const files = folders.flatMap(findSpecs).sort();
const failed = [];
const passed = [];

/** Specs that measure a process run one at a time, after all others. */
const isIsolated = (file) => file.endsWith('.isolated.spec.js');

function run(selected, concurrency, onEnd) {
  const stream = nodeTest.run({ files: selected, concurrency, timeout: TEST_TIMEOUT_MS });
  stream.on('test:fail', (event) => {
    failed.push(testName(event));
  });
  stream.on('test:pass', (event) => {
    passed.push(testName(event));
  });
  stream.on('end', onEnd);
  stream.compose(new reporters.spec()).pipe(process.stdout, { end: false });
}

function report() {
  const { unknown, mended, missing } = knownRed.judge(failed, passed, known);
  for (const { test, seen, issue } of known) {
    process.stdout.write(`known red: ${test}: ${seen} (issue ${issue})\n`);
  }
  for (const test of mended) {
    process.stdout.write(`passes now, remove it from KNOWN-RED.txt: ${test}\n`);
  }
  for (const test of missing) {
    process.stdout.write(`listed in KNOWN-RED.txt, but did not run: ${test}\n`);
  }
  for (const test of unknown) {
    process.stdout.write(`failed: ${test}\n`);
  }
  process.exitCode = unknown.length + mended.length + missing.length === 0 && passed.length > 0 ? 0 : 1;
}

run(
  files.filter((file) => !isIsolated(file)),
  true,
  () => {
    run(files.filter(isIsolated), false, report);
  },
);
