/**
 * Messages that carry a traffic configuration from a control replica to an entry in pieces.
 *
 * A package is a compressed text: a complete configuration, or the changes from a base version to a newer one. Replicas
 * create equal packages from equal versions, so the pieces of one package may come from several replicas.
 */

/** A package that is being transferred, and how much of it has arrived. */
export interface TransferPosition {
  readonly base: number;
  readonly version: number;
  /** Digest of the package. */
  readonly digest: string;
  /** Number of characters received. */
  readonly offset: number;
}

/** Requests a piece of a package with a version above `above`. */
export interface PieceRequest {
  readonly above: number;
  /** Version whose text the entry has, so that only changes are sent; 0 if it needs a complete configuration. */
  readonly base: number;
  /** Maximum number of characters in the answer. */
  readonly length: number;
  /** The package to continue; without it, the piece is the first of a package with the newest version. */
  readonly position?: TransferPosition;
}

/**
 * A piece of a package. It has offset 0 and belongs to another package than requested if the replica cannot continue the
 * requested one.
 */
export interface PieceAnswer extends TransferPosition {
  /** Length of the package in characters. */
  readonly total: number;
  /** Base64 characters of the package, from `offset` on. */
  readonly data: string;
}
