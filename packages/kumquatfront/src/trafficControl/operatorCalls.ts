/**
 * What operators ask of control: to replace the configuration, to read it, to evacuate a data centre and to restore
 * it. Any replica takes a call; the leader has it committed on a quorum before it is acknowledged.
 */
import type * as agreedState from '../agreedState/agreedState.js';
import * as evacuationFailures from '../agreedState/evacuationFailures.js';
import type * as agreedTypes from '../agreedState/types.js';
import type * as replica from '../consensus/replica.js';
import * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import * as trafficValidation from '../traffic/trafficValidation.js';
import type * as trafficTypes from '../traffic/types.js';
import * as methods from './methods.js';

/** What the calls are made from. */
export interface OperatorCallsOptions {
  readonly replica: replica.Replica;
  readonly state: agreedState.AgreedState;
  readonly peers: ports.PeerTransport;
  readonly log: ports.Log;
  readonly peerAddress: string;
  readonly decode: trafficTypes.DecodeTraffic;
  /** Voters that must stand before the first change is taken. */
  readonly leastVoters: number;
  /** Voters that must stand where others are about to join. */
  readonly wantedVoters: number;
  /** True where a replica is about to become a voter. */
  readonly isGathering: () => boolean;
  /** Names of all data centres; empty where the settings name none, and any may be evacuated. */
  readonly dataCentres: readonly string[];
  /** Called once a change that was proposed here is settled. */
  readonly changed: () => void;
}

/** How long a change may take before its operator is told to ask again: inside a caller's second. */
const FORWARD_TIMEOUT: ports.Milliseconds = 900;

/** The calls; see the module comment. */
export class OperatorCalls {
  private readonly options: OperatorCallsOptions;

  constructor(options: OperatorCallsOptions) {
    this.options = options;
  }

  /** Serves calls that other replicas pass on to the leader. */
  serve(): void {
    const { peers } = this.options;
    const { methods: names } = methods;
    peers.serve(names.replace, (parameters, reply) => {
      const proposal = parameters as trafficTypes.VersionedText;
      this.proposeHere({ type: 'replaceTraffic', ...proposal }, reply);
    });
    peers.serve(names.evacuate, (parameters, reply) => {
      this.proposeHere(parameters as agreedTypes.DataCentreCommand, reply);
    });
    peers.serve(names.read, (_parameters, reply) => {
      this.readHere(reply);
    });
  }

  /** Takes a whole configuration: checked here, committed by the leader before it is acknowledged. */
  replace(text: string, done: ports.Reply): void {
    const { log, decode } = this.options;
    const checked = decode(text).andThen((configuration) => trafficValidation.check(configuration));
    if (checked.err) {
      log.info('trafficRefused', { reason: failures.describe(checked.val) });
      done(results.Err(checked.val));
      return;
    }
    const proposal: trafficTypes.VersionedText = { version: checked.val.version, text };
    const settle: ports.Reply = (result) => {
      log.info('trafficSent', { version: proposal.version, outcome: outcomeOf(result) });
      done(result);
    };
    this.atLeader(
      () => {
        this.proposeHere({ type: 'replaceTraffic', ...proposal }, settle);
      },
      methods.methods.replace,
      proposal,
      settle,
    );
  }

  /** Evacuates a data centre, or restores it; acknowledged again where that has been done before. */
  orderDataCentre(command: agreedTypes.DataCentreCommand, done: ports.Reply): void {
    const { log, dataCentres } = this.options;
    const { type: order, dataCentre } = command;
    if (dataCentre === '' || (dataCentres.length > 0 && !dataCentres.includes(dataCentre))) {
      const failure = evacuationFailures.unknownDataCentre(dataCentre, dataCentres);
      log.info('dataCentreOrderRefused', { order, dataCentre, reason: failures.describe(failure) });
      done(results.Err(failure));
      return;
    }
    const settle: ports.Reply = (result) => {
      log.info('dataCentreOrdered', { order, dataCentre, outcome: outcomeOf(result) });
      done(result);
    };
    this.atLeader(
      () => {
        this.proposeHere(command, settle);
      },
      methods.methods.evacuate,
      command,
      settle,
    );
  }

  /** Reads the newest configuration; a failure where this cannot be certain. */
  read(done: (result: results.Result<trafficTypes.VersionedText | null, failures.Failure>) => void): void {
    const settle: ports.Reply = (result) => {
      done(result.map((value) => value as trafficTypes.VersionedText | null));
    };
    this.atLeader(
      () => {
        this.readHere(settle);
      },
      methods.methods.read,
      null,
      settle,
    );
  }

  /** Does something here where this replica leads, else asks the leader by a method. */
  private atLeader(here: () => void, method: string, parameters: unknown, done: ports.Reply): void {
    const { replica: own, peers, peerAddress } = this.options;
    if (own.mayLead()) {
      here();
      return;
    }
    const leader = own.leader();
    if (leader === undefined || leader.address === peerAddress) {
      const remedy = 'Ask again in a second, or ask another replica.';
      done(results.Err(failures.create('noQuorum', 'No leader is known.', remedy)));
      return;
    }
    peers.request(leader.address, method, parameters, FORWARD_TIMEOUT, done);
  }

  private proposeHere(command: agreedTypes.Command, done: ports.Reply): void {
    const { replica: own, leastVoters, wantedVoters, isGathering, changed } = this.options;
    const voters = own.status().members.filter((member) => member.role === 'voter').length;
    // Right after the founding fewer replicas hold the log than must be there to lose some. Only seeds are told to
    // anyone, and the tolerated losses may need more: a change on two of three disks would be gone with two of five.
    // Whoever is about to join is waited for; where nobody is, the seeds are all that there are.
    const needed = isGathering() ? wantedVoters : leastVoters;
    if (voters < needed) {
      const remedy = 'Send it again in a second.';
      const message = `Only ${voters} of ${needed} replicas have joined.`;
      done(results.Err(failures.create('noQuorum', message, remedy)));
      return;
    }
    own.propose(command, (result) => {
      done(result);
      changed();
    });
  }

  private readHere(done: ports.Reply): void {
    const { replica: own, state } = this.options;
    own.confirmRead((confirmed) => {
      done(confirmed.map(() => state.traffic ?? null));
    });
  }
}

function outcomeOf(result: results.Result<unknown, failures.Failure>): string {
  return result.ok ? 'acknowledged' : failures.describe(result.val);
}
