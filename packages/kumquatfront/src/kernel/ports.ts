/**
 * Ports: everything a service may ask of the outside. Decision services see only these, so a test, a
 * bench or an embedding program can drive them through messages and timers alone.
 */
import type * as failures from './failures.js';
import type * as results from './results.js';

/** Milliseconds on a monotonic clock. */
export type Milliseconds = number;

/** Cancels what returned it; calling it twice does nothing. */
export type Cancel = () => void;

/** Reads the time. */
export interface Clock {
  /** Monotonic milliseconds since an arbitrary start. */
  now(): Milliseconds;
  /** Milliseconds since 1970; only for stamps that people read or that outlive the process. */
  wall(): Milliseconds;
}

/** Runs a function later, on the same thread. */
export interface Scheduler {
  after(delay: Milliseconds, run: () => void): Cancel;
}

/** Seeded random numbers. */
export interface Random {
  /** A float in [0, 1). */
  next(): number;
  /** A random identity: 16 lower-case hexadecimal digits. */
  identity(): string;
}

/** Answer of a peer, or why there is none. */
export type Reply = (result: results.Result<unknown, failures.Failure>) => void;

/** Handles one method that peers call. */
export type PeerHandler = (parameters: unknown, reply: Reply) => void;

/** Requests and one-way messages between the system's own processes. */
export interface PeerTransport {
  /** Calls a method of a peer; `done` is called exactly once, with a timeout failure at the latest. */
  request(address: string, method: string, parameters: unknown, timeout: Milliseconds, done: Reply): void;
  /** Sends without waiting for an answer; it may be lost. */
  notify(address: string, method: string, parameters: unknown): void;
  /** Serves a method to peers. */
  serve(method: string, handler: PeerHandler): void;
}

/**
 * Files in the one data folder. Writes last only once `sync` or `replace` has called back. Operations on
 * all files take effect in the order in which they were asked for.
 */
export interface Disk {
  /** Whole content of a file; undefined where there is none. */
  read(file: string): Uint8Array | undefined;
  /** Appends bytes; they may be lost or torn until synced. */
  append(file: string, bytes: Uint8Array): void;
  /** Makes earlier appends of the file durable, then calls back. */
  sync(file: string, done: () => void): void;
  /** Replaces a file atomically and durably, then calls back. */
  replace(file: string, bytes: Uint8Array, done: () => void): void;
}

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Structured log: one line of key=value pairs an event. */
export interface Log {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

/** Tags of a metric. */
export type MetricTags = Readonly<Record<string, string>>;

/** Counters, gauges and timings. */
export interface Metrics {
  count(name: string, value?: number, tags?: MetricTags): void;
  gauge(name: string, value: number, tags?: MetricTags): void;
  timing(name: string, milliseconds: number, tags?: MetricTags): void;
}

/** The ports that every node needs, whatever it does. */
export interface BasePorts {
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly random: Random;
  readonly peers: PeerTransport;
  readonly log: Log;
  readonly metrics: Metrics;
}
