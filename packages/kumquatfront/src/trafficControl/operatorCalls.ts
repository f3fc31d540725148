/**
 * Operator calls: replace or read the traffic configuration, evacuate or restore a data centre. Any replica accepts a
 * call and forwards it to the leader, which commits a change on a quorum before it is acknowledged.
 */
import type * as agreedState from '../agreedState/agreedState.js';
import * as evacuationFailures from '../agreedState/evacuationFailures.js';
import type * as agreedTypes from '../agreedState/types.js';
import type * as replica from '../consensus/replica.js';
import * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import type * as timerService from '../kernel/timerService.js';
import type * as callerCheck from '../operatorOrders/callerCheck.js';
import * as dataCentreOrders from '../operatorOrders/dataCentreOrders.js';
import type * as operatorOrders from '../operatorOrders/types.js';
import * as trafficValidation from '../traffic/trafficValidation.js';
import type * as trafficTypes from '../traffic/types.js';
import * as methods from './methods.js';

/** Settings, dependencies and callbacks of {@link OperatorCalls}. */
export interface OperatorCallsOptions {
  readonly replica: replica.Replica;
  readonly state: agreedState.AgreedState;
  readonly peers: ports.PeerTransport;
  readonly timers: timerService.TimerService;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
  readonly callerCheck: callerCheck.CallerCheck;
  readonly peerAddress: string;
  readonly decode: trafficTypes.DecodeTraffic;
  /** Minimum number of voters before a change is accepted. */
  readonly minimumVoters: number;
  /** Number of voters that the tolerated losses require; the minimum while more replicas are about to join. */
  readonly requiredVoters: number;
  /** True if a replica is about to become a voter. */
  readonly hasPendingVoter: () => boolean;
  /** Names of all data centres; if empty, any name is accepted for an evacuation. */
  readonly dataCentres: readonly string[];
  /** Called when a change proposed at this replica has been committed or rejected. */
  readonly onChangeSettled: () => void;
}

/** Timeout of a call forwarded to the leader, in addition to the time that its size takes. */
const FORWARD_TIMEOUT: ports.Milliseconds = 900;

/** Characters per millisecond at which a call is forwarded, replicated and answered at least. */
const MINIMUM_FORWARD_RATE = 1_000;

/** Executes operator calls at the leader, or forwards them to it. */
export class OperatorCalls {
  private readonly options: OperatorCallsOptions;
  /** Callers that wait for a version that this replica has proposed as leader, by version. */
  private readonly proposed = new Map<number, ports.Reply[]>();
  private readonly dataCentreOrders: dataCentreOrders.DataCentreOrders;

  constructor(options: OperatorCallsOptions) {
    this.options = options;
    const { callerCheck: check, log, metrics, timers } = options;
    this.dataCentreOrders = new dataCentreOrders.DataCentreOrders({
      ...{ check, log, metrics },
      now: () => timers.now(),
      submit: (command, done) => {
        this.submitDataCentreCommand(command, done);
      },
    });
  }

  /** Registers the RPC handlers for calls that other replicas forward to the leader. */
  serve(): void {
    const { peers } = this.options;
    const { methods: names } = methods;
    peers.serve(names.replace, (parameters, reply) => {
      this.proposeTraffic(parameters as trafficTypes.VersionedText, reply);
    });
    peers.serve(names.evacuate, (parameters, reply) => {
      this.proposeDataCentreCommand(parameters as agreedTypes.DataCentreCommand, reply);
    });
    peers.serve(names.read, (_parameters, reply) => {
      this.readLocally(reply);
    });
  }

  /** Replaces the configuration: validated at this replica, committed by the leader before it is acknowledged. */
  replace(text: string, done: ports.Reply): void {
    const { log, decode, timers } = this.options;
    const receivedAt = timers.now();
    const checked = trafficValidation
      .checkSize(text)
      .andThen(() => decode(text))
      .andThen((configuration) => trafficValidation.check(configuration));
    if (checked.err) {
      log.info('trafficRefused', { reason: failures.describe(checked.val) });
      done(results.Err(checked.val));
      return;
    }
    const proposal: trafficTypes.VersionedText = { version: checked.val.version, text };
    const settle: ports.Reply = (result) => {
      const milliseconds = Math.round(timers.now() - receivedAt);
      const size = { characters: text.length, milliseconds };
      log.info('trafficSent', { version: proposal.version, outcome: outcomeOf(result), ...size });
      done(result);
    };
    this.runAtLeader(
      () => {
        this.proposeTraffic(proposal, settle);
      },
      methods.methods.replace,
      proposal,
      settle,
      FORWARD_TIMEOUT + text.length / MINIMUM_FORWARD_RATE,
    );
  }

