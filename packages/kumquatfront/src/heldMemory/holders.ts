/**
 * Holders of a process. The bytes of the heap for each piece are those of Node.js 20: a chunk of a response or a block of
 * a request is a `Buffer` object; a waiting write to a stream is four entries of the queue of its socket.
 */
import type * as types from './types.js';

/** Something that can tell what it holds. */
export interface Countable {
  readonly held: () => types.Held;
  /** Sets what is called each time it comes to hold more. */
  readonly onGrowth?: (callback: (growth: types.Held) => void) => void;
  /** The largest of what it holds, as far as it can be given up. */
  readonly largest?: () => types.LargestHeld | undefined;
}

/** Heap for each piece, in bytes, and whether the bytes of the kind are texts, which lie in the heap. */
const COST: Readonly<Record<types.HolderKind, Pick<types.Holder, 'heapBytesPerPiece' | 'isText'>>> = {
  requests: { heapBytesPerPiece: 110, isText: false },
  responses: { heapBytesPerPiece: 110, isText: false },
  unread: { heapBytesPerPiece: 360, isText: false },
  relayed: { heapBytesPerPiece: 65, isText: true },
  messages: { heapBytesPerPiece: 65, isText: true },
  log: { heapBytesPerPiece: 65, isText: true },
};

/**
 * Creates a holder.
 *
 * @param kind - what it holds
 * @param countable - tells how much
 * @example
 * ```ts
 * heldMemory.register(holders.of('requests', requests));
 * ```
 */
export function of(kind: types.HolderKind, countable: Countable): types.Holder {
  return {
    ...{ kind, held: () => countable.held(), ...COST[kind] },
    onGrowth: (callback) => {
      countable.onGrowth?.(callback);
    },
    largest: () => countable.largest?.(),
  };
}
