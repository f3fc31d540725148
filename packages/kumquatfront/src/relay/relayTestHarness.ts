/**
 * Test harness of the relay: exchanges on virtual time with upstreams that tests control.
 */
import * as seededRandom from '../adapters/seededRandom.js';
import * as rateLimitShare from '../backPressure/rateLimitShare.js';
import * as sendPolicy from '../backPressure/sendPolicy.js';
import * as signalRegistry from '../backPressure/signalRegistry.js';
import * as instanceTable from '../instances/instanceTable.js';
import * as instanceView from '../instances/instanceView.js';
import * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import * as timerService from '../kernel/timerService.js';
import * as virtualTime from '../kernel/virtualTime.js';
import type * as placementTypes from '../placement/types.js';
import * as guardedUpstreams from '../quarantine/guardedUpstreams.js';
import * as quarantine from '../quarantine/quarantine.js';
import * as originMessages from '../streamOrigins/messages.js';
import * as streamOrigins from '../streamOrigins/streamOrigins.js';
import type * as trafficTypes from '../traffic/types.js';
import * as methods from '../trafficControl/methods.js';
import * as entryShare from '../warmUp/entryShare.js';
import * as warmUpBounds from '../warmUp/warmUpBounds.js';
import type * as exchangeContext from './exchangeContext.js';
import * as localBalancer from './localBalancer.js';
import * as placementClient from './placementClient.js';
import * as plannedStop from './plannedStop.js';
import * as responseMemory from './responseMemory.js';
import * as routeDurations from './routeDurations.js';
import * as serviceRetryBudget from './serviceRetryBudget.js';
import type * as types from './types.js';

/** A call that was sent to an upstream. */
export interface SentCall {
  readonly call: types.UpstreamCall;
  readonly listener: types.ExchangeListener;
  cancelled: boolean;
  /** True while the response is not read. */
  paused: boolean;
  /** True once the rest of the response is read without a pace. */
  isReadToEnd: boolean;
}

/** A memory copy that was requested from an engine. */
export interface CopyRequest {
  readonly source: string;
  readonly target: string;
  readonly stop: boolean;
  readonly done: (result: types.CopyResult) => void;
}

/** Head of a successful response. */
export const okHead: types.ResponseHead = {
  status: 200,
  notRun: false,
  matchesRequest: true,
  signed: true,
  framing: 'chunked',
  headers: [],
};

/** Head of a response which states that the request did not run. */
export const notRunHead: types.ResponseHead = { ...okHead, status: 503, notRun: true, signed: false };

/** Encodes a stream event. */
export function streamEvent(identity: number): Uint8Array {
  return Buffer.from(`id: ${identity}\ndata: x\n\n`);
}

/** Traits of the engines in the harness. */
export const engineTraits: trafficTypes.EngineTraits = {
  slots: 24,
  memoryTokens: 30_000,
  bytesPerToken: 1,
  linkMegabitsPerSecond: 1,
  migrations: true,
  backups: true,
  tokensPerEvent: 4,
};

/** Replaces the upstreams of the harness, for instance by servers on loopback connections. */
export interface OtherUpstreams {
  readonly port: types.UpstreamPort;
  /** Address of each instance, in the order of their names. */
  readonly addresses: readonly string[];
}

/** Test harness of the relay; see the module comment. */
export class RelayTestHarness {
  readonly time = new virtualTime.VirtualTime();
  readonly timers = timerService.create(this.time.clock, this.time);
  /** Calls that were sent to upstreams, in order. */
  readonly sentCalls: SentCall[] = [];
  /** Requested memory copies, in order. */
  readonly copyRequests: CopyRequest[] = [];
  /** Handles of released memory copies. */
  readonly releasedCopies: string[] = [];
  /** Placement requests that the coordinator received, in order. */
  readonly placementRequests: placementTypes.PlacementRequest[] = [];
  /** Refusals that the caller received. */
  readonly refusals: types.Refusal[] = [];
  /** Responses and events that the caller received, in order. */
  readonly callerEvents: string[] = [];
  /** Engines that the coordinator grants, in order; it does not respond if the list is empty. */
  readonly placements: string[] = [];
  /** True while control answers no questions about origins of streams. */
  isControlLost = false;
  /** What a check of an upstream's address finds. */
  checkResult: types.ConnectionCheckResult = 'accepted';
  /** Start time that each upstream reports. */
  reportedStartTime: number | undefined;
  /** Forecast of the first event in the coordinator's answers. */
  firstEventIn: ports.Milliseconds | undefined;
  readonly context: exchangeContext.ExchangeContext;
  /** False while the caller takes nothing more. */
  callerTakesMore = true;
  /** Bytes that the connection of the caller has taken, as it reports them. */
  takenBytes = 0;
  /** Number of writes to the caller. */
  callerWrites = 0;
  private notifyCallerGone: () => void = () => undefined;
  private notifyDrain: () => void = () => undefined;
  private readonly peerHandlers = new Map<string, ports.PeerHandler>();
  private readonly table = new instanceTable.InstanceTable('e');

