/**
 * What a replica of the log is made from; its parts take the same.
 */
import type * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import type * as results from '../kernel/results.js';
import type * as timerService from '../kernel/timerService.js';
import type * as logStore from './logStore.js';
import type * as types from './types.js';

/** The state machine behind the log, as functions. */
export interface StateMachine {
  /** Applies a committed command and returns its result; must be deterministic. */
  readonly apply: (command: unknown, index: number, stamp: number) => unknown;
  readonly takeSnapshot: () => unknown;
  readonly restore: (state: unknown) => void;
}

/** What a replica is made from. */
export interface ReplicaOptions {
  readonly store: logStore.LogStore;
  readonly timers: timerService.TimerService;
  readonly clock: ports.Clock;
  readonly random: ports.Random;
  readonly log: ports.Log;
  readonly timing: types.ConsensusTiming;
  readonly machine: StateMachine;
  /** Sends a message to a member's address; it may be lost. */
  readonly send: (address: string, message: types.ConsensusMessage) => void;
}

/** Receives the result of a proposal, or why there is none. */
export type ProposalDone = (result: results.Result<unknown, failures.Failure>) => void;
