/**
 * Length of the pieces in which an entry requests a configuration, adapted to the bandwidth that it gets.
 */
import type * as ports from '../kernel/ports.js';

const INITIAL_LENGTH = 16_384;
/** Bounds how long an answer to another request waits on the same connection. */
const MAXIMUM_LENGTH = 65_536;
/** Arrives before a request times out even at the bandwidth of a modem. */
const MINIMUM_LENGTH = 1_024;

/** A piece that arrives within this time may be followed by a longer one. */
const FAST_ANSWER: ports.Milliseconds = 100;

/** Length of the next piece in characters. */
export class PieceLength {
  private length = INITIAL_LENGTH;

  get current(): number {
    return this.length;
  }

  /** Records that a piece has arrived after a time. */
  onAnswer(duration: ports.Milliseconds): void {
    if (duration <= FAST_ANSWER) {
      this.length = Math.min(MAXIMUM_LENGTH, this.length * 2);
    }
  }

  /** Records that a piece did not arrive within the hedging delay or the timeout. */
  onSlow(): void {
    this.length = Math.max(MINIMUM_LENGTH, this.length / 2);
  }
}
