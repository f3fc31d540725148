/**
 * Leader election of one replica: starts elections, grants votes and counts the votes received.
 */
import type * as ports from '../kernel/ports.js';
import type * as leadership from './leadership.js';
import type * as replicaOptions from './replicaOptions.js';
import type * as types from './types.js';

/**
 * Interval at which a restarted voter probes the other voters for a leader.
 *
 * A restarted voter refuses votes for one election timeout, on which a leader's lease may rely. Once all voters report
 * that there is no leader, no lease is valid, and the voter that `isPreferredCandidate` selects starts an election.
 */
const PROBE_INTERVAL: ports.Milliseconds = 60;

/** Duration of the probes in election timeouts: VMs that lost power restart at different times. */
const PROBE_ELECTION_TIMEOUTS = 3;

/** Position of the last entry of a log. */
interface LogPosition {
  readonly lastIndex: number;
  readonly lastTerm: number;
}

interface VoterLogPosition extends LogPosition {
  readonly identity: string;
}

/** A voter that reported no leader, with its term at that time and whether it is probing as well. */
interface LeaderlessVoter extends VoterLogPosition {
  readonly term: number;
  readonly isProbing: boolean;
}

/** True if `log` is at least as up to date as `base`, which is a condition for granting a vote. */
function isUpToDate(log: LogPosition, base: LogPosition): boolean {
  return log.lastTerm > base.lastTerm || (log.lastTerm === base.lastTerm && log.lastIndex >= base.lastIndex);
}

/**
 * True for the voter that starts the election among those that are probing: the one with the longest log, then the
 * lowest identity.
 *
 * Several voters learn at nearly the same time that there is no leader. If each started an election, the votes would
 * be split, or a second election would depose the first leader. All of them select the same voter; if it fails, their
 * election timers are still running.
 */
function isPreferredCandidate(own: VoterLogPosition, others: readonly VoterLogPosition[]): boolean {
  return others.every(
    (other) => isUpToDate(own, other) && (!isUpToDate(other, own) || own.identity < other.identity),
  );
}

/** Operations that the election needs from its replica. */
export interface ElectionHost {
  readonly role: () => types.ReplicaRole;
  /** True if this replica is a leader that holds its lease, or if another leader's lease may rely on it. */
  readonly isLeaderAlive: () => boolean;
  /** True if this replica leads, or has had leader contact since its start and within the election timeout. */
  readonly hasLeaderContact: () => boolean;
  readonly isLeaderKnown: () => boolean;
  /** Makes the replica a follower without a known leader. */
  readonly clearLeader: () => void;
  readonly becomeCandidate: () => void;
  readonly becomeLeader: () => void;
  readonly raiseTerm: (term: number) => void;
  readonly send: (member: types.Member, body: leadership.MessageBody) => void;
  readonly reply: (identity: string, body: leadership.MessageBody) => void;
}

/** Election state and timer of one replica. */
export class Election {
  private readonly options: replicaOptions.ReplicaOptions;
  private readonly host: ElectionHost;
  private votes = new Set<string>();
  /** Other voters whose latest answer since the start of this replica reported no leader, by identity. */
  private leaderlessVoters = new Map<string, LeaderlessVoter>();
  private isProbing = false;
  /** Term of the election that this replica started because no voter knew a leader. */
  private leaderlessElectionTerm: number | undefined;
  /** When this replica last gave its vote, including to itself. */
  private votedAt = Number.NEGATIVE_INFINITY;
  private cancelTimer: ports.Cancel = () => undefined;

  constructor(options: replicaOptions.ReplicaOptions, host: ElectionHost) {
    this.options = options;
    this.host = host;
  }

  /** Stops the election timer; a leader does not need one. */
  stopTimer(): void {
    this.cancelTimer();
  }

