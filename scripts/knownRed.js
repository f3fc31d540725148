/**
 * The list of tests that fail for a real fault which is not mended yet: KNOWN-RED.txt.
 *
 * Each entry is a block of `key: value` lines, ended by an empty line: `test` (file and name, with ` > ` between),
 * `command` with its seed, `seen`, and `issue`. The test run passes over just these, and fails where one of them
 * passes: a mended fault comes off the list.
 */

/** More known faults than this are a backlog, not a list. */
const MOST_ENTRIES = 3;

const KEYS = ['test', 'command', 'seen', 'issue'];

/**
 * Reads the list.
 *
 * @param {string} text - content of the file
 * @returns {{ test: string, command: string, seen: string, issue: string }[]} the entries
 * @example
 * parse('test: a.spec.js > b\ncommand: npm test\nseen: red\nissue: 1\n');
 */
export function parse(text) {
  const blocks = text
    .split(/\n\s*\n/)
    .map((block) => block.split('\n').filter((line) => line.trim() !== '' && !line.startsWith('#')))
    .filter((lines) => lines.length > 0);
  if (blocks.length > MOST_ENTRIES) {
    throw new Error(`KNOWN-RED.txt has ${blocks.length} entries; mend some, ${MOST_ENTRIES} are the most.`);
  }
  return blocks.map(parseBlock);
}

function parseBlock(lines) {
  const entry = {};
  for (const line of lines) {
    const [, key, value] = /^(\w+): (.+)$/.exec(line) ?? [];
    if (!KEYS.includes(key)) {
      throw new Error(`KNOWN-RED.txt: "${line}" is no line of an entry; write one of ${KEYS.join(', ')}.`);
    }
    entry[key] = value;
  }
  for (const key of KEYS) {
    if (entry[key] === undefined) {
      throw new Error(`KNOWN-RED.txt: an entry lacks "${key}"; add it.`);
    }
  }
  return entry;
}

/**
 * Judges a run against the list.
 *
 * @param {string[]} failed - tests that failed, as `file > name`
 * @param {string[]} passed - tests that passed
 * @param {{ test: string }[]} known - entries of the list
 * @returns {{ unknown: string[], mended: string[], missing: string[] }} failures that are not listed, entries whose
 *   test passes, entries whose test did not run
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
