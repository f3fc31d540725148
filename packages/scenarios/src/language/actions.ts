/**
 * Implements the verbs of the scenario language, except `expect`.
 */
import * as kumquatfront from 'kumquatfront';

import * as baseConfiguration from './baseConfiguration.js';
import * as expectations from './expectations.js';
import * as scenarioLine from './scenarioLine.js';
import type * as session from './session.js';

/** Runs one line. */
export type Action = (current: session.Session, line: scenarioLine.Line) => void;

const { word, wordAfter, numberOption, parseDuration } = scenarioLine;

function entryOf(line: scenarioLine.Line): string {
  return wordAfter(line, 'at') ?? 'entry-1';
}

function createHostAction(run: (current: session.Session, name: string) => void): Action {
  return (current, line) => {
    run(current, word(line, 0));
  };
}

const addEngine: Action = (current, line) => {
  current.world.addEngine(word(line, 0), {
    pool: line.options.pool ?? 'llm',
    reportLag: numberOption(line, 'lag', 200),
    checksFencing: line.options.fencing !== 'ignored',
    crashesAtOutputTokens:
      line.options['ends-under'] === undefined ? undefined : numberOption(line, 'ends-under', 0),
    options: {
      memoryTokens: numberOption(line, 'memory', 6_000),
      slots: numberOption(line, 'slots', 8),
      stepBase: numberOption(line, 'step', 20),
      stepPerRunning: 0,
      prefillPerToken: 0.02,
      prefillPerStep: 512,
      cachedPrefixes: 16,
    },
  });
};

const startStream: Action = (current, line) => {
  const account = line.options.account === 'canteen' ? 'canteen' : 'school';
  const traffic = line.options.traffic ?? 'report';
  const request = {
    name: word(line, 0),
    promptPrefix: line.options.subject,
    key: baseConfiguration.accountKeys[account],
    labels: `traffic=${traffic}`,
    tokens: numberOption(line, 'tokens', 100),
    promptLength: numberOption(line, 'prompt', 20),
    acceptsRestart: line.words.includes('restart'),
    persistent: line.words.includes('persistent'),
  };
  current.startStream(request, resolveHostName(current, entryOf(line)));
};

const callWithKey: Action = (current, line) => {
  const name = word(line, 0);
  const key = line.options.key ?? name;
  current.callService(
    name,
    'POST',
    line.options.path ?? '/pay',
    key,
    line.options.body ?? name,
    entryOf(line),
  );
};

const readFromService: Action = (current, line) => {
  const name = word(line, 0);
  current.callService(name, 'GET', line.options.path ?? `/balances/${name}`, undefined, '', entryOf(line));
};

/** `change c1 market m1 expect=0 region=north at control-1` */
const submitChange: Action = (current, line) => {
  const [name, kind, object] = [word(line, 0), word(line, 1), word(line, 2)];
  const { expect = '0', id, match, precedence = '50', region = name } = line.options;
  const bodies: Readonly<Record<string, unknown>> = {
    market: { labels: { region } },
    limits: { queuePerAccount: numberOption(line, 'queue', 200) },
    selector: { match, precedence: Number(precedence), deployment: 'llm', urgency: 'patient' },
  };
  const expectedVersion = expect.startsWith('of:')
    ? (current.changes.get(expect.slice(3))?.version ?? 0)
    : Number(expect);
  const body = line.words.includes('delete') ? null : (bodies[kind] ?? {});
  const draft = { kind: kind as 'market', name: object, body, expectedVersion, changeId: id };
  current.submitChange(name, draft, resolveHostName(current, wordAfter(line, 'at') ?? 'leader'));
};

/** `changes 500 markets`: applies that many changes, one after the other. */
const submitBulkChanges: Action = (current, line) => {
  for (let count = 0; count < Number(word(line, 0)); count += 1) {
    const name = `bulk-${current.changes.size}`;
    const draft = { kind: 'market' as const, name, body: { labels: { region: name } }, expectedVersion: 0 };
    current.submitChange(name, draft, current.world.leaders()[0] ?? '');
    current.waitUntil(`${name} is accepted`, () => current.changes.get(name)?.state === 'accepted');
  }
};

const proposeOrder: Action = (current, line) => {
  const [leader = ''] = current.world.leaders();
  const action = line.options.action === 'changeRole' ? 'changeRole' : 'loadModel';
  const replica = current.world.controls.get(leader)?.node?.services.find('replica');
  const command = {
    type: 'order',
    orderId: word(line, 0),
    upstream: word(line, 1),
    order: { action, target: line.options.target ?? 'model' },
  };
  replica?.propose(command, () => undefined);
};

/** `evacuate centre-1`, `restore centre-1`: sends an operator command to the leader. */
function createEvacuationAction(type: kumquatfront.agreedTypes.DataCentreCommand['type']): Action {
  return (current, line) => {
    const dataCentre = word(line, 0);
    const [leader = ''] = current.world.leaders();
    const node = current.world.controls.get(leader)?.node;
    const caller: kumquatfront.operatorOrders.OrderCaller = {
      knownIndex: node?.services.find('replica').appliedIndex ?? 0,
      hasNewConnection: true,
      connection: {},
      checkPresence: (_wait, done) => {
        done(true);
      },
    };
    node?.evacuateOrRestore({ type, dataCentre }, caller, (result) => {
      const outcome = result.ok ? 'acknowledged' : kumquatfront.failures.describe(result.val);
      current.world.record(`operator: ${type} ${dataCentre} ${outcome}`);
    });
  };
}