  /** Evacuates or restores a data centre while the caller waits; a repeated call is acknowledged again. */
  evacuateOrRestore(
    ordered: dataCentreOrders.DataCentreOrder,
    caller: operatorOrders.OrderCaller,
    done: ports.Reply,
  ): void {
    const { log, dataCentres, timers } = this.options;
    const { type: order, dataCentre } = ordered;
    const receivedAt = timers.now();
    if (dataCentre === '' || (dataCentres.length > 0 && !dataCentres.includes(dataCentre))) {
      const failure = evacuationFailures.unknownDataCentre(dataCentre, dataCentres);
      log.info('dataCentreOrderRefused', { order, dataCentre, reason: failures.describe(failure) });
      done(results.Err(failure));
      return;
    }
    const settle: ports.Reply = (result) => {
      const milliseconds = Math.round(timers.now() - receivedAt);
      const { knownIndex, connection } = caller;
      const fields = {
        order,
        dataCentre,
        outcome: outcomeOf(result),
        milliseconds,
        knownIndex,
        ...connection,
      };
      log.info('dataCentreOrdered', fields);
      done(result);
    };
    this.dataCentreOrders.execute(ordered, caller, settle);
  }

  private submitDataCentreCommand(command: agreedTypes.DataCentreCommand, done: ports.Reply): void {
    this.runAtLeader(
      () => {
        this.proposeDataCentreCommand(command, done);
      },
      methods.methods.evacuate,
      command,
      done,
    );
  }

  private proposeDataCentreCommand(command: agreedTypes.DataCentreCommand, done: ports.Reply): void {
    const append = this.proposeLocally.bind(this);
    dataCentreOrders.propose(command, this.options.state, append, done);
  }

  /** Reads the newest configuration; fails if a quorum does not confirm that it is the newest. */
  read(done: (result: results.Result<trafficTypes.VersionedText | null, failures.Failure>) => void): void {
    const settle: ports.Reply = (result) => {
      done(result.map((value) => value as trafficTypes.VersionedText | null));
    };
    this.runAtLeader(
      () => {
        this.readLocally(settle);
      },
      methods.methods.read,
      null,
      settle,
    );
  }

  /** Runs a call at this replica if it leads, and otherwise forwards it to the leader by an RPC method. */
  private runAtLeader(
    runLocally: () => void,
    method: string,
    parameters: unknown,
    done: ports.Reply,
    timeout: ports.Milliseconds = FORWARD_TIMEOUT,
  ): void {
    const { replica: own, peers, peerAddress } = this.options;
    if (own.mayLead()) {
      runLocally();
      return;
    }
    const leader = own.leader();
    if (leader === undefined || leader.address === peerAddress) {
      const remedy = 'Ask again in a second, or ask another replica.';
      done(results.Err(failures.create('noQuorum', 'No leader is known.', remedy)));
      return;
    }
    peers.request(leader.address, method, parameters, timeout, done);
  }

  /**
   * Proposes a configuration unless it is committed or under way: an operator without an answer sends it again, and each
   * copy would be replicated in full.
   */
  private proposeTraffic({ version, text }: trafficTypes.VersionedText, done: ports.Reply): void {
    const { state } = this.options;
    if (version <= (state.traffic?.version ?? 0)) {
      done(results.Ok({ version: state.traffic?.version ?? 0 } satisfies agreedTypes.ReplaceTrafficAnswer));
      return;
    }
    const waiting = this.proposed.get(version);
    if (waiting !== undefined) {
      waiting.push(done);
      return;
    }
    const callers = [done];
    this.proposed.set(version, callers);
    this.proposeLocally({ type: 'replaceTraffic', version, text }, (result) => {
      this.proposed.delete(version);
      for (const caller of callers) {
        caller(result);
      }
    });
  }

  private proposeLocally(command: agreedTypes.Command, done: ports.Reply): void {
    const { replica: own, minimumVoters, requiredVoters, hasPendingVoter, onChangeSettled } = this.options;
    const voters = own.status().members.filter((member) => member.role === 'voter').length;
    // Right after bootstrap too few replicas hold the log to survive the tolerated losses, so a change committed then
    // could be lost. While replicas are joining, wait for all that the tolerated losses require.
    const needed = hasPendingVoter() ? requiredVoters : minimumVoters;
    if (voters < needed) {
      const remedy = 'Retry in a second.';
      const message = `Only ${voters} of the ${needed} required voters have joined.`;
      done(results.Err(failures.create('noQuorum', message, remedy)));
      return;
    }
    own.propose(command, (result) => {
      done(result);
      onChangeSettled();
    });
  }

  private readLocally(done: ports.Reply): void {
    const { replica: own, state } = this.options;
    own.confirmRead((confirmed) => {
      done(confirmed.map(() => state.traffic ?? null));
    });
  }
}

function outcomeOf(result: results.Result<unknown, failures.Failure>): string {
  return result.ok ? 'acknowledged' : failures.describe(result.val);
}