  constructor(instances: readonly string[], retrySlack = 100, otherUpstreams?: OtherUpstreams) {
    const { timers, time } = this;
    const random = seededRandom.create(5);
    const noop = (): void => undefined;
    const log: ports.Log = { debug: noop, info: noop, warn: noop, error: noop };
    const view = new instanceView.InstanceView(noop);
    for (const [index, identity] of instances.entries()) {
      const address = otherUpstreams?.addresses[index] ?? `10.0.0.${index + 1}:80`;
      const base = { service: 'llm', dataCentre: 'a', slots: 24, state: 'ready' as const, warmUpLeft: 0 };
      const softwareVersion = 'v1';
      this.table.applyAnnouncement(
        { ...base, identity, name: identity, born: 0, address, softwareVersion, sequence: 1 },
        time.now(),
      );
    }
    view.merge('control', this.table.updatesSince('', 0, 0), 0);
    const metrics = { count: noop, gauge: noop, timing: noop };
    const upstreams = otherUpstreams?.port ?? this.upstreams();
    const guard = new quarantine.Quarantine({
      timers,
      log,
      metrics,
      check: upstreams.check,
      isTerminating: (identity) => view.get(identity)?.state === 'leaving',
      report: noop,
      random,
      entryCount: () => 1,
      onInstanceDown: noop,
    });
    const signals = new signalRegistry.SignalRegistry({
      timers,
      log,
      metrics,
      recordTerminationNotice: (identity) => view.recordTerminationNotice(identity, time.now()),
      publishedRateLimitOf: (identity) => view.get(identity)?.rateLimit,
      publishRateLimit: noop,
    });
    const policy = new sendPolicy.SendPolicy({
      entry: 'entry',
      random,
      instances: view,
      signals,
      rateShare: new entryShare.EntryShare('entry', () => 1, rateLimitShare.RATE_WINDOW),
      coldShare: new entryShare.EntryShare('entry', () => 1, warmUpBounds.COLD_WINDOW),
      warmUpLimitOf: () => undefined,
    });
    this.context = {
      timers,
      log,
      metrics,
      quarantine: guard,
      upstreams: guardedUpstreams.create({
        upstreams,
        timers,
        quarantine: guard,
        signals,
        policy: policy,
        log,
      }),
      instances: view,
      sendPolicy: policy,
      balancer: new localBalancer.LocalBalancer({ random, dataCentre: 'a', sendPolicy: policy }),
      retryBudget: new serviceRetryBudget.ServiceRetryBudget(
        { ratio: 0.2, slack: retrySlack, window: 10_000 },
        () => 1,
        random,
      ),
      placement: new placementClient.PlacementClient({
        entry: 'entry',
        dataCentre: 'a',
        peerAddress: '10.0.1.1:1',
        peers: this.peers(),
        timers,
        random,
        log,
        coordinator: () => 'coordinator',
        instances: view,
      }),
      origins: new streamOrigins.StreamOrigins({
        ...{ timers, random: seededRandom.create(6), log, metrics },
        peers: this.peers(),
        peerAddress: '10.0.1.1:1',
        replicas: () => ['coordinator'],
      }),
      responseMemory: new responseMemory.ResponseMemory(log, metrics),
      routeDurations: new routeDurations.RouteDurations(),
      plannedStop: new plannedStop.PlannedStop(timers, log),
    };
  }

  private upstreams(): types.UpstreamPort {
    return {
      send: (call, listener) => {
        const sent: SentCall = { call, listener, cancelled: false, paused: false, isReadToEnd: false };
        this.sentCalls.push(sent);
        return {
          cancel: () => {
            sent.cancelled = true;
          },
          pause: () => {
            sent.paused = true;
          },
          resume: () => {
            sent.paused = false;
          },
          readToEnd: () => {
            sent.isReadToEnd = true;
          },
        };
      },
      check: (_address, done) => {
        done(this.checkResult);
      },
      readStartTime: (_address, done) => {
        this.context.timers.after(1, () => {
          done(this.reportedStartTime);
        });
      },
      copyMemory: (source, target, _request, stop, done) => {
        this.copyRequests.push({ source: source.identity, target: target.identity, stop, done });
      },
      releaseCopy: (copy) => {
        this.releasedCopies.push(copy.handle);
      },
    };
  }

