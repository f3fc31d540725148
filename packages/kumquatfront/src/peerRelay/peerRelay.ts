/**
 * Upstreams over the connections of this entry, or through another entry while this one is cut off from them.
 *
 * The wrapped port makes one attempt of each send, wherever it goes: limits, budgets and quarantine above it count
 * as if there were one entry.
 */
import type * as instanceView from '../instances/instanceView.js';
import type * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import type * as results from '../kernel/results.js';
import type * as timerService from '../kernel/timerService.js';
import * as successiveExchanges from '../relay/successiveExchanges.js';
import type * as relayTypes from '../relay/types.js';
import * as messages from './messages.js';
import * as peerList from './peerList.js';
import * as relayedExchange from './relayedExchange.js';
import * as upstreamPaths from './upstreamPaths.js';
import * as witnesses from './witnesses.js';

/** Time within which the memory of a generation is copied through a peer. */
const COPY_TIMEOUT: ports.Milliseconds = 3_000;

/** Dependencies of {@link PeerRelay}. */
export interface PeerRelayOptions {
  readonly timers: timerService.TimerService;
  readonly random: ports.Random;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
  readonly peers: ports.PeerTransport;
  /** Name of this entry. */
  readonly entry: string;
  readonly dataCentre: string;
  /** Upstreams over the connections of this entry. */
  readonly upstreams: relayTypes.UpstreamPort;
  readonly instances: instanceView.InstanceView;
  /** Peer addresses of the control replicas. */
  readonly replicas: () => readonly string[];
  /** Number of entries that control knows; 0 if unknown. */
  readonly entryCount: () => number;
  readonly onCutOffChanged: () => void;
}

/** Relays through other entries; see the module comment. */
export class PeerRelay {
  /** The wrapped port. */
  readonly upstreams: relayTypes.UpstreamPort;
  private readonly options: PeerRelayOptions;
  private readonly paths: upstreamPaths.UpstreamPaths;
  private readonly list: peerList.PeerList;
  private readonly witnesses: witnesses.Witnesses;

  constructor(options: PeerRelayOptions) {
    this.options = options;
    const { upstreams: direct, instances } = options;
    this.paths = new upstreamPaths.UpstreamPaths({
      ...options,
      check: direct.check,
      instances: () => instances.ready(),
    });
    this.list = new peerList.PeerList(options);
    this.witnesses = new witnesses.Witnesses({
      ...options,
      peerList: this.list,
      check: direct.check,
      instances: () => instances.ready(),
      onAccepted: (address) => {
        this.onAcceptedByPeer(address);
      },
    });
    this.upstreams = {
      send: (call, listener) => this.send(call, listener),
      check: (address, done) => {
        this.witnesses.check(address, done);
      },
      copyMemory: (source, target, request, stop, done) => {
        if (this.paths.isCut(source)) {
          this.copyThroughPeer({ source, target, request, stop }, done);
        } else {
          direct.copyMemory(source, target, request, stop, done);
        }
      },
      releaseCopy: direct.releaseCopy,
      ...(direct.readStartTime !== undefined && { readStartTime: direct.readStartTime }),
    };
  }

  /** True while this entry takes itself to reach no upstream. */
  get isCutOff(): boolean {
    return this.paths.isCutOff;
  }

  /** The upstreams over the connections of this entry only, for requests of other entries. */
  get direct(): relayTypes.UpstreamPort {
    const { upstreams: direct } = this.options;
    return {
      ...direct,
      send: (call, listener) => {
        const startedAt = this.options.timers.now();
        return direct.send(call, {
          ...this.observed(listener, startedAt),
          failed: (failure, reason) => {
            if (failure === 'notSent') {
              this.paths.recordUnreached(call.instance);
            }
            listener.failed(failure, reason);
          },
        });
      },
    };
  }

  /** Finds some other entries. */
  findEntries(count: number, done: (addresses: readonly string[]) => void): void {
    this.list.sample(count, (sampled) => {
      done(sampled.map(({ address }) => address));
    });
  }

  /** Discards the state of an upstream that was removed or has restarted. */
  removeUpstream(identity: string): void {
    this.paths.removeUpstream(identity);
  }

  private onAcceptedByPeer(address: string): void {
    const found = this.options.instances.ready().find((instance) => instance.address === address);
    if (found !== undefined) {
      this.paths.recordReachedByPeer(found.identity);
    }
  }

  /** Observes that an upstream answers on a connection of this entry. */
  private observed(
    listener: relayTypes.ExchangeListener,
    startedAt: ports.Milliseconds,
  ): relayTypes.ExchangeListener {
    return {
      ...listener,
      head: (head) => {
        this.paths.recordReached(startedAt);
        listener.head(head);
      },
    };
  }

  private send(
    call: relayTypes.UpstreamCall,
    listener: relayTypes.ExchangeListener,
  ): relayTypes.UpstreamExchange {
    const startedAt = this.options.timers.now();
    if (this.paths.isCut(call.instance)) {
      return this.relay(call, listener, startedAt);
    }
    const exchanges = new successiveExchanges.SuccessiveExchanges();
    const direct = this.options.upstreams.send(call, {
      ...this.observed(listener, startedAt),
      failed: (failure, reason) => {
        if (failure === 'notSent' && this.mayRelay(call, startedAt)) {
          exchanges.set(this.relay(call, listener, startedAt));
        } else {
          listener.failed(failure, reason);
        }
      },
    });
    exchanges.set(direct);
    return exchanges;
  }

  /**
   * Records that this entry could not connect, and decides whether the request goes to a peer at once. Where connecting
   * took long, another upstream is tried first: most likely this one is down.
   */
  private mayRelay({ instance }: relayTypes.UpstreamCall, startedAt: ports.Milliseconds): boolean {
    this.paths.recordUnreached(instance);
    const wasQuick = this.options.timers.now() - startedAt < relayedExchange.QUICK_FAILURE;
    if (wasQuick || this.paths.isCut(instance)) {
      return true;
    }
    this.witnesses.askAbout(instance.address, () => undefined);
    return false;
  }

  private relay(
    call: relayTypes.UpstreamCall,
    listener: relayTypes.ExchangeListener,
    startedAt: ports.Milliseconds,
  ): relayTypes.UpstreamExchange {
    const exchange = new relayedExchange.RelayedExchange(
      {
        ...this.options,
        peerList: this.list,
        onReached: (identity) => {
          this.paths.recordReachedByPeer(identity);
        },
      },
      call,
      listener,
      startedAt,
    );
    exchange.start();
    return exchange;
  }

  private copyThroughPeer(
    copy: {
      readonly source: instanceView.Instance;
      readonly target: instanceView.Instance;
      readonly request: string;
      readonly stop: boolean;
    },
    done: (result: relayTypes.CopyResult) => void,
  ): void {
    const { timers, peers } = this.options;
    this.list.choose(
      () => true,
      (chosen) => {
        if (chosen === undefined) {
          done({ state: 'failed', reason: 'no other entry can relay the copy' });
          return;
        }
        const now = timers.now();
        const request: messages.CopyRequest = {
          source: messages.encodeInstance(copy.source, now),
          target: messages.encodeInstance(copy.target, now),
          request: copy.request,
          stop: copy.stop,
        };
        const onResult = (result: results.Result<unknown, failures.Failure>): void => {
          done(
            result.ok
              ? (result.val as relayTypes.CopyResult)
              : { state: 'failed', reason: result.val.message },
          );
        };
        peers.request(chosen.address, messages.methods.copy, request, COPY_TIMEOUT, onResult);
      },
    );
  }
}
