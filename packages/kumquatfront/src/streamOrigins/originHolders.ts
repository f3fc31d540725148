/**
 * Processes that keep the origin of a stream besides the entry where it began, by rendezvous hashing: control
 * replicas, which outlive the loss of most entries, and entries, which outlive the loss of control.
 */
import * as rendezvousHashing from '../utils/rendezvousHashing.js';
import type * as types from './types.js';

/** Copies among the control replicas. */
const REPLICA_COPIES = 3;

/** Copies among the other entries. */
const ENTRY_COPIES = 2;

/** Entries that are asked; more than hold a copy, since two processes may know different lists of entries. */
const ASKED_ENTRIES = 4;

/** Peer addresses of the processes that may hold copies. */
export interface HolderCandidates {
  readonly replicas: readonly string[];
  /** All entries but this one. */
  readonly entries: readonly string[];
}

function choose(
  { account, attempt }: types.StreamKey,
  { replicas, entries }: HolderCandidates,
  entryCount: number,
): readonly string[] {
  const key = `${account} ${attempt}`;
  return [
    ...rendezvousHashing.pickSeveral(key, replicas, REPLICA_COPIES),
    ...rendezvousHashing.pickSeveral(key, entries, entryCount),
  ];
}

/**
 * Addresses of the processes to which the origin of a stream is copied.
 *
 * @returns at most five addresses
 * @example
 * ```ts
 * for (const address of originHolders.toKeep(record, candidates)) publisher.add(address, record);
 * ```
 */
export function toKeep(key: types.StreamKey, candidates: HolderCandidates): readonly string[] {
  return choose(key, candidates, ENTRY_COPIES);
}

/**
 * Addresses of the processes that are asked for the origin of a stream.
 *
 * @returns at most seven addresses
 * @example
 * ```ts
 * for (const address of originHolders.toAsk(key, candidates)) ask(address);
 * ```
 */
export function toAsk(key: types.StreamKey, candidates: HolderCandidates): readonly string[] {
  return choose(key, candidates, ASKED_ENTRIES);
}
