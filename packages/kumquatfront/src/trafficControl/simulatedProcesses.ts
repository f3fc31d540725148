/**
 * Simulated processes on virtual time: messages, timers and disks, with cuts, slow links, kills and pauses.
 */
import * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import type * as virtualTime from '../kernel/virtualTime.js';
import * as sharedLink from './sharedLink.js';

const LATENCY: ports.Milliseconds = 1;

/** In-memory disk that survives the restart of a process. */
class Disk implements ports.Disk {
  private readonly files = new Map<string, Buffer>();

  constructor(private readonly time: virtualTime.VirtualTime) {}

  read(file: string): Uint8Array | undefined {
    return this.files.get(file);
  }

  append(file: string, bytes: Uint8Array): void {
    this.files.set(file, Buffer.concat([this.files.get(file) ?? Buffer.alloc(0), bytes]));
  }

  sync(_file: string, done: () => void): void {
    this.time.after(LATENCY, done);
  }

  replace(file: string, bytes: Uint8Array, done: () => void): void {
    this.files.set(file, Buffer.from(bytes));
    this.time.after(LATENCY, done);
  }
}

/** Simulated process; once killed, it neither sends nor receives messages. */
export interface SimulatedProcess {
  readonly address: string;
  readonly handlers: Map<string, ports.PeerHandler>;
  isRunning: boolean;
  /** Work that waits for the end of a pause, in the order of its arrival; undefined unless paused. */
  held: (() => void)[] | undefined;
}

/** Receives each message that a process handles, and each result that it returns. */
export interface MessageObserver {
  readonly onRequest: (method: string, parameters: unknown) => void;
  readonly onResult: (
    from: string,
    to: string,
    method: string,
    result: results.Result<unknown, failures.Failure>,
  ) => void;
}

/** Processes by address, and the network between them. */
export class SimulatedProcesses {
  /** Pairs of addresses that cannot reach each other, each sorted and joined by a space. */
  private readonly partitions = new Set<string>();
  /** Additional delays of messages, by sender and receiver, joined by a space. */
  private readonly delays = new Map<string, ports.Milliseconds>();
  private readonly processes = new Map<string, SimulatedProcess>();
  private readonly disks = new Map<string, Disk>();
  /** Incoming links of processes, by address; other processes receive messages without delay. */
  private readonly links = new Map<string, sharedLink.SharedLink>();

  constructor(
    private readonly time: virtualTime.VirtualTime,
    private readonly observer: MessageObserver,
  ) {}

  /** Starts a process; one that already runs at the address is replaced. */
  start(address: string): SimulatedProcess {
    const started: SimulatedProcess = { address, handlers: new Map(), isRunning: true, held: undefined };
    this.processes.set(address, started);
    return started;
  }

  /** The process that was started last at an address. */
  find(address: string): SimulatedProcess | undefined {
    return this.processes.get(address);
  }

  isRunning(address: string): boolean {
    return this.processes.get(address)?.isRunning === true;
  }

  kill(address: string): void {
    const found = this.processes.get(address);
    if (found !== undefined) {
      found.isRunning = false;
    }
  }

  /** Stops a process as SIGSTOP does: what arrives for it, and its timers, wait until it is resumed. */
  pause(address: string): void {
    const found = this.processes.get(address);
    if (found !== undefined) {
      found.held ??= [];
    }
  }

  /** Ends a pause and runs what has waited. */
  resume(address: string): void {
    const found = this.processes.get(address);
    const held = found?.held ?? [];
    if (found !== undefined) {
      found.held = undefined;
    }
    for (const run of held) {
      run();
    }
  }

  /** Runs something in a process: at the end of its pause if it is paused, never if it has been killed. */
  runIn(target: SimulatedProcess, run: () => void): void {
    if (!target.isRunning) {
      return;
    }
    if (target.held === undefined) {
      run();
      return;
    }
    target.held.push(() => {
      this.runIn(target, run);
    });
  }

