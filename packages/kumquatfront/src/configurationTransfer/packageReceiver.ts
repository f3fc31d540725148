/**
 * Assembles a package from pieces that may come from several replicas.
 */
import type * as transferPackage from './transferPackage.js';
import type * as types from './types.js';

/**
 * Effect of a piece: it continued or completed the package, repeated what had arrived, or belongs to another package.
 */
export type PieceOutcome = 'continued' | 'completed' | 'repeated' | 'otherPackage';

/** A package of which some pieces have arrived. */
export class PackageReceiver {
  private readonly first: types.PieceAnswer;
  private data: string;

  /** @param first - the first piece of the package */
  constructor(first: types.PieceAnswer) {
    this.first = first;
    this.data = first.data;
  }

  get version(): number {
    return this.first.version;
  }

  /** Number of characters that have not arrived. */
  get missing(): number {
    return this.first.total - this.data.length;
  }

  get isComplete(): boolean {
    return this.missing <= 0;
  }

  /** Where the next piece begins. */
  get position(): types.TransferPosition {
    const { base, version, digest } = this.first;
    return { base, version, digest, offset: this.data.length };
  }

  /** Adds a piece if it is the next one. */
  receive(piece: types.PieceAnswer): PieceOutcome {
    if (piece.digest !== this.first.digest) {
      return 'otherPackage';
    }
    if (piece.offset !== this.data.length) {
      return 'repeated';
    }
    this.data += piece.data;
    return this.isComplete ? 'completed' : 'continued';
  }

  /** The assembled package; only valid once it is complete. */
  assemble(): transferPackage.TransferPackage {
    const { base, version, digest } = this.first;
    return { base, version, digest, data: this.data };
  }
}
