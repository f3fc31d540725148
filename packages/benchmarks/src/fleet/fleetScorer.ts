/**
 * Scores the outcomes of a simulated fleet: a complete answer in time yields its full value, a late or paused one a part of
 * it, and late or repeated refusals are penalised.
 */
import type * as kumquatfront from 'kumquatfront';

import type * as fleetWorkload from './fleetWorkload.js';

/** Outcomes of one class of requests. */
export interface ClassFigures {
  requested: number;
  inTime: number;
  /** First event after the objective. */
  lateFirst: number;
  /** First event in time, but a noticeable pause later. */
  paused: number;
  refused: number;
  lost: number;
  /** Share of the requested value that callers received. */
  earned: number;
}

/** Results of a simulation. */
export interface FleetFigures {
  readonly long: ClassFigures;
  readonly short: ClassFigures;
  /** Share of the total requested value that callers received. */
  readonly earned: number;
  /** Penalties for late and for second refusals, as shares of the total requested value. */
  readonly lateRefusals: number;
  readonly secondRefusals: number;
  readonly preemptions: number;
  readonly moves: Readonly<Record<kumquatfront.placementTypes.MoveOutcome, number>>;
}

/** Timing of an answer as its caller observed it, in milliseconds. */
export interface AnswerTiming {
  /** From the first attempt to the first event. */
  readonly firstEvent: number;
  readonly longestPause: number;
}

const NOTICEABLE_PAUSE = 180;
/** Wait before a refusal, as share of the objective, up to which there is no penalty and from which it is full. */
const FREE_WAIT_SHARE = 1 / 8;
const FULL_PENALTY_WAIT_SHARE = 3 / 4;
const LATE_REFUSAL_PENALTY = 0.7;
const SECOND_REFUSAL_PENALTY = 0.3;

interface ValueTotals {
  requested: number;
  earned: number;
}

/** Accumulates outcomes and computes the score of a simulation. */
export class FleetScorer {
  private readonly classes = { long: emptyFigures(), short: emptyFigures() };
  private readonly value: Readonly<Record<'long' | 'short', ValueTotals>> = {
    long: { requested: 0, earned: 0 },
    short: { requested: 0, earned: 0 },
  };
  private lateRefusals = 0;
  private secondRefusals = 0;
  private readonly countedUntil: number;

  /**
   * @param countedUntil - later requests are not counted, since they may not end within the simulation
   */
  constructor(countedUntil: number) {
    this.countedUntil = countedUntil;
  }

  private isCounted(request: fleetWorkload.GenerationRequest): boolean {
    return request.firstRequestedAt < this.countedUntil;
  }

  recordRequest(request: fleetWorkload.GenerationRequest): void {
    if (this.isCounted(request)) {
      this.classes[request.kind.name].requested += 1;
      this.value[request.kind.name].requested += requestValue(request);
    }
  }

  recordAnswer(request: fleetWorkload.GenerationRequest, timing: AnswerTiming): void {
    if (!this.isCounted(request)) {
      return;
    }
    const { kind } = request;
    const lateFirst = timing.firstEvent > kind.objective;
    const paused = timing.longestPause > NOTICEABLE_PAUSE;
    this.classes[kind.name][lateFirst ? 'lateFirst' : paused ? 'paused' : 'inTime'] += 1;
    this.value[kind.name].earned += requestValue(request) * (lateFirst || paused ? kind.lateValueShare : 1);
  }

  recordLoss(request: fleetWorkload.GenerationRequest): void {
    if (this.isCounted(request)) {
      this.classes[request.kind.name].lost += 1;
    }
  }

  /** Records the refusal of a caller's second attempt; the caller does not retry again. */
  recordSecondRefusal(request: fleetWorkload.GenerationRequest): void {
    if (!this.isCounted(request)) {
      return;
    }
    const { kind, queueTime } = request;
    const freeWait = kind.objective * FREE_WAIT_SHARE;
    const fullPenaltyWait = kind.objective * FULL_PENALTY_WAIT_SHARE;
    const penaltyShare = Math.min(1, Math.max(0, (queueTime - freeWait) / (fullPenaltyWait - freeWait)));
    this.lateRefusals += LATE_REFUSAL_PENALTY * penaltyShare * requestValue(request);
    this.secondRefusals += SECOND_REFUSAL_PENALTY * requestValue(request);
    this.classes[kind.name].refused += 1;
  }

  totals(preemptions: number, moves: FleetFigures['moves']): FleetFigures {
    const { long, short } = this.value;
    const totalRequested = Math.max(1, long.requested + short.requested);
    return {
      long: { ...this.classes.long, earned: long.earned / Math.max(1, long.requested) },
      short: { ...this.classes.short, earned: short.earned / Math.max(1, short.requested) },
      earned: (long.earned + short.earned) / totalRequested,
      lateRefusals: this.lateRefusals / totalRequested,
      secondRefusals: this.secondRefusals / totalRequested,
      preemptions,
      moves,
    };
  }
}

function emptyFigures(): ClassFigures {
  return { requested: 0, inTime: 0, lateFirst: 0, paused: 0, refused: 0, lost: 0, earned: 0 };
}

/** Value of a complete answer: a fixed part and a part proportional to its size. */
function requestValue(request: fleetWorkload.GenerationRequest): number {
  const { kind, promptTokens, outputTokens } = request;
  const mean = kind.prompt.median + 10 * kind.output.median * Math.exp(kind.output.sigma ** 2 / 2);
  const size = (promptTokens + 10 * outputTokens) / mean;
  return kind.value * Math.min(4, 0.3 + 0.7 * size);
}
