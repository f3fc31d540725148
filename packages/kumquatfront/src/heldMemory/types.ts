/**
 * What a process holds of others, by kind, and how its heap is read.
 */

import type * as ports from '../kernel/ports.js';

/**
 * Who fills the memory: requests of callers, operators and upstreams; answers of upstreams that are held until they are
 * complete; answers that callers have not read; what is relayed for other entries; messages between the processes; the log.
 */
export type HolderKind = 'requests' | 'responses' | 'unread' | 'relayed' | 'messages' | 'log';

/** All kinds, in the order of the log line. */
export const holderKinds: readonly HolderKind[] = [
  'requests',
  'responses',
  'unread',
  'relayed',
  'messages',
  'log',
];

/** What one holder holds. */
export interface Held {
  readonly bytes: number;
  /** Objects that hold the bytes. */
  readonly pieces: number;
  /** Heap beside the pieces and the texts. */
  readonly heapBytes?: number;
}

/** The largest of what one holder holds, as far as it can be given up. */
export interface LargestHeld {
  readonly held: Held;
  /** Names it in the log. */
  readonly fields: ports.LogFields;
  /** Gives it up; its caller is told what is true. */
  readonly giveUp: () => void;
}

/** A part of the process that holds what others have sent, or have not read. */
export interface Holder {
  readonly kind: HolderKind;
  /** Must be cheap: it is called several times a second, and more often while the memory grows. */
  readonly held: () => Held;
  /** Bytes of the heap for each piece. */
  readonly heapBytesPerPiece: number;
  /** Whether the bytes lie in the heap, as those of texts do; the bytes of buffers lie outside. */
  readonly isText: boolean;
  /** Sets what is called each time the holder comes to hold more. */
  readonly onGrowth?: (callback: (growth: Held) => void) => void;
  /** The largest of what it holds; undefined if there is none that can be given up. */
  readonly largest?: () => LargestHeld | undefined;
}

/** Memory of the process, in bytes. */
export interface HeapReading {
  /** Heap in use, with garbage that was not collected yet. */
  readonly used: number;
  /** Size of the old generation at which the process ends. */
  readonly limit: number;
  /** Buffers outside the heap. */
  readonly external: number;
  readonly resident: number;
}
