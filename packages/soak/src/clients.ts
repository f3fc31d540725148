/**
 * Clients that send requests to the entries, partly over keep-alive connections, and an operator that replaces and reads
 * the configuration.
 */
import * as http from 'node:http';

import type * as kumquatfront from 'kumquatfront';
import * as platform from 'kumquatfront-platform';

import type * as invariantChecker from './invariantChecker.js';
import * as sleep from './sleep.js';

const CALL_TIMEOUT_MS = 4_000;

/** Number of changes after which the configuration grows, and by how many routes. */
const CHANGES_PER_GROWTH = 4;
const ROUTES_PER_GROWTH = 700;
const MAXIMUM_UNUSED_ROUTES = 4_200;

/** Result of an HTTP call; status 0 means that no complete response head was received. */
export interface CallResult {
  readonly status: number;
  readonly body: string;
  readonly complete: boolean;
}

/**
 * Sends one HTTP request.
 *
 * @param options - request options of `node:http`
 * @returns the result; a network error or timeout gives an incomplete result, not a rejection
 * @example
 * ```ts
 * const result = await clients.call({ host: '127.0.23.1', port: 8740, path: '/lookUp/x' }, '');
 * ```
 */
export function call(options: http.RequestOptions, body: string): Promise<CallResult> {
  return new Promise((resolve) => {
    let status = 0;
    let text = '';
    const request = http.request({ timeout: CALL_TIMEOUT_MS, ...options });
    const finish = (complete: boolean): void => {
      resolve({ status, body: text, complete });
    };
    request.on('timeout', () => request.destroy());
    request.on('error', () => {
      finish(false);
    });
    request.on('response', (response) => {
      status = response.statusCode ?? 0;
      response.on('data', (bytes: Buffer) => {
        text += bytes.toString();
      });
      response.on('end', () => {
        finish(response.complete);
      });
      response.on('error', () => {
        finish(false);
      });
    });
    request.end(body);
  });
}

/**
 * Starts or finishes the evacuation of a data centre.
 *
 * @param timeout - time after which the connection is closed, in milliseconds
 * @returns true if the order was acknowledged
 * @example
 * ```ts
 * await clients.changeEvacuation({ host: '127.0.21.1', port: 8748 }, 'a', 'begin', 1_000);
 * ```
 */
export async function changeEvacuation(
  address: Pick<http.RequestOptions, 'host' | 'port'>,
  dataCentre: string,
  action: 'begin' | 'finish',
  timeout: number,
): Promise<boolean> {
  const path = `${platform.httpNames.systemPaths.dataCentres}${dataCentre}/${action}`;
  const result = await call({ ...address, method: 'POST', path, timeout }, '');
  return result.status === 200;
}

const requestKinds: readonly invariantChecker.AttemptOutcome['kind'][] = ['payment', 'lookUp', 'stream'];

/** Sends requests in a loop until it is stopped. */
export class Client {
  private stopped = false;
  private readonly agent = new http.Agent({ keepAlive: true, maxSockets: 2 });

  constructor(
    private readonly entries: readonly string[],
    private readonly port: number,
    private readonly random: kumquatfront.ports.Random,
    private readonly checker: invariantChecker.InvariantChecker,
  ) {
    void this.run();
  }

  private async run(): Promise<void> {
    while (!this.stopped) {
      await this.callOnce();
      await sleep.forMilliseconds(20 + this.random.next() * 60);
    }
  }

  private async callOnce(): Promise<void> {
    const identity = this.random.identity();
    const kind = requestKinds[Math.floor(this.random.next() * requestKinds.length)] ?? 'payment';
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
          [platform.httpNames.headers.attempt]: identity,
          [platform.httpNames.headers.timeLeft]: String(CALL_TIMEOUT_MS),
          [platform.httpNames.headers.tokens]: '300,160',
          Authorization: 'Token key',
        },
      },
      kind === 'lookUp' ? '' : 'x'.repeat(100),
    );
    this.checker.recordOutcome({ identity, kind, ...result });
  }

  stop(): void {
    this.stopped = true;
    this.agent.destroy();
  }
}

/** Requests per second that a cold instance tolerates. */
export const COLD_REQUESTS_PER_SECOND = 2;

/** Configuration of a soak run with the given version, as JSON. */
export function configurationText(version: number): string {
  const route = (
    name: string,
    kind: string,
    service: string,
    attempts: number,
    resumable = false,
  ): object => ({
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
    stream_resume: resumable,
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
  const cold = { cold_start_s: 1, cold_per_s: COLD_REQUESTS_PER_SECOND };
  return JSON.stringify({
    version,
    routes: [
      route('payment', 'non_idempotent', 'app', 1),
      route('lookUp', 'idempotent', 'app', 2),
      route('stream', 'streaming', 'llm', 1),
      route('notes', 'streaming', 'notes', 2, true),
      route('fragile', 'idempotent', 'fragile', 2),
      ...Array.from({ length: unusedRouteCount(version) }, (_, index) =>
        route(`unused${index}`, 'idempotent', 'app', 2),
      ),
    ],
    services: [
      { name: 'app', max_connections: 100, ...cold },
      { name: 'fragile', max_connections: 100 },
      { name: 'llm', max_connections: 100, ...cold, inference_engine: engine },
      { name: 'notes', max_connections: 100, inference_engine: engine },
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

/** Number of routes that no client uses; the configuration grows with its versions as those of operators do. */
function unusedRouteCount(version: number): number {
  return Math.min(MAXIMUM_UNUSED_ROUTES, Math.floor(version / CHANGES_PER_GROWTH) * ROUTES_PER_GROWTH);
}

/** Replaces the configuration and reads it from random control replicas. */
export class Operator {
  private stopped = false;
  private version = 0;

  constructor(
    private readonly controlHosts: readonly string[],
    private readonly port: number,
    private readonly random: kumquatfront.ports.Random,
    private readonly checker: invariantChecker.InvariantChecker,
  ) {}

  private pickHost(): string {
    return this.controlHosts[Math.floor(this.random.next() * this.controlHosts.length)] ?? '';
  }

  /** Replaces the configuration; true if the change was acknowledged. */
  async replaceConfiguration(): Promise<boolean> {
    this.version += 1;
    const { version } = this;
    const options = { host: this.pickHost(), port: this.port, method: 'POST', path: '/-/config/replace' };
    const result = await call({ ...options, timeout: 1_500 }, configurationText(version));
    if (result.status === 200) {
      this.checker.recordAcknowledgedVersion(version);
    }
    return result.status === 200;
  }

  /** Starts or finishes the evacuation of a data centre; true if the command was acknowledged. */
  async changeEvacuation(dataCentre: string, action: 'begin' | 'finish'): Promise<boolean> {
    return changeEvacuation({ host: this.pickHost(), port: this.port }, dataCentre, action, 1_500);
  }

  /** Reads the configuration; true if a complete answer was received. */
  async readConfiguration(): Promise<boolean> {
    const acknowledgedBefore = this.checker.newestAcknowledgedVersion;
    const options = { host: this.pickHost(), port: this.port, method: 'GET', path: '/-/config/fetch' };
    const result = await call({ ...options, timeout: 1_500 }, '');
    if (result.status !== 200 || !result.complete) {
      return false;
    }
    this.checker.recordRead((JSON.parse(result.body) as { version: number }).version, acknowledgedBefore);
    return true;
  }

  async run(): Promise<void> {
    while (!this.stopped) {
      await (this.random.next() < 0.4 ? this.replaceConfiguration() : this.readConfiguration());
      await sleep.forMilliseconds(150);
    }
  }

  stop(): void {
    this.stopped = true;
  }
}
