/**
 * Property: of all orders on a data centre that were acknowledged, the last one holds, at every replica and entry, after any
 * pauses, cuts, restarts and losses of leaders. Random sequences by seed.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as seededRandom from '../adapters/seededRandom.js';
import type * as dataCentreOrders from '../operatorOrders/dataCentreOrders.js';
import type * as ports from '../kernel/ports.js';
import * as controlTestHarness from './controlTestHarness.js';
import * as operatorTestClient from './operatorTestClient.js';

/** One replica in each data centre. */
const SEEDS = ['c1', 'b/c2', 'c/c3'];
const PLAY_TIME: ports.Milliseconds = 25_000;
const SETTLE_TIME: ports.Milliseconds = 6_000;

/** Number of seeds; more by hand, as in `LATE_ORDER_SEEDS=2000`. */
const SEED_COUNT = Number(process.env.LATE_ORDER_SEEDS ?? 60);
const FIRST_SEED = Number(process.env.LATE_ORDER_FIRST_SEED ?? 1);

/** Orders of one operator on one data centre, one after the other. */
class OrderedDataCentre {
  /** States that may hold: that of the last acknowledged order, and of later ones without an answer. */
  private readonly possible = new Set<dataCentreOrders.DataCentreOrder['type']>(['restore']);
  acknowledged = 0;
  /** A replica that has applied the log up to here has applied the last acknowledged order. */
  private acknowledgedIndex = 0;
  private isStopped = false;

  constructor(
    private readonly harness: controlTestHarness.ControlTestHarness,
    private readonly random: ports.Random,
    private readonly dataCentre: string,
    private readonly client: operatorTestClient.OperatorTestClient,
  ) {
    this.next();
  }

  private next(): void {
    this.harness.time.after(this.random.next() * 800, () => {
      if (!this.isStopped) {
        this.orderOnce(this.random.next() < 0.5 ? 'evacuate' : 'restore');
      }
    });
  }

  private orderOnce(type: dataCentreOrders.DataCentreOrder['type']): void {
    this.possible.add(type);
    const first = Math.floor(this.random.next() * SEEDS.length);
    this.client.order({ type, dataCentre: this.dataCentre }, first, (isAcknowledged) => {
      if (isAcknowledged) {
        this.possible.clear();
        this.possible.add(type);
        this.acknowledged += 1;
        this.acknowledgedIndex = Math.max(...SEEDS.map((replica) => this.harness.appliedIndexOf(replica)));
      }
      this.next();
    });
  }

  /** Replicas that have applied the last acknowledged order and show another state. */
  violations(): readonly string[] {
    return SEEDS.filter((replica) => {
      const isEvacuated = this.harness.evacuatedAt(replica).includes(this.dataCentre);
      const hasApplied = this.harness.appliedIndexOf(replica) >= this.acknowledgedIndex;
      return hasApplied && !this.possible.has(isEvacuated ? 'evacuate' : 'restore');
    });
  }

  stop(): void {
    this.isStopped = true;
  }
}

type Fault = (harness: controlTestHarness.ControlTestHarness, random: ports.Random) => void;

function pick<Item>(random: ports.Random, items: readonly Item[]): Item {
  return items[Math.floor(random.next() * items.length)] as Item;
}

/** Faults with random targets and durations; each ends by itself. */
const faults: readonly Fault[] = [
  (harness, random) => {
    const paused = random.next() < 0.4 ? harness.leader() : pick(random, SEEDS);
    harness.pause(paused);
    harness.time.after(random.next() * 4_000, () => {
      harness.resume(paused);
    });
  },
  // Too short to be noticed as a pause.
  (harness, random) => {
    const paused = pick(random, SEEDS);
    harness.pause(paused);
    harness.time.after(random.next() * 450, () => {
      harness.resume(paused);
    });
  },
  (harness, random) => {
    const killed = random.next() < 0.4 ? harness.leader() : pick(random, SEEDS);
    harness.resume(killed);
    harness.kill(killed);
    harness.time.after(random.next() * 1_500, () => {
      if (killed !== '' && !harness.isRunning(killed)) {
        harness.start(killed);
      }
    });
  },
  (harness, random) => {
    const cut = pick(random, SEEDS);
    for (const other of SEEDS.filter((seed) => seed !== cut)) {
      harness.partition(cut, other);
    }
    harness.time.after(random.next() * 4_000, () => {
      harness.heal();
    });
  },
  (harness, random) => {
    const [from, to] = [pick(random, SEEDS), pick(random, SEEDS)];
    harness.delay(from, to, random.next() * 4_000);
    harness.time.after(random.next() * 2_000, () => {
      harness.delay(from, to, 0);
    });
  },
];

function play(seed: number, operatorInterface: 'node' | 'traffic'): void {
  const harness = new controlTestHarness.ControlTestHarness(SEEDS, 1, { routes: [], services: [] }, seed);
  harness.operatorInterface = operatorInterface;
  const random = seededRandom.create(seed);
  harness.time.advance(3_000);
  const entry = harness.watch('e1');
  const centres = controlTestHarness.DATA_CENTRES.map((dataCentre) => {
    const client = new operatorTestClient.OperatorTestClient({
      ...{ harness, addresses: SEEDS, givingUp: 'closes', patience: 300 + random.next() ** 2 * 700 },
      ...{ limit: 5_000, readDelay: random.next() < 0.5 ? 0 : random.next() * 20 },
    });
    const silence = (): void => {
      harness.time.after(random.next() * 3_000, () => {
        const connections = [...client.openConnections];
        for (const connection of connections) {
          connection.silence();
        }
        harness.time.after(random.next() * 4_000, () => {
          for (const connection of connections) {
            connection.heal();
          }
        });
        silence();
      });
    };
    silence();
    return [dataCentre, new OrderedDataCentre(harness, random, dataCentre, client)] as const;
  });
  const endsAt = harness.time.now() + PLAY_TIME;
  const checkAll = (): void => {
    for (const [dataCentre, centre] of centres) {
      const violations = centre.violations();
      const message = `seed ${seed}: ${dataCentre} is not as ordered last at ${violations.join(', ')}`;
      assert.equal(violations.length, 0, message);
    }
  };
  while (harness.time.now() < endsAt) {
    pick(random, faults)(harness, random);
    for (const step = harness.time.now() + random.next() * 1_500; harness.time.now() < step;) {
      harness.time.advance(10);
      checkAll();
    }
  }
  for (const [, centre] of centres) {
    centre.stop();
  }
  harness.time.advance(SETTLE_TIME + 5_000);
  checkAll();
  const states = [
    ...SEEDS.map((replica) => harness.evacuatedAt(replica)),
    entry.evacuations.at(-1)?.dataCentres.map((record) => record.dataCentre) ?? [],
  ];
  for (const state of states) {
    assert.deepEqual(state, states[0], `seed ${seed}`);
  }
  for (const [dataCentre, { acknowledged }] of centres) {
    assert.ok(acknowledged > 0, `seed ${seed}: nothing was acknowledged for ${dataCentre}`);
  }
  // Nothing that was refused stays refused.
  assert.equal(harness.evacuateOrRestore('c1', 'evacuate', 'a'), true, `seed ${seed}`);
}

for (const operatorInterface of ['traffic', 'node'] as const) {
  void test.test(
    `the last acknowledged order holds, at all replicas and entries (${operatorInterface})`,
    () => {
      for (let seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed += 1) {
        play(seed, operatorInterface);
      }
    },
  );
}
