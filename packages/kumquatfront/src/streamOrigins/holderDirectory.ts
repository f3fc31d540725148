/**
 * The list of all entries, as control last sent it. It outlives the loss of control.
 */
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import * as rendezvousHashing from '../utils/rendezvousHashing.js';
import * as messages from './messages.js';
import type * as originHolders from './originHolders.js';

/** Interval at which the list is renewed, and before the first one. */
const REFRESH_INTERVAL: ports.Milliseconds = 3_000;
const FIRST_REFRESH_INTERVAL: ports.Milliseconds = 250;

const TIMEOUT: ports.Milliseconds = 500;

/** Dependencies of {@link HolderDirectory}. */
export interface HolderDirectoryOptions {
  readonly timers: timerService.TimerService;
  readonly random: ports.Random;
  readonly peers: ports.PeerTransport;
  /** Peer address of this entry. */
  readonly peerAddress: string;
  /** Peer addresses of the control replicas. */
  readonly replicas: () => readonly string[];
  /** Called when entries were added or removed, with the candidates before. */
  readonly onEntriesChanged: (previous: originHolders.HolderCandidates) => void;
}

/** Processes that may hold origins; see the module comment. */
export class HolderDirectory {
  private readonly options: HolderDirectoryOptions;
  private entries: readonly string[] = [];
  private digest = 0;

  constructor(options: HolderDirectoryOptions) {
    this.options = options;
    const { timers, random } = options;
    timers.every(
      () => (this.digest === 0 ? FIRST_REFRESH_INTERVAL : REFRESH_INTERVAL * (0.75 + random.next() / 2)),
      () => {
        this.refresh();
      },
    );
  }

  get candidates(): originHolders.HolderCandidates {
    return { replicas: this.options.replicas(), entries: this.entries };
  }

  /** True for an address of a control replica or an entry. */
  includes(address: string): boolean {
    return this.entries.includes(address) || this.options.replicas().includes(address);
  }

  private refresh(): void {
    const { random, peers, replicas, peerAddress, onEntriesChanged } = this.options;
    const known = replicas();
    const replica = known[Math.floor(random.next() * known.length)];
    if (replica === undefined) {
      return;
    }
    const request: messages.EntriesRequest = { digest: this.digest };
    peers.request(replica, messages.methods.entries, request, TIMEOUT, (result) => {
      const addresses = result.ok ? (result.val as messages.EntriesAnswer).addresses : undefined;
      if (addresses !== undefined && addresses.length > 0) {
        const previous = this.candidates;
        this.digest = rendezvousHashing.digestOf(addresses);
        this.entries = addresses.filter((address) => address !== peerAddress);
        onEntriesChanged(previous);
      }
    });
  }
}
