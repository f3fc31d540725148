/**
 * Dependencies and settings of a replica, shared by its components.
 */
import type * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import type * as results from '../kernel/results.js';
import type * as timerService from '../kernel/timerService.js';
import type * as logStore from './logStore.js';
import type * as types from './types.js';

/** State machine to which the committed log entries are applied. */
export interface StateMachine {
  /** Applies a committed command and returns its result; must be deterministic. */
  readonly apply: (command: unknown, index: number, stamp: number) => unknown;
  readonly takeSnapshot: () => unknown;
  readonly restore: (state: unknown) => void;
}

/** Dependencies and settings of a replica. */
export interface ReplicaOptions {
  readonly store: logStore.LogStore;
  readonly timers: timerService.TimerService;
  readonly clock: ports.Clock;
  readonly random: ports.Random;
  readonly log: ports.Log;
  readonly timing: types.ConsensusTiming;
  readonly machine: StateMachine;
  /** Sends a message to a member's address; delivery is not guaranteed. */
  readonly send: (address: string, message: types.ConsensusMessage) => void;
}

/** Called with the result of a proposal, or with the reason why there is none. */
export type ProposalCallback = (result: results.Result<unknown, failures.Failure>) => void;
