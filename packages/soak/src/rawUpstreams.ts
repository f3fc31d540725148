/**
 * Upstreams of the platform whose answers a test writes byte by byte: each is a server of its own, announced to control.
 */
import * as http from 'node:http';

import * as platform from 'kumquatfront-platform';
import * as standIns from 'kumquatfront-stand-ins';

const HEARTBEAT_INTERVAL_MS = 300;

const ATTEMPT = new RegExp(`^${platform.httpNames.headers.attempt}: *([^\\r]*)`, 'im');

/** One instance that is announced. */
export interface RawInstance {
  readonly identity: string;
  readonly service: string;
  /** Address that it binds. */
  readonly host: string;
}

/** Instances and behaviour of the upstreams. */
export interface RawUpstreamsOptions {
  readonly instances: readonly RawInstance[];
  /** The same for all instances. */
  readonly port: number;
  /** Address of a control process that accepts heartbeats. */
  readonly controlAddress: string;
  /** The answer to an attempt. */
  readonly answerTo: (attempt: string) => standIns.rawAnswerServer.RawAnswer;
}

/** The upstreams; see the module comment. */
export class RawUpstreams {
  /** Attempts whose requests have arrived. */
  readonly arrived = new Set<string>();
  private readonly servers: readonly standIns.rawAnswerServer.RawAnswerServer[];
  private readonly heartbeatTimer: NodeJS.Timeout;
  private sequence = 0;

  private constructor(private readonly options: RawUpstreamsOptions) {
    this.servers = options.instances.map(
      () =>
        new standIns.rawAnswerServer.RawAnswerServer(({ head }) => {
          const [, attempt = ''] = ATTEMPT.exec(head) ?? [];
          this.arrived.add(attempt);
          return options.answerTo(attempt);
        }),
    );
    this.heartbeatTimer = setInterval(() => {
      this.sendHeartbeats();
    }, HEARTBEAT_INTERVAL_MS);
  }

  /** Starts the servers and their heartbeats. */
  static async start(options: RawUpstreamsOptions): Promise<RawUpstreams> {
    const upstreams = new RawUpstreams(options);
    for (const [index, { host }] of options.instances.entries()) {
      await upstreams.servers[index]?.listen(options.port, host);
    }
    return upstreams;
  }

  private sendHeartbeats(): void {
    const { instances, port, controlAddress } = this.options;
    this.sequence += 1;
    const [controlHost = '', controlPort = ''] = controlAddress.split(':');
    for (const { identity, service, host } of instances) {
      const request = http.request({
        ...{ host: controlHost, port: controlPort, method: 'POST', timeout: HEARTBEAT_INTERVAL_MS },
        path: `/-/instances/${identity}/heartbeat`,
      });
      request.on('timeout', () => request.destroy());
      request.on('error', () => undefined);
      request.on('response', (response) => response.resume());
      request.end(
        JSON.stringify({
          ...{ service, address: `${host}:${port}`, zone: 'a', slots: 24, state: 'ready', version: 'v1' },
          ...{ cold_remaining_ms: 0, sequence: this.sequence },
        }),
      );
    }
  }

  close(): void {
    clearInterval(this.heartbeatTimer);
    for (const server of this.servers) {
      server.close();
    }
  }
}
