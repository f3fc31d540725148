/**
 * Parses KNOWN-RED.txt, the list of tests that fail because of a known defect, and compares a test run with it.
 *
 * Each entry is a block of `key: value` lines, terminated by an empty line: `test` (file and name, separated by ` > `),
 * `command` with its seed, `seen`, and `issue`. The test run tolerates the failure of exactly these tests, and fails if
 * one of them passes, so that entries of fixed defects are removed.
 */

/** Limits the number of failing tests that may be tolerated at once. */
const MAXIMUM_ENTRIES = 3;

const KEYS = ['test', 'command', 'seen', 'issue'];

/**
 * Parses the list.
 *
 * @param {string} text - content of KNOWN-RED.txt
 * @returns {{ test: string, command: string, seen: string, issue: string }[]} the entries
 * @example
 * parse('test: a.spec.js > b\ncommand: npm test\nseen: red\nissue: 1\n');
 */
export function parse(text) {
  const blocks = text
    .split(/\n\s*\n/)
    .map((block) => block.split('\n').filter((line) => line.trim() !== '' && !line.startsWith('#')))
    .filter((lines) => lines.length > 0);
  if (blocks.length > MAXIMUM_ENTRIES) {
    throw new Error(
      `KNOWN-RED.txt has ${blocks.length} entries; fix some first, ${MAXIMUM_ENTRIES} is the maximum.`,
    );
  }
  return blocks.map(parseBlock);
}

function parseBlock(lines) {
  const entry = {};
  for (const line of lines) {
    const [, key, value] = /^(\w+): (.+)$/.exec(line) ?? [];
    if (!KEYS.includes(key)) {
      throw new Error(
        `KNOWN-RED.txt: invalid line "${line}"; expected a value for one of ${KEYS.join(', ')}.`,
      );
    }
    entry[key] = value;
  }
  for (const key of KEYS) {
    if (entry[key] === undefined) {
      throw new Error(`KNOWN-RED.txt: an entry has no "${key}"; add it.`);
    }
  }
  return entry;
}

/**
 * Compares the results of a test run with the list.
 *
 * @param {string[]} failed - tests that failed, as `file > name`
 * @param {string[]} passed - tests that passed
 * @param {{ test: string }[]} known - entries of the list
 * @returns {{ unknown: string[], mended: string[], missing: string[] }} failures that are not listed, entries whose
 *   test passed, entries whose test did not run
 * @example
 * judge(['a.spec.js > b'], [], []).unknown; // ['a.spec.js > b']
 */
export function judge(failed, passed, known) {
  const listed = known.map(({ test }) => test);
  return {
    unknown: failed.filter((test) => !listed.includes(test)),
    mended: listed.filter((test) => passed.includes(test) && !failed.includes(test)),
    missing: listed.filter((test) => !passed.includes(test) && !failed.includes(test)),
  };
}
