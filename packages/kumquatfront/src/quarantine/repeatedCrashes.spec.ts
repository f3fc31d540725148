/**
 * One request that ends every upstream which begins to run it, brought again and again.
 *
 * Seen: a short generation ended the engine that ran it 80 ms after its prompt was read, and with it all that ran
 * there. Its entry resumed it at the next engine, and that one ended too. Its caller's second attempt came to another
 * entry, as did other attempts with the same content; within twelve seconds twenty engines had ended under it, and for
 * seconds no engine was left for anybody. Caused by: each exchange judged by its own attempt alone, and nothing in the
 * system knew that the content had ended upstreams before. Proved by the logs: of 38 engines that broke off all that
 * they ran, each ran one and the same content then, and no attempt at that content was ever answered.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as crashBench from './crashBench.js';

const KILLER = 'kills';

/** Ends of upstreams that make a request known, and sends that are still allowed once everybody knows. */
const KNOWN_AFTER = 3;
const MOST_LATE_SENDS = 3;

/** The promise to callers and operators: within this time of the third end every entry knows. */
const KNOWN_WITHIN = 3_000;

function effectOf(content: string): crashBench.Effect {
  return content === KILLER ? 'crashes' : 'served';
}

/** Brings the killer to one entry after another, each attempt with a second one elsewhere, among other requests. */
function play(bench: crashBench.CrashBench, service: crashBench.ServiceName, rounds: number): void {
  const { entryNames } = bench;
  const entryAt = (index: number): string => entryNames[index % entryNames.length] ?? '';
  for (let round = 0; round < rounds; round += 1) {
    bench.time.after(round * 700, () => {
      bench.ask(entryAt(round * 3), service, KILLER, (first) => {
        if (first.outcome !== 'served') {
          bench.time.after(300, () => {
            bench.ask(entryAt(round * 3 + 1), service, KILLER);
          });
        }
      });
    });
    bench.time.after(round * 700 + 200, () => {
      bench.ask(entryAt(round), service, `other ${round}`);
    });
  }
  bench.time.advance(rounds * 700 + 10_000);
}

function thirdCrashAt(bench: crashBench.CrashBench): number {
  const third = bench.crashes.filter(({ content }) => content === KILLER)[KNOWN_AFTER - 1];
  assert.ok(third !== undefined, 'fewer upstreams ended than make the request known');
  return third.at;
}

function sendsAfter(bench: crashBench.CrashBench, moment: number): number {
  return bench.arrivals.filter(({ content, at }) => content === KILLER && at > moment).length;
}

for (const service of ['llm', 'app'] as const) {
  void test.test(`a request under which three upstreams have ended is sent on no more (${service})`, () => {
    const bench = new crashBench.CrashBench(7, { llm: 6, app: 4 }, effectOf);
    play(bench, service, 40);
    const late = sendsAfter(bench, thirdCrashAt(bench) + KNOWN_WITHIN);
    assert.ok(late <= MOST_LATE_SENDS, `sent ${late} times later`);
  });
}
