/**
 * What a scenario can expect, and the checks that end every scenario.
 */
import * as lineModule from './line.js';
import type * as session from './session.js';

/** Checks one line; returns what is wrong, or undefined. */
type Expectation = (current: session.Session, line: lineModule.Line) => string | undefined;

const { word, numberOption } = lineModule;

function compare(what: string, actual: unknown, expected: unknown): string | undefined {
  return String(actual) === String(expected)
    ? undefined
    : `${what} is ${String(actual)}, expected ${String(expected)}`;
}

/** `expect stream r1 whole restarts=1 connections=2` or `expect stream r1 refused interrupted` */
const stream: Expectation = (current, line) => {
  const found = current.streams.get(word(line, 0));
  if (found === undefined) {
    return 'there is no such stream';
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
  ran: (current, line) => compare('runs', current.runsOf(word(line, 0)), word(line, 1)),
  leaders: (current, line) => compare('leaders', current.world.leaders().length, word(line, 0)),
  leader: (current, line) => compare('leader', current.world.leaders()[0], word(line, 0)),
  /** Running replicas that vote under their present identity; a lost identity may still be listed. */
  voters: (current, line) => compare('voters', votersOf(current), word(line, 0)),
  /** Digests of all running replicas are equal. */
  'equal-state': (current) => {
    const digests = [...current.world.controls.values()]
      .filter((slot) => slot.host.isUp)
      .map((slot) => slot.node?.status().digest);
    return compare('number of different states', new Set(digests).size, 1);
  },
  /** `expect in-force c1 3`: a change is in force at so many entries. */
  'in-force': (current, line) => {
    const version = current.changes.get(word(line, 0))?.version ?? 0;
    return version === 0
      ? 'the change was not accepted'
      : compare('entries', current.inForce(version), word(line, 1));
  },
  /** `expect state entry-1 serving` */
  state: (current, line) =>
    compare('state', current.world.entries.get(word(line, 0))?.node?.presence().state, word(line, 1)),
  up: (current, line) => compare('up', current.world.hostOf(word(line, 0)).isUp, true),
  down: (current, line) => compare('up', current.world.hostOf(word(line, 0)).isUp, false),
  /** `expect starts e1 2`: generations that an engine has taken in its present life. */
  starts: (current, line) =>
    compare('starts', current.world.engines.get(word(line, 0))?.model.counts.starts, word(line, 1)),
  running: (current, line) =>
    compare('running', current.world.engines.get(word(line, 0))?.model.load().running, word(line, 1)),
  /** `expect listed entry-1 at entry-2` and `expect unlisted ...` */
  listed: (current, line) => compare('listed', isListed(current, line), true),
  unlisted: (current, line) => compare('listed', isListed(current, line), false),
  /** Orders taken by an upstream, oldest first: `expect orders e1 o1,o2`; by their targets. */
  orders: (current, line) => {
    const taken = current.world.engines.get(word(line, 0))?.orders.taken ?? [];
    return compare('orders', taken.map((order) => order.target).join(','), word(line, 1));
  },
  /** Loads that the weight store refused. */
  'weight-refusals': (current, line) =>
    compare('refused loads', current.world.weightStore.refused, word(line, 0)),
  /** `expect newest-order e1 second`: what the upstream ended up with. */
  'newest-order': (current, line) =>
    compare(
      'newest order',
      current.world.engines.get(word(line, 0))?.orders.taken.at(-1)?.target,
      word(line, 1),
    ),
  /** `expect stalled r1 below=50`: a slow caller's tokens wait at the engine, not at the entry. */
  stalled: (current, line) => {
    const found = current.streams.get(word(line, 0));
    return (found?.tokens ?? 0) <= numberOption(line, 'below', 0)
      ? undefined
      : `${found?.tokens ?? 0} tokens came`;
  },
};

function votersOf(current: session.Session): number {
  const [leader = ''] = current.world.leaders();
  const members = current.world.controls.get(leader)?.node?.status().replica.members ?? [];
  const voters = new Set(
    members.filter((member) => member.role === 'voter').map((member) => member.identity),
  );
  const running = [...current.world.controls.values()].filter((slot) => slot.host.isUp);
  return running.filter((slot) => voters.has(slot.node?.status().replica.identity ?? '')).length;
}

function isListed(current: session.Session, line: lineModule.Line): boolean {
  const asked = lineModule.wordAfter(line, 'at') ?? 'entry-1';
  const addresses = current.world.entries.get(asked)?.node?.addresses() ?? [];
  return addresses.some((address) => address.address === `http://${word(line, 0)}`);
}

function faultOf(current: session.Session, line: lineModule.Line): string | undefined {
  const [what = '', ...words] = line.words;
  const expectation = expectations[what];
  if (expectation === undefined) {
    throw new lineModule.ScenarioError(line, `there is no expectation "${what}"`);
  }
  return expectation(current, { ...line, words });
}

/**
 * Tells whether what a line expects holds now.
 *
 * @param current - the session
 * @param line - a line whose words are those of an `expect` line
 * @returns true when it holds
 * @example
 * ```ts
 * expectations.holds(session, line);
 * ```
 */
export function holds(current: session.Session, line: lineModule.Line): boolean {
  return faultOf(current, line) === undefined;
}

/**
 * Checks an `expect` line.
 *
 * @param current - the session
 * @param line - the line
 * @example
 * ```ts
 * expectations.check(session, line);
 * ```
 */
export function check(current: session.Session, line: lineModule.Line): void {
  const fault = faultOf(current, line);
  if (fault !== undefined) {
    throw new lineModule.ScenarioError(line, fault);
  }
}

/**
 * What must hold at the end of every scenario, whatever it was about.
 *
 * @param current - the session
 * @returns what is wrong; empty when all is well
 * @example
 * ```ts
 * assert.deepEqual(expectations.broken(session), []);
 * ```
 */
export function broken(current: session.Session): readonly string[] {
  const faults: string[] = [];
  for (const found of current.streams.values()) {
    faults.push(...found.faults.map((fault) => `${found.wish.name}: ${fault}`));
  }
  for (const [name, found] of current.calls) {
    if (found.key !== undefined) {
      faults.push(...faultsOfAction(current, name, found));
    }
  }
  if (current.world.leaders().length > 1) {
    faults.push(`there are ${current.world.leaders().length} leaders`);
  }
  return faults;
}

function faultsOfAction(
  current: session.Session,
  name: string,
  found: session.CallRecord,
): readonly string[] {
  const runs = current.runsOf(found.key ?? '');
  const others = [...current.calls.values()].filter((other) => other.key === found.key && other !== found);
  const toldNotRun = found.refusal?.kind === 'notRun';
  const faults: string[] = [];
  if (runs > 1) {
    faults.push(`${name} ran ${runs} times`);
  }
  if (toldNotRun && runs > 0 && others.length === 0) {
    faults.push(`${name} was told notRun and ran`);
  }
  if (found.state === 'answered' && runs === 0) {
    faults.push(`${name} was answered and never ran`);
  }
  return faults;
}