  private peers(): ports.PeerTransport {
    return {
      request: (_address, method, parameters, _timeout, done) => {
        if (method === methods.methods.place) {
          this.placementRequests.push(parameters as placementTypes.PlacementRequest);
        }
        if (method === originMessages.methods.find) {
          const failure = failures.create('timeout', 'The process did not answer.', 'Ask again.');
          done(this.isControlLost ? results.Err(failure) : results.Ok({}));
          return;
        }
        const instance = method === methods.methods.place ? this.placements.shift() : undefined;
        if (instance !== undefined) {
          const { firstEventIn } = this;
          const answer: placementTypes.PlacementAnswer = {
            ...{ state: 'placed', instance },
            ...(firstEventIn !== undefined && { firstEventIn }),
          };
          done(results.Ok(answer));
        }
      },
      notify: () => undefined,
      serve: (method, handler) => {
        this.peerHandlers.set(method, handler);
      },
    };
  }

  /** Sends the coordinator's move command to the entry; `outcome` is set when the move ends. */
  move(source: string, target: string): { outcome: unknown } {
    const holder: { outcome: unknown } = { outcome: undefined };
    const command: placementTypes.MoveCommand = { identity: 'r', source, target };
    this.peerHandlers.get(methods.methods.move)?.(command, (result) => {
      holder.outcome = result.ok ? result.val : 'error';
    });
    return holder;
  }

  /** Publishes the termination notice of an instance. */
  sendTerminationNotice(identity: string): void {
    const { revision } = this.table.updatesSince('e', 0, this.time.now());
    this.table.markDraining(identity, this.time.now());
    this.context.instances.merge(
      'control',
      this.table.updatesSince('e', revision, this.time.now()),
      this.time.now(),
    );
  }

  /** Simulates a caller that disconnects. */
  disconnectCaller(): void {
    this.notifyCallerGone();
  }

  /** Lets the caller take what waits, and more. */
  drainCaller(): void {
    this.callerTakesMore = true;
    this.notifyDrain();
  }

  /** Creates a routed request whose caller records what it receives. */
  createRoutedRequest(
    kind: trafficTypes.CallKind,
    changes: Partial<trafficTypes.Route> = {},
  ): exchangeContext.RoutedRequest {
    const { callerEvents } = this;
    return {
      request: {
        identity: 'r',
        host: 'h',
        path: '/',
        method: 'POST',
        headers: [],
        body: new Uint8Array(),
        arrivedAt: this.time.now(),
        generation: { promptTokens: 3_000, outputLimit: 2_000, lengthHint: 500, prompt: 'p:100' },
      },
      caller: {
        refuse: (refusal) => {
          callerEvents.push(`refused ${refusal.reason}`);
          this.refusals.push(refusal);
        },
        respond: (head, body) => {
          callerEvents.push(`whole ${head.status} ${Buffer.from(body).toString()}`);
        },
        begin: () => {
          callerEvents.push('begin');
        },
        write: (bytes) => {
          this.callerWrites += 1;
          const identities = [
            ...Buffer.from(bytes)
              .toString()
              .matchAll(/id: (\d+)/g),
          ];
          callerEvents.push(
            ...(identities.length === 0 ? ['bytes'] : identities.map(([, text = '']) => text)),
          );
          return this.callerTakesMore;
        },
        onDrain: (callback) => {
          this.notifyDrain = callback;
        },
        takenBytes: () => this.takenBytes,
        end: () => {
          callerEvents.push('end');
        },
        abort: () => {
          callerEvents.push('abort');
        },
        onDisconnect: (callback) => {
          this.notifyCallerGone = callback;
        },
      },
      route: {
        name: 'route',
        host: 'h',
        pathPrefix: '/',
        kind,
        timeout: 10_000,
        objective: 100,
        priority: 1,
        targets: [],
        maximumAttempts: 2,
        anonymous: true,
        resumable: false,
        longestPause: 180,
        ...changes,
      },
      service: { name: 'llm', maximumConnections: 10, engine: kind === 'stream' ? engineTraits : undefined },
      upstreamPriority: 1,
      deadline: this.time.now() + 10_000,
      version: 1,
    };
  }
}
