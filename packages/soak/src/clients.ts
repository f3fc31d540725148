/**
 * Clients that call entries, some on kept connections which they use until the process is gone, and an operator
 * who replaces and reads the configuration.
 */
import * as http from 'node:http';

import type * as kumquatfront from 'kumquatfront';
import * as platform from 'kumquatfront-platform';

import type * as ledger from './ledger.js';
import * as pause from './pause.js';

const PATIENCE_MS = 4_000;

/** One HTTP call; a status of 0 means that there was no whole head. */
export interface CallResult {
  readonly status: number;
  readonly body: string;
  readonly whole: boolean;
}

/**
 * Makes one call.
 *
 * @param options - Node's own options
 * @param body - the request's body
 * @returns how it ended
 * @example
 * ```ts
 * const result = await clients.call({ host: '127.0.23.1', port: 8740, path: '/lookUp/x' }, '');
 * ```
 */
export function call(options: http.RequestOptions, body: string): Promise<CallResult> {
  return new Promise((resolve) => {
    let status = 0;
    let text = '';
    const request = http.request({ timeout: PATIENCE_MS, ...options });
    const end = (whole: boolean): void => {
      resolve({ status, body: text, whole });
    };
    request.on('timeout', () => request.destroy());
    request.on('error', () => {
      end(false);
    });
    request.on('response', (response) => {
      status = response.statusCode ?? 0;
      response.on('data', (bytes: Buffer) => {
        text += bytes.toString();
      });
      response.on('end', () => {
        end(response.complete);
      });
      response.on('error', () => {
        end(false);
      });
    });
    request.end(body);
  });
}

const kinds: readonly ledger.Told['kind'][] = ['payment', 'lookUp', 'stream'];

/** A client that goes on calling until it is stopped. */
export class Client {
  private stopped = false;
  private readonly agent = new http.Agent({ keepAlive: true, maxSockets: 2 });

  constructor(
    private readonly entries: readonly string[],
    private readonly port: number,
    private readonly random: kumquatfront.ports.Random,
    private readonly book: ledger.Ledger,
  ) {
    void this.run();
  }

  private async run(): Promise<void> {
    while (!this.stopped) {
      await this.callOnce();
      await pause.of(20 + this.random.next() * 60);
    }
  }

  private async callOnce(): Promise<void> {
    const identity = this.random.identity();
    const kind = kinds[Math.floor(this.random.next() * kinds.length)] ?? 'payment';
    const host = this.entries[Math.floor(this.random.next() * this.entries.length)] ?? '';
    const result = await call(
      {
        host,
        port: this.port,
        method: kind === 'lookUp' ? 'GET' : 'POST',
        path: `/${kind}/${identity}`,
        agent: this.random.next() < 0.7 ? this.agent : undefined,
        headers: {
          Host: 'soak.example',
          [platform.names.headers.attempt]: identity,
          [platform.names.headers.timeLeft]: String(PATIENCE_MS),
          [platform.names.headers.tokens]: '300,160',
          Authorization: 'Token key',
        },
      },
      kind === 'lookUp' ? '' : 'x'.repeat(100),
    );
    this.book.told({ identity, kind, ...result });
  }

  stop(): void {
    this.stopped = true;
    this.agent.destroy();
  }
}

/** Requests a second that a cold runner tolerates. */
export const COLD_TOLERATES = 2;

/** The configuration of a soak, at a version. */
export function configurationText(version: number): string {
  const route = (name: string, kind: string, service: string, attempts: number): object => ({
    name,
    host: 'soak.example',
    path_prefix: `/${name}/`,
    route_type: kind,
    timeout_ms: 6_000,
    target_latency_ms: 500,
    priority: 1,
    service,
    max_attempts: attempts,
    anonymous: false,
    stream_resume: false,
    target_itl_ms: 180,
  });
  const engine = {
    slots: 24,
    kv_capacity_tokens: 30_000,
    kv_bytes: 1,
    link_mbps: 1_000,
    migrations: false,
    backups: false,
    stride: 4,
  };
  const cold = { cold_start_s: 1, cold_per_s: COLD_TOLERATES };
  return JSON.stringify({
    version,
    routes: [
      route('payment', 'non_idempotent', 'app', 1),
      route('lookUp', 'idempotent', 'app', 2),
      route('stream', 'streaming', 'llm', 1),
      route('fragile', 'idempotent', 'fragile', 2),
    ],
    services: [
      { name: 'app', max_connections: 100, ...cold },
      { name: 'fragile', max_connections: 100 },
      { name: 'llm', max_connections: 100, ...cold, inference_engine: engine },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: 'soaker', api_keys: ['key'] }],
  });
}

/** An operator that replaces the configuration again and again, and reads it anywhere. */
export class Operator {
  private stopped = false;
  private version = 0;

  constructor(
    private readonly control: readonly string[],
    private readonly port: number,
    private readonly random: kumquatfront.ports.Random,
    private readonly book: ledger.Ledger,
  ) {}

  private host(): string {
    return this.control[Math.floor(this.random.next() * this.control.length)] ?? '';
  }

  /** Replaces the configuration once; true where it was acknowledged. */
  async replace(): Promise<boolean> {
    this.version += 1;
    const { version } = this;
    const options = { host: this.host(), port: this.port, method: 'POST', path: '/-/config/replace' };
    const result = await call({ ...options, timeout: 1_500 }, configurationText(version));
    if (result.status === 200) {
      this.book.acknowledge(version);
    }
    return result.status === 200;
  }

  /** Orders the evacuation of a data centre to begin or to finish; true where it was acknowledged. */
  async orderDataCentre(dataCentre: string, order: 'begin' | 'finish'): Promise<boolean> {
    const path = `${platform.names.systemPaths.dataCentres}${dataCentre}/${order}`;
    const result = await call(
      { host: this.host(), port: this.port, method: 'POST', path, timeout: 1_500 },
      '',
    );
    return result.status === 200;
  }

  /** Reads the configuration once; true where there was an answer. */
  async read(): Promise<boolean> {
    const before = this.book.newest;
    const options = { host: this.host(), port: this.port, method: 'GET', path: '/-/config/fetch' };
    const result = await call({ ...options, timeout: 1_500 }, '');
    if (result.status !== 200 || !result.whole) {
      return false;
    }
    this.book.read((JSON.parse(result.body) as { version: number }).version, before);
    return true;
  }

  async run(): Promise<void> {
    while (!this.stopped) {
      await (this.random.next() < 0.4 ? this.replace() : this.read());
      await pause.of(150);
    }
  }

  stop(): void {
    this.stopped = true;
  }
}
