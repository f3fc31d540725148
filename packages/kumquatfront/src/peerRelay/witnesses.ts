/**
 * Distinguishes an upstream that has crashed from one that only this entry does not reach: an address that refuses connections
 * counts as crashed if other entries, which reach some other upstream at that time, are refused as well.
 */
import type * as instanceView from '../instances/instanceView.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import type * as timerService from '../kernel/timerService.js';
import type * as relayTypes from '../relay/types.js';
import * as messages from './messages.js';
import type * as peerList from './peerList.js';

/** Entries that are asked; any of them that is accepted shows that the upstream runs. */
const WITNESSES = 3;

/** Time for an answer; longer than two connection attempts that are refused or accepted. */
const ANSWER_TIMEOUT: ports.Milliseconds = 150;

/** Dependencies of {@link Witnesses}. */
export interface WitnessesOptions {
  readonly timers: timerService.TimerService;
  readonly random: ports.Random;
  readonly log: ports.Log;
  readonly peers: ports.PeerTransport;
  readonly peerList: peerList.PeerList;
  /** Tries to connect to an address from this entry. */
  readonly check: relayTypes.UpstreamPort['check'];
  /** All upstreams that take requests. */
  readonly instances: () => readonly instanceView.Instance[];
  /** Number of entries that control knows; 0 if unknown. */
  readonly entryCount: () => number;
  /** Called when another entry is accepted by an address that this entry asked about. */
  readonly onAccepted: (address: string) => void;
}

type ReceiveResult = (result: relayTypes.ConnectionCheckResult) => void;

/** Connection checks that other entries confirm; see the module comment. */
export class Witnesses {
  private readonly options: WitnessesOptions;
  /** Questions that are open at other entries, by address. */
  private readonly asking = new Map<string, ReceiveResult[]>();
  /** Checks for other entries that are running, by address. */
  private readonly witnessing = new Map<string, ReceiveResult[]>();

  constructor(options: WitnessesOptions) {
    this.options = options;
    options.peers.serve(messages.methods.check, (parameters, reply) => {
      this.witness((parameters as messages.CheckRequest).address, (result) => {
        reply(results.Ok({ result } satisfies messages.CheckAnswer));
      });
    });
  }

  /** Checks an address; it is `refused` only if other entries confirm it, or there are none. */
  check(address: string, done: ReceiveResult): void {
    this.options.check(address, (result) => {
      if (result !== 'refused' || this.options.entryCount() === 1) {
        done(result);
      } else {
        this.askAbout(address, done);
      }
    });
  }

  /** Asks other entries whether an address accepts connections. */
  askAbout(address: string, done: ReceiveResult): void {
    const waiting = this.asking.get(address);
    if (waiting !== undefined) {
      waiting.push(done);
      return;
    }
    this.asking.set(address, [done]);
    this.options.peerList.sample(WITNESSES, (peers) => {
      this.ask(address, peers, (result) => {
        this.options.log.info('upstreamChecked', { address, result, witnesses: peers.length });
        if (result === 'accepted') {
          this.options.onAccepted(address);
        }
        const callbacks = this.asking.get(address) ?? [];
        this.asking.delete(address);
        for (const callback of callbacks) {
          // The upstream runs, but this entry has not observed it.
          callback(result === 'accepted' ? 'unknown' : result);
        }
      });
    });
  }

  private ask(address: string, peers: readonly messages.Peer[], done: ReceiveResult): void {
    const answers: relayTypes.ConnectionCheckResult[] = [];
    let isDone = false;
    const finish = (result: relayTypes.ConnectionCheckResult): void => {
      if (!isDone) {
        isDone = true;
        done(result);
      }
    };
    if (peers.length === 0) {
      finish('unknown');
    }
    for (const peer of peers) {
      const request: messages.CheckRequest = { address };
      this.options.peers.request(peer.address, messages.methods.check, request, ANSWER_TIMEOUT, (answer) => {
        const result = answer.ok ? (answer.val as messages.CheckAnswer).result : 'unknown';
        answers.push(result);
        if (result === 'accepted') {
          finish('accepted');
        } else if (answers.length === peers.length) {
          finish(answers.includes('refused') ? 'refused' : 'unknown');
        }
      });
    }
  }

  /** Checks an address for another entry. A refusal counts only if this entry reaches another upstream meanwhile. */
  private witness(address: string, done: ReceiveResult): void {
    const waiting = this.witnessing.get(address);
    if (waiting !== undefined) {
      waiting.push(done);
      return;
    }
    this.witnessing.set(address, [done]);
    let result: relayTypes.ConnectionCheckResult | undefined;
    let reachesAnother: boolean | undefined;
    const settle = (): void => {
      const verdict = result === 'refused' && reachesAnother === false ? 'unknown' : result;
      const isSettled = verdict !== undefined && (verdict !== 'refused' || reachesAnother !== undefined);
      if (!isSettled || !this.witnessing.has(address)) {
        return;
      }
      const callbacks = this.witnessing.get(address) ?? [];
      this.witnessing.delete(address);
      for (const callback of callbacks) {
        callback(verdict);
      }
    };
    this.options.check(address, (checked) => {
      result = checked;
      settle();
    });
    this.checkAnother(address, (isReached) => {
      reachesAnother = isReached;
      settle();
    });
  }

  private checkAnother(address: string, done: (isReached: boolean) => void): void {
    const { instances, random, check } = this.options;
    const others = instances().filter((instance) => instance.address !== address);
    const chosen = others[Math.floor(random.next() * others.length)];
    if (chosen === undefined) {
      done(false);
      return;
    }
    check(chosen.address, (result) => {
      done(result === 'accepted');
    });
  }
}
