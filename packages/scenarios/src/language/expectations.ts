/**
 * Implements `expect` lines, and the invariants that are checked at the end of every scenario.
 */
import * as scenarioLine from './scenarioLine.js';
import type * as session from './session.js';

/** Checks one line; returns the mismatch, or undefined when the expectation holds. */
type Expectation = (current: session.Session, line: scenarioLine.Line) => string | undefined;

const { word, numberOption } = scenarioLine;

function compare(subject: string, actual: unknown, expected: unknown): string | undefined {
  return String(actual) === String(expected)
    ? undefined
    : `${subject} is ${String(actual)}, expected ${String(expected)}`;
}

/** `expect stream r1 whole restarts=1 connections=2` or `expect stream r1 refused interrupted` */
const stream: Expectation = (current, line) => {
  const found = current.streams.get(word(line, 0));
  if (found === undefined) {
    return 'the stream does not exist';
  }
  const { restarts, connections, tokens } = line.options;
  return (
    compare('state', found.state, word(line, 1)) ??
    (line.words[2] === undefined ? undefined : compare('refusal', found.refusal?.kind, line.words[2])) ??
    (restarts === undefined ? undefined : compare('restarts', found.restarts, restarts)) ??
    (connections === undefined ? undefined : compare('connections', found.connections, connections)) ??
    (tokens === undefined ? undefined : compare('tokens', found.tokens, tokens))
  );
};

/** `expect call p1 answered` or `expect call p1 refused outcomeUnknown` */
const call: Expectation = (current, line) => {
  const found = current.calls.get(word(line, 0));
  return (
    compare('state', found?.state, word(line, 1)) ??
    (line.words[2] === undefined ? undefined : compare('refusal', found?.refusal?.kind, line.words[2]))
  );
};

/** `expect change c1 accepted` or `expect change c1 refused conflict` */
const change: Expectation = (current, line) => {
  const found = current.changes.get(word(line, 0));
  const same = line.options.same;
  return (
    compare('state', found?.state, word(line, 1)) ??
    (line.words[2] === undefined ? undefined : compare('refusal', found?.failure?.kind, line.words[2])) ??
    (same === undefined ? undefined : compare('version', found?.version, current.changes.get(same)?.version))
  );
};

const expectations: Readonly<Record<string, Expectation>> = {
  stream,
  call,
  change,
  ran: (current, line) => compare('runs', current.runCountOf(word(line, 0)), word(line, 1)),
  leaders: (current, line) => compare('leaders', current.world.leaders().length, word(line, 0)),
  leader: (current, line) => compare('leader', current.world.leaders()[0], word(line, 0)),
  /** Running replicas that vote under their current identity; members may still list an identity that was lost. */
  voters: (current, line) => compare('voters', countRunningVoters(current), word(line, 0)),
  /** The state digests of all running replicas are equal. */
  'equal-state': (current) => {
    const digests = [...current.world.controls.values()]
      .filter((replica) => replica.host.isUp)
      .map((replica) => replica.node?.status().digest);
    return compare('number of different states', new Set(digests).size, 1);
  },
  /** `expect in-force c1 3`: the number of entries where a change is in force. */
  'in-force': (current, line) => {
    const version = current.changes.get(word(line, 0))?.version ?? 0;
    return version === 0
      ? 'the change was not accepted'
      : compare('entries', current.countEntriesInForce(version), word(line, 1));
  },
  /** `expect state entry-1 serving` */
  state: (current, line) =>
    compare('state', current.world.entries.get(word(line, 0))?.node?.presence().state, word(line, 1)),
  up: (current, line) => compare('up', current.world.hostOf(word(line, 0)).isUp, true),
  down: (current, line) => compare('up', current.world.hostOf(word(line, 0)).isUp, false),
  /** `expect starts e1 2`: generations started by the current incarnation of an engine. */
  starts: (current, line) =>
    compare('starts', current.world.engines.get(word(line, 0))?.model.counts.starts, word(line, 1)),
  running: (current, line) =>
    compare('running', current.world.engines.get(word(line, 0))?.model.load().running, word(line, 1)),
  /** `expect listed entry-1 at entry-2` and `expect unlisted ...` */
  listed: (current, line) => compare('listed', isListed(current, line), true),
  unlisted: (current, line) => compare('listed', isListed(current, line), false),
  /** `expect orders e1 o1,o2`: targets of the orders that an upstream accepted, oldest first. */
  orders: (current, line) => {
    const accepted = current.world.engines.get(word(line, 0))?.orderReceiver.accepted ?? [];
    return compare('orders', accepted.map((order) => order.target).join(','), word(line, 1));
  },
  /** Loads that the weight store rejected. */
  'weight-refusals': (current, line) =>
    compare('refused loads', current.world.weightStore.refusedLoads, word(line, 0)),
  /** `expect newest-order e1 second`: target of the last order that an upstream accepted. */
  'newest-order': (current, line) =>
    compare(
      'newest order',
      current.world.engines.get(word(line, 0))?.orderReceiver.accepted.at(-1)?.target,
      word(line, 1),
    ),
  /** `expect stalled r1 below=50`: flow control keeps the tokens of a slow caller at the engine, not at the entry. */
  stalled: (current, line) => {
    const found = current.streams.get(word(line, 0));
    return (found?.tokens ?? 0) <= numberOption(line, 'below', 0)
      ? undefined
      : `received ${found?.tokens ?? 0} tokens`;
  },
};

