/**
 * Runners of a plain service and of an engine, as small servers that keep the ledger and announce themselves.
 */
import * as http from 'node:http';

import * as platform from 'kumquatfront-platform';

import * as ledger from './ledger.js';

const { headers } = platform.names;

const HEARTBEAT_MS = 400;
const EVENT_MS = 12;
const WORK_MS = 15;

/** What a runner is made from. */
export interface RunnerOptions {
  readonly identity: string;
  readonly service: 'app' | 'llm' | 'fragile';
  /** `a` where it is left out. */
  readonly dataCentre?: string;
  /** Where it listens. */
  readonly address: string;
  /** Where it says that it listens: a proxy. */
  readonly announced: string;
  /** Addresses of the control processes that take announcements. */
  readonly control: () => readonly string[];
  readonly book: ledger.Ledger;
  /** Called with the path of each request that it begins to run. */
  readonly onBegin?: (path: string) => void;
}

/** One runner; see the module comment. */
export class Runner {
  private readonly options: RunnerOptions;
  private readonly server: http.Server;
  private readonly timer: NodeJS.Timeout;
  private sequence = 0;
  /** Requests that it was sent and that named it. */
  arrivals = 0;
  /** Most requests in one second since it became cold. */
  mostWhileCold = 0;
  /** Headers that it adds to its answers. */
  extraHeaders: Readonly<Record<string, string>> = {};
  /** True while it turns every request away. */
  turnsAway = false;
  private coldUntil = 0;
  private readonly coldArrivals: number[] = [];
  private turn = 0;

  constructor(options: RunnerOptions) {
    this.options = options;
    this.server = http.createServer((incoming, outgoing) => {
      incoming.resume();
      incoming.on('end', () => {
        this.serve(incoming, outgoing);
      });
      incoming.on('error', () => undefined);
    });
    const [host = '', port = ''] = options.address.split(':');
    this.server.listen(Number(port), host);
    this.timer = setInterval(() => {
      this.beat();
    }, HEARTBEAT_MS);
  }

  get dataCentre(): string {
    return this.options.dataCentre ?? 'a';
  }

  /** From now on it is cold, and says so with its next announcement. */
  becomeCold(duration: number): void {
    this.coldUntil = Date.now() + duration;
  }

  private noteArrival(): void {
    const now = Date.now();
    this.arrivals += 1;
    if (now < this.coldUntil) {
      this.coldArrivals.push(now);
      const recent = this.coldArrivals.filter((time) => now - time <= 1_000);
      this.mostWhileCold = Math.max(this.mostWhileCold, recent.length);
    }
  }

  get identity(): string {
    return this.options.identity;
  }

  private beat(): void {
    const { identity, service, announced, control } = this.options;
    this.sequence += 1;
    this.turn += 1;
    const addresses = control();
    const address = addresses[this.turn % addresses.length] ?? '';
    const coldLeft = Math.max(0, this.coldUntil - Date.now());
    const beat = {
      ...{ service, address: announced, zone: this.dataCentre, slots: 24, state: 'ready' },
      ...{ cold_remaining_ms: coldLeft, sequence: this.sequence },
    };
    const [host = '', port = ''] = address.split(':');
    const request = http.request({
      host,
      port: Number(port),
      method: 'POST',
      path: `/-/instances/${identity}/heartbeat`,
      timeout: HEARTBEAT_MS,
    });
    request.on('timeout', () => request.destroy());
    request.on('error', () => undefined);
    request.on('response', (response) => response.resume());
    request.end(JSON.stringify(beat));
  }

  private serve(incoming: http.IncomingMessage, outgoing: http.ServerResponse): void {
    const { identity, book } = this.options;
    const attempt = String(incoming.headers[headers.attempt] ?? '');
    if (incoming.headers[headers.expectedInstance] !== identity) {
      outgoing.writeHead(421, { [headers.notRun]: '1' });
      outgoing.end();
      return;
    }
    const path = incoming.url ?? '';
    this.noteArrival();
    if (this.turnsAway) {
      outgoing.writeHead(503, { [headers.attempt]: attempt, [headers.notRun]: '1', ...this.extraHeaders });
      outgoing.end();
      return;
    }
    book.ran(attempt, path.startsWith('/lookUp/') || path.startsWith('/fragile/'));
    this.options.onBegin?.(path);
    outgoing.on('error', () => undefined);
    if (path.startsWith('/stream/')) {
      this.stream(attempt, outgoing);
      return;
    }
    setTimeout(() => {
      outgoing.writeHead(200, {
        [headers.attempt]: attempt,
        [headers.signature]: 's',
        ...this.extraHeaders,
      });
      outgoing.end(ledger.bodyOf(attempt));
    }, WORK_MS);
  }

  private stream(attempt: string, outgoing: http.ServerResponse): void {
    outgoing.writeHead(200, {
      [headers.attempt]: attempt,
      [headers.signature]: 's',
      'Content-Type': 'text/event-stream',
      ...this.extraHeaders,
    });
    let index = 0;
    const timer = setInterval(() => {
      index += 1;
      outgoing.write(ledger.eventOf(attempt, index));
      if (index === ledger.STREAM_EVENTS) {
        clearInterval(timer);
        outgoing.end();
      }
    }, EVENT_MS);
    outgoing.on('close', () => {
      clearInterval(timer);
    });
  }

  close(): void {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }
}