  /** Restarts the election timer with a new random timeout. */
  restartTimer(): void {
    const { timers, random, timing } = this.options;
    this.cancelTimer();
    const delay = timing.electionTimeout * (1 + random.next());
    this.cancelTimer = timers.after(delay, () => {
      this.startPreVote();
    });
  }

  /** Starts to probe the other voters for a leader; called once, when a replica restarts. */
  startProbing(): void {
    const { timers, random, timing } = this.options;
    const deadline = timers.now() + timing.electionTimeout * PROBE_ELECTION_TIMEOUTS;
    this.isProbing = true;
    const probe = (): void => {
      if (timers.now() >= deadline || this.host.isLeaderKnown()) {
        this.isProbing = false;
        return;
      }
      if (this.isVoter() && this.host.role() === 'follower') {
        this.sendProbes();
      }
      timers.after(PROBE_INTERVAL * (1 + random.next()), probe);
    };
    timers.after(PROBE_INTERVAL * random.next() * 0.5, probe);
  }

  private isVoter(): boolean {
    const { store } = this.options;
    return store.members().some((member) => member.identity === store.identity && member.role === 'voter');
  }

  private otherVoters(): readonly types.Member[] {
    const { store } = this.options;
    return store.members().filter((member) => member.role === 'voter' && member.identity !== store.identity);
  }

  private startPreVote(): void {
    this.restartTimer();
    if (this.host.role() === 'leader' || !this.isVoter()) {
      return;
    }
    // Pre-vote: a partitioned replica does not raise its term. When it reconnects, voters in contact with a
    // leader refuse, and the leader is not deposed.
    this.host.clearLeader();
    this.requestVotes(true);
  }

  private startElection(): void {
    const { store, log } = this.options;
    this.host.becomeCandidate();
    store.setHardState({ ...store.hardState, term: store.hardState.term + 1, votedFor: store.identity });
    this.votedAt = this.options.timers.now();
    log.info('electionStarted', { term: store.hardState.term });
    this.restartTimer();
    store.whenDurable(() => {
      if (this.host.role() === 'candidate') {
        this.requestVotes(false, this.leaderlessElectionTerm === store.hardState.term);
      }
    });
  }

  private requestVotes(preVote: boolean, afterRestart = false): void {
    const { store } = this.options;
    this.votes = new Set([store.identity]);
    this.sendVoteRequests(preVote, afterRestart);
    this.countVotes(preVote);
  }

  private sendProbes(): void {
    this.sendVoteRequests(true, true);
    this.startElectionIfLeaderless();
  }

  private sendVoteRequests(preVote: boolean, afterRestart: boolean): void {
    const { store } = this.options;
    const { lastIndex, lastTerm } = store;
    const term = preVote ? store.hardState.term + 1 : store.hardState.term;
    const answerTo = store.members().find((member) => member.identity === store.identity)?.address ?? '';
    for (const member of this.otherVoters()) {
      const request = {
        type: 'voteRequest',
        preVote,
        term,
        lastIndex,
        lastTerm,
        afterRestart,
        answerTo,
      } as const;
      this.host.send(member, request);
    }
  }

  private startElectionIfLeaderless(): void {
    const { store } = this.options;
    const { term } = store.hardState;
    const others = this.otherVoters();
    // Answers from earlier terms are ignored: their sender may have been elected since.
    const voters = [...this.leaderlessVoters.values()].filter((voter) => voter.term === term);
    const allLeaderless = others.every((member) =>
      voters.some((voter) => voter.identity === member.identity),
    );
    const probing = voters.filter((voter) => voter.isProbing);
    const { identity, lastIndex, lastTerm } = store;
    const isPreferred = isPreferredCandidate({ identity, lastIndex, lastTerm }, probing);
    if (allLeaderless && isPreferred && this.host.role() === 'follower' && !this.host.hasLeaderContact()) {
      this.options.log.info('allVotersLeaderless', { voters: others.length + 1 });
      this.leaderlessElectionTerm = term + 1;
      this.startElection();
    }
  }

