/**
 * Ports: interfaces of the services to their environment. Decision logic depends only on these, so that a test, a
 * benchmark or an embedding program can drive it through messages and timers.
 */
import type * as failures from './failures.js';
import type * as results from './results.js';

/** Milliseconds on a monotonic clock. */
export type Milliseconds = number;

/** Cancels the operation that returned it; further calls have no effect. */
export type Cancel = () => void;

/** Source of monotonic and wall-clock time. */
export interface Clock {
  /** Monotonic milliseconds since an arbitrary start. */
  now(): Milliseconds;
  /** Milliseconds since the Unix epoch; only for timestamps that people read or that outlive the process. */
  wall(): Milliseconds;
}

/** Runs a function after a delay, on the same thread. */
export interface Scheduler {
  after(delay: Milliseconds, run: () => void): Cancel;
}

/** Seeded random numbers. */
export interface Random {
  /** A float in [0, 1). */
  next(): number;
  /** A random identifier: 16 lower-case hexadecimal digits. */
  identity(): string;
}

/** Receives the answer of a peer, or the failure of the call. */
export type Reply = (result: results.Result<unknown, failures.Failure>) => void;

/** Handles one method that peers call. */
export type PeerHandler = (parameters: unknown, reply: Reply) => void;

/** Requests and one-way messages between the system's own processes. */
export interface PeerTransport {
  /** Calls a method of a peer; `done` is called exactly once, with a timeout failure at the latest. */
  request(address: string, method: string, parameters: unknown, timeout: Milliseconds, done: Reply): void;
  /** Sends a message without an answer; it may be lost. */
  notify(address: string, method: string, parameters: unknown): void;
  /** Registers the handler of a method. */
  serve(method: string, handler: PeerHandler): void;
  /** Bytes received from all peers so far; absent if the transport does not count them. */
  bytesReceived?(): number;
}

/**
 * Files in the data folder. A write is durable only after `sync` or `replace` has called back. Operations take effect
 * in the order in which they were requested, also across files.
 */
export interface Disk {
  /** Content of a file; undefined if the file does not exist. */
  read(file: string): Uint8Array | undefined;
  /** Appends bytes; until `sync` they may be lost or written in part. */
  append(file: string, bytes: Uint8Array): void;
  /** Makes earlier appends of the file durable, then calls back. */
  sync(file: string, done: () => void): void;
  /** Replaces a file atomically and durably, then calls back. */
  replace(file: string, bytes: Uint8Array, done: () => void): void;
}

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Structured log: one line of key=value pairs per event. */
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

/** The ports that every kind of node needs. */
export interface BasePorts {
  readonly clock: Clock;
  readonly scheduler: Scheduler;
  readonly random: Random;
  readonly peers: PeerTransport;
  readonly log: Log;
  readonly metrics: Metrics;
}
