/**
 * TCP proxy on a loopback address that can delay, drop, refuse and reset the traffic that passes through it.
 */
import * as net from 'node:net';

import * as kumquatfront from 'kumquatfront';

/** Fault applied to the connections. `forwardOnly` and `backwardOnly` drop the opposite direction. */
export type LinkState = 'healthy' | 'delayed' | 'silent' | 'forwardOnly' | 'backwardOnly' | 'refused';

const DELAY_MS = 60;

interface ProxiedConnection {
  readonly inbound: net.Socket;
  readonly outbound: net.Socket;
}

function resetBoth({ inbound, outbound }: ProxiedConnection): void {
  kumquatfront.connectionReset.reset(inbound);
  kumquatfront.connectionReset.reset(outbound);
}

/** Proxies one address and injects network faults. */
export class LoopbackProxy {
  state: LinkState = 'healthy';
  private readonly server: net.Server;
  private readonly connections = new Set<ProxiedConnection>();

  /**
   * @param from - address to listen on, `ip:port`
   * @param to - address to connect to, `ip:port`
   */
  constructor(from: string, to: string) {
    const [host = '', port = ''] = to.split(':');
    this.server = net.createServer({ allowHalfOpen: true }, (inbound) => {
      if (this.state === 'refused') {
        kumquatfront.connectionReset.reset(inbound);
        return;
      }
      const outbound = net.connect({ host, port: Number(port), allowHalfOpen: true });
      this.connect({ inbound, outbound });
    });
    const [fromHost = '', fromPort = ''] = from.split(':');
    this.server.listen(Number(fromPort), fromHost);
  }

  private connect(connection: ProxiedConnection): void {
    const { inbound, outbound } = connection;
    this.connections.add(connection);
    this.forward(inbound, outbound, 'forwardOnly');
    this.forward(outbound, inbound, 'backwardOnly');
    for (const socket of [inbound, outbound]) {
      socket.on('error', () => {
        resetBoth(connection);
      });
      socket.on('close', () => {
        this.connections.delete(connection);
        inbound.destroy();
        outbound.destroy();
      });
    }
  }

  private forward(from: net.Socket, to: net.Socket, direction: 'forwardOnly' | 'backwardOnly'): void {
    // TCP never drops bytes mid-stream: once a direction has lost data, it forwards nothing until the connection closes.
    let lostData = false;
    // A single timer at a time keeps delayed chunks in order.
    const queue: { readonly at: number; readonly run: () => void }[] = [];
    const runDue = (): void => {
      for (let head = queue[0]; head !== undefined; head = queue[0]) {
        const remaining = head.at - performance.now();
        if (remaining > 0) {
          setTimeout(runDue, Math.ceil(remaining));
          return;
        }
        queue.shift();
        head.run();
      }
    };
    const afterDelay = (run: () => void): void => {
      const at = performance.now() + (this.state === 'delayed' ? DELAY_MS : 0);
      queue.push({ at, run });
      if (queue.length === 1) {
        runDue();
      }
    };
    from.on('data', (bytes: Buffer) => {
      const oneWay = this.state === 'forwardOnly' || this.state === 'backwardOnly';
      lostData = lostData || this.state === 'silent' || (oneWay && this.state !== direction);
      if (lostData) {
        return;
      }
      const write = (): void => {
        if (to.writable) {
          to.write(bytes);
        }
      };
      afterDelay(write);
    });
    from.on('end', () => {
      if (!lostData) {
        afterDelay(() => to.end());
      }
    });
  }

  /** Resets all open connections; new connections are accepted. */
  reset(): void {
    for (const connection of [...this.connections]) {
      resetBoth(connection);
    }
  }

  /** Forwards new connections again; connections that have lost data forward nothing until they close. */
  heal(): void {
    this.state = 'healthy';
  }

  close(): void {
    this.reset();
    this.server.close();
  }
}
