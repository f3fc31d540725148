/**
 * Memory and streams on each engine, computed from the placed generations. A generation that is being moved counts on both
 * engines, since the reports do not include its memory on the target yet.
 */
import type * as interference from '../streamPauses/interference.js';
import type * as lengthForecast from './lengthForecast.js';
import type * as memoryPeak from './memoryPeak.js';
import type * as types from './types.js';

function append<Item>(lists: Map<string, Item[]>, key: string, item: Item): void {
  const list = lists.get(key);
  if (list === undefined) {
    lists.set(key, [item]);
  } else {
    list.push(item);
  }
}

/** Loads of all engines at one time; see the module comment. */
export class EngineLoads {
  private readonly memory = new Map<string, memoryPeak.GenerationMemory[]>();
  private readonly streams = new Map<string, interference.RunningStream[]>();

  /**
   * @param placed - placed generations, by identity
   * @param moveTargets - target engine of each generation that is being moved
   * @param lengths - forecast of output lengths
   */
  constructor(
    placed: ReadonlyMap<string, types.PlacedGeneration>,
    moveTargets: ReadonlyMap<string, string>,
    lengths: lengthForecast.LengthForecast,
  ) {
    for (const [identity, { running }] of placed) {
      const { facts, produced, instance } = running;
      const remaining = lengths.remainingOutput(facts, produced);
      const memory = { held: facts.promptTokens + produced, remaining };
      append(this.memory, instance, memory);
      this.addStream(running, remaining);
      const target = moveTargets.get(identity);
      if (target !== undefined) {
        append(this.memory, target, memory);
      }
    }
  }

  private addStream({ facts, instance, longestPause = 0 }: types.RunningGeneration, remaining: number): void {
    append(this.streams, instance, { pauseLimit: facts.pauseLimit, longestPause, remaining });
  }

  /** Memory of the generations on an engine, including moves to it. */
  memoryOn(instance: string): readonly memoryPeak.GenerationMemory[] {
    return this.memory.get(instance) ?? [];
  }

  /** Streams that run on an engine. */
  streamsOn(instance: string): readonly interference.RunningStream[] {
    return this.streams.get(instance) ?? [];
  }
}
