/**
 * A TCP proxy on a loopback address that delays, cuts, silences and resets what goes through it.
 */
import * as net from 'node:net';

/** What the proxy does to its connections. `forwardOnly` and `backwardOnly` lose the other direction. */
export type LinkState = 'sound' | 'delayed' | 'silent' | 'forwardOnly' | 'backwardOnly' | 'refused';

const DELAY_MS = 60;

interface Pair {
  readonly inbound: net.Socket;
  readonly outbound: net.Socket;
}

/** One proxied address; see the module comment. */
export class LoopbackProxy {
  state: LinkState = 'sound';
  private readonly server: net.Server;
  private readonly pairs = new Set<Pair>();

  /**
   * @param from - where it listens: `ip:port`
   * @param to - where it connects to: `ip:port`
   */
  constructor(from: string, to: string) {
    const [host = '', port = ''] = to.split(':');
    this.server = net.createServer({ allowHalfOpen: true }, (inbound) => {
      if (this.state === 'refused') {
        inbound.resetAndDestroy();
        return;
      }
      const outbound = net.connect({ host, port: Number(port), allowHalfOpen: true });
      this.join({ inbound, outbound });
    });
    const [fromHost = '', fromPort = ''] = from.split(':');
    this.server.listen(Number(fromPort), fromHost);
  }

  private join(pair: Pair): void {
    const { inbound, outbound } = pair;
    this.pairs.add(pair);
    this.pump(inbound, outbound, 'forwardOnly');
    this.pump(outbound, inbound, 'backwardOnly');
    for (const socket of [inbound, outbound]) {
      socket.on('error', () => {
        inbound.resetAndDestroy();
        outbound.resetAndDestroy();
      });
      socket.on('close', () => {
        this.pairs.delete(pair);
        inbound.destroy();
        outbound.destroy();
      });
    }
  }

  private pump(from: net.Socket, to: net.Socket, direction: 'forwardOnly' | 'backwardOnly'): void {
    // TCP never loses bytes in the middle: a direction that lost some stays silent until its connection closes.
    let lost = false;
    // Nor does it reorder them: one timer at a time, so that none overtakes another.
    const queue: { readonly at: number; readonly run: () => void }[] = [];
    const serve = (): void => {
      for (let head = queue[0]; head !== undefined; head = queue[0]) {
        const left = head.at - performance.now();
        if (left > 0) {
          setTimeout(serve, Math.ceil(left));
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
        serve();
      }
    };
    from.on('data', (bytes: Buffer) => {
      const oneWay = this.state === 'forwardOnly' || this.state === 'backwardOnly';
      lost = lost || this.state === 'silent' || (oneWay && this.state !== direction);
      if (lost) {
        return;
      }
      const pass = (): void => {
        if (to.writable) {
          to.write(bytes);
        }
      };
      afterDelay(pass);
    });
    from.on('end', () => {
      if (!lost) {
        afterDelay(() => to.end());
      }
    });
  }

  /** Resets every open connection; new ones work. */
  reset(): void {
    for (const { inbound, outbound } of [...this.pairs]) {
      inbound.resetAndDestroy();
      outbound.resetAndDestroy();
    }
  }

  /** New connections work again; those that went silent stay so, as on a network that forgot them. */
  heal(): void {
    this.state = 'sound';
  }

  close(): void {
    this.reset();
    this.server.close();
  }
}
