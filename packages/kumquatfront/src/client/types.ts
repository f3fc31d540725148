/**
 * What the caller helper is told and what it gives back. Times are milliseconds.
 */

/** Settings of the helper. */
export interface CallerClientOptions {
  /** Entries to begin with: `http://ip:port`. */
  readonly entries: readonly string[];
  readonly key: string;
  /** Labels of every request, such as `traffic=report`. */
  readonly labels: string;
  /** Time without a byte after which another entry is tried. */
  readonly silenceLimit: number;
  /** Time after which the helper gives up. */
  readonly deadline: number;
  /** Whether a generation that broke off may be run again from the beginning. */
  readonly restart: boolean;
}

/** What comes of a stream. */
export interface StreamSummary {
  readonly tokens: number;
  /** How often everything received was voided and begun again. */
  readonly restarts: number;
  /** Connections after the first. */
  readonly reconnects: number;
}

/** Receives a stream. */
export interface StreamReceiver {
  /** One token's data, exactly once and in order. */
  readonly onToken: (data: string) => void;
  /** Everything received so far is void; the answer begins again. */
  readonly onRestart: () => void;
}

/** Why a request failed for good. */
export interface ClientFailure {
  readonly kind: 'notRun' | 'outcomeUnknown' | 'interrupted' | 'invalid';
  readonly message: string;
}

/** Answer of a plain service. */
export interface ClientAnswer {
  readonly status: number;
  readonly body: string;
  /** True where the answer is that of an earlier run under the same key. */
  readonly repeated: boolean;
}