const UNTIL_TIMEOUT = 10_000;

/** `until change c1 accepted`: advances by single milliseconds, so that the next line runs right after the change. */
const advanceUntil: Action = (current, line) => {
  const { time } = current.world;
  for (let waited = 0; waited < UNTIL_TIMEOUT; waited += 1) {
    if (expectations.holds(current, line)) {
      return;
    }
    time.advance(1);
  }
  throw new scenarioLine.ScenarioError(line, `the expectation did not hold within ${UNTIL_TIMEOUT} ms`);
};

const leaderOf = (current: session.Session): string => current.world.leaders()[0] ?? '';

/** Entry that coordinates the engine pool, by the same rendezvous hash that entries use. */
function coordinatorOf(current: session.Session): string {
  const up = [...current.world.entries.keys()].filter((name) => current.world.hostOf(name).isUp);
  return kumquatfront.rendezvousHashing.pick('llm/0/1', up) ?? '';
}

/** Resolves `leader`, `coordinator` and `others` (an entry that is not the coordinator); other names are host names. */
function resolveHostName(current: session.Session, name: string): string {
  switch (name) {
    case 'leader':
      return leaderOf(current);
    case 'coordinator':
      return coordinatorOf(current);
    case 'others':
      return [...current.world.entries.keys()].find((entry) => entry !== coordinatorOf(current)) ?? '';
    default:
      return name;
  }
}

/** Actions by verb. */
export const actions: Readonly<Record<string, Action>> = {
  engine: addEngine,
  service: (current, line) => {
    current.world.addService(word(line, 0), line.options.pool ?? 'app', numberOption(line, 'delay', 5));
  },
  configure: (current) => {
    current.configure();
  },
  advance: (current, line) => {
    current.world.time.advance(parseDuration(line, word(line, 0)));
  },
  until: advanceUntil,
  send: startStream,
  act: callWithKey,
  read: readFromService,
  change: submitChange,
  changes: submitBulkChanges,
  order: proposeOrder,
  evacuate: createEvacuationAction('evacuate'),
  restore: createEvacuationAction('restore'),
  kill: (current, line) => {
    const name = resolveHostName(current, word(line, 0));
    current.world.record(`-- ${name} is killed`);
    current.world.kill(name, line.words.includes('torn'));
  },
  boot: createHostAction((current, name) => {
    current.world.boot(name);
  }),
  freeze: (current, line) => {
    const name = resolveHostName(current, word(line, 0));
    current.world.record(`-- ${name} freezes`);
    current.world.freeze(name);
  },
  thaw: createHostAction((current, name) => {
    current.world.record(`-- ${name} thaws`);
    current.world.thaw(name);
  }),
  cut: (current, line) => {
    current.world.network.cut(word(line, 0), word(line, 1));
  },
  'cut-one-way': (current, line) => {
    current.world.network.cutOneWay(
      resolveHostName(current, word(line, 0)),
      resolveHostName(current, word(line, 1)),
    );
  },
  lag: (current, line) => {
    current.world.network.setLatency(
      resolveHostName(current, word(line, 0)),
      word(line, 1),
      parseDuration(line, word(line, 2)),
    );
  },
  isolate: (current, line) => {
    const name = resolveHostName(current, word(line, 0));
    current.world.record(`-- ${name} is cut off`);
    current.world.isolate(name);
  },
  /** `partition control-1 entry-1`: cuts the links between the named hosts and all other hosts. */
  partition: (current, line) => {
    for (const name of line.words) {
      for (const other of current.world.network.hosts.keys()) {
        if (!line.words.includes(other)) {
          current.world.network.cut(name, other);
        }
      }
    }
  },
  heal: (current) => {
    current.world.record('-- every link heals');
    current.world.network.heal();
  },
  'lose-disk': createHostAction((current, name) => {
    current.world.controls.get(name)?.disk.erase();
  }),
  'flip-bit': (current, line) => {
    current.world.controls.get(word(line, 0))?.disk.flipBit('log');
  },
  leave: createHostAction((current, name) => {
    current.world.record(`-- ${name} says that it leaves`);
    current.world.sendTerminationNotice(name);
  }),
  drain: createHostAction((current, name) => {
    current.world.entries.get(name)?.node?.drain(() => {
      current.world.record(`${name} has drained`);
      current.world.kill(name);
    });
  }),
  slow: (current, line) => {
    current.streams.get(word(line, 0))?.setSlow(true);
  },
  fast: (current, line) => {
    current.streams.get(word(line, 0))?.setSlow(false);
  },
  away: (current, line) => {
    current.streams.get(word(line, 0))?.disconnect();
  },
  back: (current, line) => {
    current.streams.get(word(line, 0))?.reconnect(entryOf(line));
  },
  delay: (current, line) => {
    const service = current.world.services.get(word(line, 0));
    if (service !== undefined) {
      service.delay = parseDuration(line, word(line, 1));
    }
  },
};
