/**
 * Stub instances of a plain service and of an engine: small HTTP servers that send heartbeats to the control processes
 * and record each execution in the invariant checker.
 */
import * as http from 'node:http';

import * as platform from 'kumquatfront-platform';
import * as standIns from 'kumquatfront-stand-ins';

import * as invariantChecker from './invariantChecker.js';

const { headers } = platform.httpNames;

const HEARTBEAT_INTERVAL_MS = 400;
const EVENT_INTERVAL_MS = 12;
const SERVICE_TIME_MS = 15;

/** Number of events in a complete stream of the service `notes`. */
export const NOTES_EVENTS = 40;

/** Dependencies and identity of a stub instance. */
export interface StubInstanceOptions {
  readonly identity: string;
  readonly service: 'app' | 'llm' | 'fragile' | 'notes';
  /** Version of its software, announced and stamped on the events of `notes`; by default one for all. */
  readonly softwareVersion?: string;
  /** Defaults to `a`. */
  readonly dataCentre?: string;
  /** Address that the server binds. */
  readonly listenAddress: string;
  /** Address sent in heartbeats: that of a proxy in front of the server. */
  readonly advertisedAddress: string;
  /** Addresses of the control processes that accept heartbeats. */
  readonly controlAddresses: () => readonly string[];
  readonly checker: invariantChecker.InvariantChecker;
  /** Called with the path of each request whose execution starts. */
  readonly onRequestStart?: (path: string) => void;
}

/** HTTP server that acts as one instance of a service. */
export class StubInstance {
  private readonly options: StubInstanceOptions;
  private readonly server: http.Server;
  private readonly heartbeatTimer: NodeJS.Timeout;
  private sequence = 0;
  /** Number of requests addressed to this instance. */
  arrivals = 0;
  /** Maximum number of requests within one second while cold. */
  maximumRateWhileCold = 0;
  /** Headers added to each response. */
  extraHeaders: Readonly<Record<string, string>> = {};
  /** True while each request is rejected with 503. */
  rejectsRequests = false;
  private isLeaving = false;
  private coldUntil = 0;
  private readonly coldArrivals: number[] = [];
  private readonly framings = new standIns.responseFraming.FramingRotation();
  /** Writes a part of the next event to each open stream. */
  private readonly streamCuts = new Set<() => void>();
  private controlIndex = 0;

  constructor(options: StubInstanceOptions) {
    this.options = options;
    this.server = http.createServer((incoming, outgoing) => {
      incoming.resume();
      incoming.on('end', () => {
        this.serve(incoming, outgoing);
      });
      incoming.on('error', () => undefined);
    });
    const [host = '', port = ''] = options.listenAddress.split(':');
    this.server.listen(Number(port), host);
    this.heartbeatTimer = setInterval(() => {
      this.sendHeartbeat();
    }, HEARTBEAT_INTERVAL_MS);
  }

  get dataCentre(): string {
    return this.options.dataCentre ?? 'a';
  }

  /** Announces its termination, and closes after the notice. */
  leave(notice: number): void {
    this.isLeaving = true;
    this.sendHeartbeat();
    setTimeout(() => {
      this.close();
    }, notice);
  }

  /** Marks the instance as cold; the next heartbeat reports the remaining time. */
  becomeCold(duration: number): void {
    this.coldUntil = Date.now() + duration;
  }

  private recordArrival(): void {
    const now = Date.now();
    this.arrivals += 1;
    if (now < this.coldUntil) {
      this.coldArrivals.push(now);
      const recent = this.coldArrivals.filter((time) => now - time <= 1_000);
      this.maximumRateWhileCold = Math.max(this.maximumRateWhileCold, recent.length);
    }
  }

  private get softwareVersion(): string {
    return this.options.softwareVersion ?? 'v1';
  }

  get identity(): string {
    return this.options.identity;
  }

