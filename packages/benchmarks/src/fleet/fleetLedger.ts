/**
 * What the callers of a played fleet got, counted as worth: a whole answer in time earns it, a late one a part of it,
 * and refusals that come late or twice cost some of it.
 */
import type * as kumquatfront from 'kumquatfront';

import type * as fleetWorkload from './fleetWorkload.js';

/** What callers of one class got. */
export interface ClassFigures {
  asked: number;
  inTime: number;
  /** First event after the objective. */
  lateFirst: number;
  /** A pause that callers notice. */
  paused: number;
  refused: number;
  lost: number;
  /** Share of the worth asked for that was earned. */
  earned: number;
}

/** What a run shows. */
export interface FleetFigures {
  readonly long: ClassFigures;
  readonly short: ClassFigures;
  /** Share of all worth that was earned. */
  readonly earned: number;
  /** What callers pay for refusals that come late, and for second ones, as share of all worth. */
  readonly lateRefusals: number;
  readonly secondRefusals: number;
  readonly preemptions: number;
  readonly moves: Readonly<Record<kumquatfront.placementTypes.MoveOutcome, number>>;
}

/** How a caller saw its answer; times are milliseconds. */
export interface SeenAnswer {
  /** From the first question to the first event. */
  readonly firstEvent: number;
  readonly longestPause: number;
}

const NOTICEABLE_PAUSE = 180;
/** Held for less than this share of the objective, a refusal costs nothing; for three quarters of it, all. */
const FREE_HOLD_SHARE = 1 / 8;
const COSTLY_HOLD_SHARE = 3 / 4;
const LATE_REFUSAL_PRICE = 0.7;
const SECOND_REFUSAL_PRICE = 0.3;

/** Worth asked for and earned. */
interface Worth {
  asked: number;
  earned: number;
}

/** The ledger; see the module comment. */
export class FleetLedger {
  private readonly classes = { long: noFigures(), short: noFigures() };
  private readonly worth: Readonly<Record<'long' | 'short', Worth>> = {
    long: { asked: 0, earned: 0 },
    short: { asked: 0, earned: 0 },
  };
  private lateRefusals = 0;
  private secondRefusals = 0;
  private readonly countedUntil: number;

  /**
   * @param countedUntil - what is asked for later is not counted: it may not end within the play
   */
  constructor(countedUntil: number) {
    this.countedUntil = countedUntil;
  }

  private counts(wanted: fleetWorkload.WantedGeneration): boolean {
    return wanted.firstAskedAt < this.countedUntil;
  }

  asked(wanted: fleetWorkload.WantedGeneration): void {
    if (this.counts(wanted)) {
      this.classes[wanted.kind.name].asked += 1;
      this.worth[wanted.kind.name].asked += worthOf(wanted);
    }
  }

  answered(wanted: fleetWorkload.WantedGeneration, seen: SeenAnswer): void {
    if (!this.counts(wanted)) {
      return;
    }
    const { kind } = wanted;
    const lateFirst = seen.firstEvent > kind.objective;
    const paused = seen.longestPause > NOTICEABLE_PAUSE;
    this.classes[kind.name][lateFirst ? 'lateFirst' : paused ? 'paused' : 'inTime'] += 1;
    this.worth[kind.name].earned += worthOf(wanted) * (lateFirst || paused ? kind.lateShare : 1);
  }

  lost(wanted: fleetWorkload.WantedGeneration): void {
    if (this.counts(wanted)) {
      this.classes[wanted.kind.name].lost += 1;
    }
  }

  /** A caller was refused for the second time, and does not come back. */
  refusedAgain(wanted: fleetWorkload.WantedGeneration): void {
    if (!this.counts(wanted)) {
      return;
    }
    const { kind, held } = wanted;
    const free = kind.objective * FREE_HOLD_SHARE;
    const costly = kind.objective * COSTLY_HOLD_SHARE;
    const share = Math.min(1, Math.max(0, (held - free) / (costly - free)));
    this.lateRefusals += LATE_REFUSAL_PRICE * share * worthOf(wanted);
    this.secondRefusals += SECOND_REFUSAL_PRICE * worthOf(wanted);
    this.classes[kind.name].refused += 1;
  }

  /** Sums up. */
  figures(preemptions: number, moves: FleetFigures['moves']): FleetFigures {
    const { long, short } = this.worth;
    const asked = Math.max(1, long.asked + short.asked);
    return {
      long: { ...this.classes.long, earned: long.earned / Math.max(1, long.asked) },
      short: { ...this.classes.short, earned: short.earned / Math.max(1, short.asked) },
      earned: (long.earned + short.earned) / asked,
      lateRefusals: this.lateRefusals / asked,
      secondRefusals: this.secondRefusals / asked,
      preemptions,
      moves,
    };
  }
}

function noFigures(): ClassFigures {
  return { asked: 0, inTime: 0, lateFirst: 0, paused: 0, refused: 0, lost: 0, earned: 0 };
}

/** What an answer is worth: a part for itself, and one that grows with its size. */
function worthOf(wanted: fleetWorkload.WantedGeneration): number {
  const { kind, promptTokens, outputTokens } = wanted;
  const mean = kind.prompt.median + 10 * kind.output.median * Math.exp(kind.output.sigma ** 2 / 2);
  const size = (promptTokens + 10 * outputTokens) / mean;
  return kind.worth * Math.min(4, 0.3 + 0.7 * size);
}