  /** Disk of the process at an address; it survives restarts. */
  diskOf(address: string): ports.Disk {
    const disk = this.disks.get(address) ?? new Disk(this.time);
    this.disks.set(address, disk);
    return disk;
  }

  loseDisk(address: string): void {
    this.kill(address);
    this.disks.delete(address);
  }

  partition(one: string, other: string): void {
    this.partitions.add([one, other].sort().join(' '));
  }

  heal(): void {
    this.partitions.clear();
  }

  private isPartitioned(one: string, other: string): boolean {
    return this.partitions.has([one, other].sort().join(' '));
  }

  /** Delays what one process sends to another from now on, as a link does that is silent and heals. */
  delay(from: string, to: string, delay: ports.Milliseconds): void {
    this.delays.set(`${from} ${to}`, delay);
  }

  /** Limits the incoming link of a process, which competing streams share. */
  limitLink(address: string, bytesPerSecond: number, competingStreams: number): void {
    this.links.set(address, new sharedLink.SharedLink(this.time, bytesPerSecond, competingStreams));
  }

  /** Bytes that a process with a limited link has received. */
  bytesReceivedBy(address: string): number {
    return this.links.get(address)?.bytesReceived ?? 0;
  }

  /** Timers of a process. */
  schedulerOf(owner: SimulatedProcess): ports.Scheduler {
    return {
      after: (delay, run) => {
        let isCancelled = false;
        const cancel = this.time.after(delay, () => {
          this.runIn(owner, () => {
            if (!isCancelled) {
              run();
            }
          });
        });
        return () => {
          isCancelled = true;
          cancel();
        };
      },
    };
  }

  /** Transport of a process. */
  transportOf(owner: SimulatedProcess): ports.PeerTransport {
    const deliver = (address: string, method: string, parameters: unknown, reply: ports.Reply): void => {
      const delay = this.delays.get(`${owner.address} ${address}`) ?? 0;
      this.time.after(LATENCY + delay, () => {
        const receiver = this.processes.get(address);
        if (receiver === undefined || !owner.isRunning || this.isPartitioned(owner.address, address)) {
          return;
        }
        this.runIn(receiver, () => {
          this.handle(owner, receiver, method, parameters, reply);
        });
      });
    };
    return {
      request: (address, method, parameters, timeout, done) => {
        let open = true;
        const finish: ports.Reply = (result) => {
          this.runIn(owner, () => {
            if (open) {
              open = false;
              done(result);
            }
          });
        };
        this.time.after(timeout, () => {
          finish(
            results.Err(failures.create('timeout', 'The peer did not answer in time.', 'Retry the request.')),
          );
        });
        deliver(address, method, parameters ?? null, finish);
      },
      notify: (address, method, parameters) => {
        deliver(address, method, parameters, () => undefined);
      },
      serve: (method, handler) => {
        owner.handlers.set(method, handler);
      },
      bytesReceived: () => this.bytesReceivedBy(owner.address),
    };
  }

  private handle(
    sender: SimulatedProcess,
    receiver: SimulatedProcess,
    method: string,
    parameters: unknown,
    reply: ports.Reply,
  ): void {
    this.observer.onRequest(method, parameters);
    // Serialized like on the wire, so that processes share no objects.
    receiver.handlers.get(method)?.(JSON.parse(JSON.stringify(parameters)), (result) => {
      this.observer.onResult(receiver.address, sender.address, method, result);
      this.transmit(receiver.address, sender.address, result, () => {
        if (sender.isRunning && receiver.isRunning && !this.isPartitioned(sender.address, receiver.address)) {
          reply(result);
        }
      });
    });
  }

  /** Calls back when a message has arrived over the incoming link of its receiver. */
  private transmit(from: string, to: string, message: unknown, delivered: () => void): void {
    const link = this.links.get(to);
    this.time.after(LATENCY, () => {
      if (link === undefined) {
        delivered();
      } else {
        link.send(from, JSON.stringify(message).length, delivered);
      }
    });
  }
}