  private sendHeartbeat(): void {
    const { identity, service, advertisedAddress, controlAddresses } = this.options;
    this.sequence += 1;
    this.controlIndex += 1;
    const addresses = controlAddresses();
    const address = addresses[this.controlIndex % addresses.length] ?? '';
    const coldRemaining = Math.max(0, this.coldUntil - Date.now());
    const heartbeat = {
      ...{ service, address: advertisedAddress, zone: this.dataCentre, slots: 24 },
      ...{ state: this.isLeaving ? 'draining' : 'ready' },
      ...{ cold_remaining_ms: coldRemaining, sequence: this.sequence, version: this.softwareVersion },
    };
    const [host = '', port = ''] = address.split(':');
    const request = http.request({
      host,
      port: Number(port),
      method: 'POST',
      path: `/-/instances/${identity}/heartbeat`,
      timeout: HEARTBEAT_INTERVAL_MS,
    });
    request.on('timeout', () => request.destroy());
    request.on('error', () => undefined);
    request.on('response', (response) => response.resume());
    request.end(JSON.stringify(heartbeat));
  }

  private serve(incoming: http.IncomingMessage, outgoing: http.ServerResponse): void {
    const { identity, checker } = this.options;
    const attempt = String(incoming.headers[headers.attempt] ?? '');
    if (incoming.headers[headers.expectedInstance] !== identity) {
      outgoing.writeHead(421, { [headers.notRun]: '1' });
      outgoing.end();
      return;
    }
    const path = incoming.url ?? '';
    this.recordArrival();
    if (this.rejectsRequests) {
      outgoing.writeHead(503, { [headers.attempt]: attempt, [headers.notRun]: '1', ...this.extraHeaders });
      outgoing.end();
      return;
    }
    const isRepeatable = ['/lookUp/', '/fragile/', '/notes/'].some((prefix) => path.startsWith(prefix));
    checker.recordExecution(attempt, isRepeatable);
    this.options.onRequestStart?.(path);
    outgoing.on('error', () => undefined);
    if (path.startsWith('/stream/')) {
      this.stream(attempt, outgoing, 0, invariantChecker.STREAM_EVENTS, (index) =>
        invariantChecker.eventOf(attempt, index),
      );
      return;
    }
    if (path.startsWith('/notes/')) {
      const lastEvent = Number(incoming.headers[headers.lastEvent] ?? '0');
      this.stream(
        attempt,
        outgoing,
        lastEvent,
        NOTES_EVENTS,
        (index) => `id: ${index}\ndata: ${this.softwareVersion}\n\n`,
      );
      return;
    }
    setTimeout(() => {
      const body = invariantChecker.bodyOf(attempt);
      this.framings.apply(outgoing, Buffer.byteLength(body));
      outgoing.writeHead(200, {
        [headers.attempt]: attempt,
        [headers.signature]: 's',
        ...this.extraHeaders,
      });
      outgoing.end(body);
    }, SERVICE_TIME_MS);
  }

  private stream(
    attempt: string,
    outgoing: http.ServerResponse,
    lastEvent: number,
    eventCount: number,
    eventOf: (index: number) => string,
  ): void {
    const events = Array.from({ length: eventCount - lastEvent }, (_, index) =>
      eventOf(lastEvent + index + 1),
    );
    this.framings.apply(outgoing, Buffer.byteLength(events.join('')));
    outgoing.writeHead(200, {
      [headers.attempt]: attempt,
      [headers.signature]: 's',
      'Content-Type': 'text/event-stream',
      ...this.extraHeaders,
    });
    let index = lastEvent;
    const timer = setInterval(() => {
      index += 1;
      outgoing.write(eventOf(index));
      if (index >= eventCount) {
        clearInterval(timer);
        outgoing.end();
      }
    }, EVENT_INTERVAL_MS);
    const cut = (): void => {
      outgoing.write(eventOf(index + 1).slice(0, -3));
    };
    this.streamCuts.add(cut);
    outgoing.on('close', () => {
      clearInterval(timer);
      this.streamCuts.delete(cut);
    });
  }

  /** Ends like a process that exits: its streams are cut off within an event. */
  close(): void {
    clearInterval(this.heartbeatTimer);
    this.server.close();
    for (const cut of this.streamCuts) {
      cut();
    }
    this.server.closeAllConnections();
  }
}