function countRunningVoters(current: session.Session): number {
  const [leader = ''] = current.world.leaders();
  const members = current.world.controls.get(leader)?.node?.status().replica.members ?? [];
  const voters = new Set(
    members.filter((member) => member.role === 'voter').map((member) => member.identity),
  );
  const running = [...current.world.controls.values()].filter((replica) => replica.host.isUp);
  return running.filter((replica) => voters.has(replica.node?.status().replica.identity ?? '')).length;
}

function isListed(current: session.Session, line: scenarioLine.Line): boolean {
  const entryName = scenarioLine.wordAfter(line, 'at') ?? 'entry-1';
  const addresses = current.world.entries.get(entryName)?.node?.addresses() ?? [];
  return addresses.some((address) => address.address === `http://${word(line, 0)}`);
}

function mismatchOf(current: session.Session, line: scenarioLine.Line): string | undefined {
  const [name = '', ...words] = line.words;
  const expectation = expectations[name];
  if (expectation === undefined) {
    throw new scenarioLine.ScenarioError(line, `unknown expectation "${name}"`);
  }
  return expectation(current, { ...line, words });
}

/**
 * Whether an expectation holds now.
 *
 * @param line - line with the words of an `expect` line
 * @returns true when the expectation holds
 * @example
 * ```ts
 * expectations.holds(session, line);
 * ```
 */
export function holds(current: session.Session, line: scenarioLine.Line): boolean {
  return mismatchOf(current, line) === undefined;
}

/**
 * Checks an `expect` line; throws a `ScenarioError` when the expectation does not hold.
 *
 * @param current - session of the scenario
 * @example
 * ```ts
 * expectations.check(session, line);
 * ```
 */
export function check(current: session.Session, line: scenarioLine.Line): void {
  const mismatch = mismatchOf(current, line);
  if (mismatch !== undefined) {
    throw new scenarioLine.ScenarioError(line, mismatch);
  }
}

/**
 * Checks the invariants that hold at the end of every scenario.
 *
 * @param current - session of the scenario
 * @returns the violations; empty when all invariants hold
 * @example
 * ```ts
 * assert.deepEqual(expectations.findViolations(session), []);
 * ```
 */
export function findViolations(current: session.Session): readonly string[] {
  const violations: string[] = [];
  for (const found of current.streams.values()) {
    violations.push(...found.violations.map((violation) => `${found.request.name}: ${violation}`));
  }
  for (const [name, found] of current.calls) {
    if (found.key !== undefined) {
      violations.push(...callViolations(current, name, found));
    }
  }
  if (current.world.leaders().length > 1) {
    violations.push(`${current.world.leaders().length} replicas lead at the same time`);
  }
  return violations;
}

function callViolations(
  current: session.Session,
  name: string,
  found: session.CallRecord,
): readonly string[] {
  const runs = current.runCountOf(found.key ?? '');
  const others = [...current.calls.values()].filter((other) => other.key === found.key && other !== found);
  const wasRefusedAsNotRun = found.refusal?.kind === 'notRun';
  const violations: string[] = [];
  if (runs > 1) {
    violations.push(`${name} ran ${runs} times`);
  }
  if (wasRefusedAsNotRun && runs > 0 && others.length === 0) {
    violations.push(`${name} was refused as notRun but ran`);
  }
  if (found.state === 'answered' && runs === 0) {
    violations.push(`${name} was answered but never ran`);
  }
  return violations;
}
