/**
 * Runs a scenario: the first lines set the world up, the others act and expect, in order.
 */
import * as kumquatfront from 'kumquatfront';

import * as actions from './actions.js';
import * as expectations from './expectations.js';
import * as lineModule from './line.js';
import * as session from './session.js';

/** What a run gives. */
export interface ScenarioRun {
  /** The whole session as text, for the golden file. */
  readonly text: string;
  /** The first thing that went against the scenario or a promise; undefined when all held. */
  readonly fault: string | undefined;
}

const DEFAULT_SEED = 7;
const DATA_CENTRES = 3;

function names(prefix: string, count: number): readonly string[] {
  return Array.from({ length: count }, (_, position) => `${prefix}-${position + 1}`);
}

function centreOf(name: string): string {
  const number = Number(/(\d+)$/.exec(name)?.[1] ?? 1);
  return `centre-${((number - 1) % DATA_CENTRES) + 1}`;
}

function countIn(lines: readonly lineModule.Line[], verb: string, fallback: number): number {
  const line = lines.find((candidate) => candidate.verb === verb);
  return line === undefined ? fallback : Number(lineModule.word(line, 0));
}

const SETUP: readonly string[] = ['control', 'entries', 'seed', 'settings'];

function createSession(lines: readonly lineModule.Line[]): session.Session {
  const settings = lines.find((line) => line.verb === 'settings')?.options ?? {};
  return new session.Session({
    seed: countIn(lines, 'seed', DEFAULT_SEED),
    controlNames: names('control', countIn(lines, 'control', 3)),
    entryNames: names('entry', countIn(lines, 'entries', 2)),
    dataCentreOf: centreOf,
    network: { withinDataCentre: 0.5, betweenDataCentres: 1.5, loss: 0 },
    syncDelay: Number(settings.syncDelay ?? 1),
    control: {
      orders: {
        ...kumquatfront.defaultConfig.controlDefaults.orders,
        longestFlight: Number(settings.longestFlight ?? 2_000),
      },
      timing: {
        heartbeat: 100,
        electionTimeout: 1_000,
        leaseShare: 0.8,
        snapshotEvery: Number(settings.snapshotEvery ?? 2_000),
        snapshotPieceLength: Number(settings.pieceLength ?? 65_536),
        appendLimit: 256,
      },
    },
    entry: { addressLife: 2_000 },
  });
}

function runLine(current: session.Session, line: lineModule.Line): void {
  if (line.verb === 'expect') {
    expectations.check(current, line);
    current.lines.push(`          > ${line.text}: holds`);
    return;
  }
  const action = actions.actions[line.verb];
  if (action === undefined) {
    throw new lineModule.ScenarioError(line, `there is no verb "${line.verb}"`);
  }
  current.lines.push(`          > ${line.text}`);
  action(current, line);
}

/**
 * Runs a scenario.
 *
 * @param text - the scenario
 * @returns the session and what went wrong
 * @example
 * ```ts
 * const { text, fault } = scenario.run(fs.readFileSync('scenarios/drain.scenario', 'utf8'));
 * ```
 */
export function run(text: string): ScenarioRun {
  const lines = lineModule.parse(text);
  const current = createSession(lines);
  let fault: string | undefined;
  try {
    for (const line of lines) {
      if (!SETUP.includes(line.verb)) {
        runLine(current, line);
      }
    }
    fault = expectations.broken(current)[0];
  } catch (error) {
    fault = error instanceof Error ? error.message : String(error);
  }
  return { text: `${current.lines.join('\n')}\n`, fault };
}
