/**
 * Runs a scenario: setup lines configure the simulated deployment, all other lines run in order.
 */
import * as kumquatfront from 'kumquatfront';

import * as actions from './actions.js';
import * as expectations from './expectations.js';
import * as scenarioLine from './scenarioLine.js';
import * as session from './session.js';

/** Result of a scenario run. */
export interface ScenarioRun {
  /** Full text of the session, for the golden file. */
  readonly output: string;
  /** First failed expectation or invariant; undefined when the scenario passed. */
  readonly failure: string | undefined;
}

const DEFAULT_SEED = 7;
const DATA_CENTRES = 3;

function numberedNames(prefix: string, count: number): readonly string[] {
  return Array.from({ length: count }, (_, position) => `${prefix}-${position + 1}`);
}

function dataCentreOf(name: string): string {
  const number = Number(/(\d+)$/.exec(name)?.[1] ?? 1);
  return `centre-${((number - 1) % DATA_CENTRES) + 1}`;
}

function setupNumber(lines: readonly scenarioLine.Line[], verb: string, fallback: number): number {
  const line = lines.find((candidate) => candidate.verb === verb);
  return line === undefined ? fallback : Number(scenarioLine.word(line, 0));
}

const SETUP_VERBS: readonly string[] = ['control', 'entries', 'seed', 'settings'];

function createSession(lines: readonly scenarioLine.Line[]): session.Session {
  const settings = lines.find((line) => line.verb === 'settings')?.options ?? {};
  return new session.Session({
    seed: setupNumber(lines, 'seed', DEFAULT_SEED),
    controlNames: numberedNames('control', setupNumber(lines, 'control', 3)),
    entryNames: numberedNames('entry', setupNumber(lines, 'entries', 2)),
    dataCentreOf,
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

function runLine(current: session.Session, line: scenarioLine.Line): void {
  if (line.verb === 'expect') {
    expectations.check(current, line);
    current.lines.push(`          > ${line.text}: holds`);
    return;
  }
  const action = actions.actions[line.verb];
  if (action === undefined) {
    throw new scenarioLine.ScenarioError(line, `unknown verb "${line.verb}"`);
  }
  current.lines.push(`          > ${line.text}`);
  action(current, line);
}

/**
 * Runs a scenario.
 *
 * @param text - text of the scenario
 * @returns output of the session and the first failure
 * @example
 * ```ts
 * const { output, failure } = scenario.run(fs.readFileSync('scenarios/drain.scenario', 'utf8'));
 * ```
 */
export function run(text: string): ScenarioRun {
  const lines = scenarioLine.parse(text);
  const current = createSession(lines);
  let failure: string | undefined;
  try {
    for (const line of lines) {
      if (!SETUP_VERBS.includes(line.verb)) {
        runLine(current, line);
      }
    }
    failure = expectations.findViolations(current)[0];
  } catch (error) {
    failure = error instanceof Error ? error.message : String(error);
  }
  return { output: `${current.lines.join('\n')}\n`, failure };
}
