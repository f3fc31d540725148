/**
 * Options and results of the caller client. Times are in milliseconds.
 */

/** Options of a caller client. */
export interface CallerClientOptions {
  /** Addresses of the seed entries: `http://ip:port`. */
  readonly entries: readonly string[];
  readonly key: string;
  /** Labels sent with every request, such as `traffic=report`. */
  readonly labels: string;
  /** Time without received data after which another entry is tried. */
  readonly idleTimeout: number;
  /** Time after which no further attempt is made. */
  readonly deadline: number;
  /** Whether an interrupted generation may be restarted from the beginning. */
  readonly allowRestart: boolean;
}

/** Statistics of a completed stream. */
export interface StreamSummary {
  readonly tokens: number;
  /** Number of times the received tokens were discarded and the generation was restarted. */
  readonly restarts: number;
  /** Number of connections after the first. */
  readonly reconnects: number;
}

/** Callbacks of a stream. */
export interface StreamReceiver {
  /** Called with the data of each token, exactly once and in order. */
  readonly onToken: (data: string) => void;
  /** Called when all tokens received so far are discarded because the generation restarts. */
  readonly onRestart: () => void;
}

/** Reason for a request that failed permanently. */
export interface ClientFailure {
  readonly kind: 'notRun' | 'outcomeUnknown' | 'interrupted' | 'invalid';
  readonly message: string;
}

/** Response of a plain service. */
export interface ServiceResponse {
  readonly status: number;
  readonly body: string;
  /** True if this is the stored response to an earlier call with the same idempotency key. */
  readonly replayed: boolean;
}
