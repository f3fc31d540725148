/**
 * Loaded into an entry's process before the program (`node --import`): cuts its links to upstreams as long as a file
 * names a form of cut. The other processes reach the upstreams meanwhile, which a proxy before an upstream cannot do.
 */
import * as fs from 'node:fs';
import * as net from 'node:net';

/**
 * Form of a cut: open connections transmit nothing and new ones are never established; open ones are reset and new ones
 * refused; or only new ones are refused.
 */
export type CutForm = 'silent' | 'reset' | 'newRefused';

/** Environment variable with the file that names the form; an empty file ends the cut. */
export const FILE_VARIABLE = 'KUMQUATFRONT_SOAK_CUT_FILE';

/** Environment variable with the prefixes of the hosts that are cut off, separated by commas. */
export const HOSTS_VARIABLE = 'KUMQUATFRONT_SOAK_CUT_HOSTS';

const POLL_INTERVAL_MS = 10;

/** Host of a loopback network on which nothing listens, so that connections to it are refused. */
const REFUSING_HOST = '127.0.99.99';

interface ConnectTarget {
  readonly host: string;
  readonly port: number;
}

/** A socket whose state can be set to that of an attempt to connect. */
type Mutable<Socket> = { -readonly [Key in keyof Socket]: Socket[Key] };

type Connect = (this: net.Socket, ...values: unknown[]) => net.Socket;

function isTarget(value: unknown): value is ConnectTarget {
  return typeof value === 'object' && value !== null && 'host' in value && 'port' in value;
}

function install(file: string, prefixes: readonly string[]): void {
  const open = new Set<net.Socket>();
  let form = '';
  const connect = Reflect.get(net.Socket.prototype, 'connect') as Connect;
  const connectUnlessCut = function (this: Mutable<net.Socket>, ...values: unknown[]): net.Socket {
    // `net.connect` passes its normalized arguments as one array.
    const [first] = values;
    const target: unknown = Array.isArray(first) ? first[0] : first;
    if (!isTarget(target) || !prefixes.some((prefix) => target.host.startsWith(prefix))) {
      return connect.apply(this, values);
    }
    open.add(this);
    this.once('close', () => open.delete(this));
    if (form === 'silent') {
      this.connecting = true;
      return this;
    }
    if (form !== '') {
      return connect.call(this, { ...target, host: REFUSING_HOST });
    }
    return connect.apply(this, values);
  };
  Reflect.set(net.Socket.prototype, 'connect', connectUnlessCut);
  const apply = (newForm: string): void => {
    form = newForm;
    for (const socket of open) {
      if (form === 'reset') {
        socket.destroy(new Error('read ECONNRESET'));
      } else if (form === 'silent') {
        socket.pause();
      } else {
        socket.resume();
      }
    }
  };
  setInterval(() => {
    const named = fs.readFileSync(file, 'utf8');
    if (named !== form) {
      apply(named);
    }
  }, POLL_INTERVAL_MS).unref();
}

const { [FILE_VARIABLE]: cutFile, [HOSTS_VARIABLE]: cutHosts } = process.env;
if (cutFile !== undefined && cutHosts !== undefined) {
  install(cutFile, cutHosts.split(','));
}