  private countVotes(preVote: boolean): void {
    if (this.votes.size * 2 <= this.otherVoters().length + 1) {
      return;
    }
    if (preVote) {
      this.startElection();
    } else {
      this.host.becomeLeader();
    }
  }

  private recordLeaderlessAnswer(answer: types.VoteAnswer): void {
    const { from: identity, lastIndex, lastTerm, term, asks: isProbing } = answer;
    if (!answer.leaderless) {
      this.leaderlessVoters.delete(identity);
    } else if (this.host.role() === 'follower' && this.isProbing) {
      this.leaderlessVoters.set(identity, { identity, lastIndex, lastTerm, term, isProbing });
      this.startElectionIfLeaderless();
    }
  }

  /** Answers a vote request, pre-vote or probe once the granted vote is synced. */
  onVoteRequest(message: types.VoteRequest): void {
    const { store } = this.options;
    const upToDate = isUpToDate(message, store);
    // A voter in contact with a leader, or a leader that holds its lease, refuses whatever the term of the request.
    // The leader lease relies on this.
    const isLeaderlessElection = message.afterRestart && !message.preVote;
    const isLeaderAlive = isLeaderlessElection ? this.host.hasLeaderContact() : this.host.isLeaderAlive();
    if (!isLeaderAlive && !message.preVote && message.term > store.hardState.term) {
      this.host.raiseTerm(message.term);
    }
    const isVoteAvailable = store.hardState.votedFor === '' || store.hardState.votedFor === message.from;
    // A probe is never granted as a pre-vote: several voters would become candidates at the same time.
    const granted = message.preVote
      ? !message.afterRestart &&
        !isLeaderAlive &&
        !this.hasRecentVoteForOther(message.from) &&
        upToDate &&
        message.term > store.hardState.term
      : !isLeaderAlive && upToDate && message.term === store.hardState.term && isVoteAvailable;
    if (granted && !message.preVote) {
      store.setHardState({ ...store.hardState, votedFor: message.from });
      this.votedAt = this.options.timers.now();
      this.restartTimer();
    }
    const term = granted ? message.term : store.hardState.term;
    const leaderless = !this.host.hasLeaderContact() && !this.hasRecentVoteForOther(message.from);
    const { preVote } = message;
    const { isProbing } = this;
    const { lastIndex, lastTerm } = store;
    store.whenDurable(() => {
      const body = {
        type: 'voteAnswer',
        preVote,
        granted,
        term,
        leaderless,
        asks: isProbing,
        lastIndex,
        lastTerm,
      } as const;
      this.host.reply(message.from, body);
    });
  }

  /**
   * True if this replica has recently voted for another candidate or for itself, which may have been elected without
   * having made contact yet.
   *
   * Votes of slow processes can take longer to count than an election timeout. A second candidate would then raise the
   * term and depose the new leader, so this replica refuses pre-votes for one election timeout after its vote.
   */
  private hasRecentVoteForOther(candidate: string): boolean {
    const { store, timers, timing } = this.options;
    const { votedFor } = store.hardState;
    return votedFor !== '' && votedFor !== candidate && timers.now() - this.votedAt < timing.electionTimeout;
  }

  /** Counts a granted vote or pre-vote, and records whether the sender knows a leader. */
  onVoteAnswer(message: types.VoteAnswer): void {
    if (message.preVote) {
      this.recordLeaderlessAnswer(message);
    }
    const { term } = this.options.store.hardState;
    const expectedTerm = message.preVote ? term + 1 : term;
    const isAwaitingVotes = this.host.role() === (message.preVote ? 'follower' : 'candidate');
    if (!message.granted || !isAwaitingVotes || message.term !== expectedTerm || this.host.isLeaderKnown()) {
      return;
    }
    if (this.otherVoters().some((member) => member.identity === message.from)) {
      this.votes.add(message.from);
      this.countVotes(message.preVote);
    }
  }
}
