/**
 * One replica of a Raft log (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014),
 * with pre-vote, check-quorum and a leader lease. Its inputs are messages and timers; its outputs are messages, disk
 * writes and applied entries.
 */
import * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import * as applier from './applier.js';
import * as election from './election.js';
import * as followerReplication from './followerReplication.js';
import * as leadership from './leadership.js';
import type * as replicaOptions from './replicaOptions.js';
import type * as types from './types.js';

/** A Raft replica: holds role, term and leader, and passes messages to its election and replication. */
export class Replica {
  readonly options: replicaOptions.ReplicaOptions;
  role: types.ReplicaRole = 'uninitialized';
  private readonly applier: applier.Applier;
  private readonly election: election.Election;
  private readonly followerReplication: followerReplication.FollowerReplication;
  private leaderIdentity = '';
  private lastLeaderContactAt: number;
  private hasHadLeaderContact = false;
  private leaderCommit = 0;
  private leadership: leadership.Leadership | undefined;

  constructor(options: replicaOptions.ReplicaOptions) {
    this.options = options;
    const { store, timers } = options;
    this.applier = new applier.Applier(options);
    this.election = new election.Election(options, this.createElectionHost());
    this.followerReplication = new followerReplication.FollowerReplication(store, this.applier, {
      followLeader: (identity, commitIndex) => {
        this.followLeader(identity, commitIndex);
      },
      reply: (identity, body) => {
        this.reply(identity, body);
      },
    });
    // A restarted voter does not know when it last acknowledged a leader. Treating the restart as leader contact
    // makes it refuse votes for one election timeout, which outlasts any lease that relies on it.
    this.lastLeaderContactAt = timers.now();
    if (store.hardState.clusterIdentity !== '') {
      this.becomeFollower('');
      this.election.startProbing();
    }
  }

  private createElectionHost(): election.ElectionHost {
    return {
      role: () => this.role,
      isLeaderAlive: () => (this.leadership === undefined ? this.leaderAlive() : this.leadership.hasLease()),
      hasLeaderContact: () => this.hasLeaderContact(),
      isLeaderKnown: () => this.leaderIdentity !== '',
      clearLeader: () => {
        this.role = 'follower';
        this.leaderIdentity = '';
      },
      becomeCandidate: () => {
        this.role = 'candidate';
      },
      becomeLeader: () => {
        this.becomeLeader();
      },
      raiseTerm: (term) => {
        this.raiseTerm(term);
      },
      send: (member, body) => {
        this.sendToMember(member, body);
      },
      reply: (identity, body) => {
        this.reply(identity, body);
      },
    };
  }

  /** Highest log index that this replica knows to be committed. */
  get commitIndex(): number {
    return this.applier.commitIndex;
  }

  /** Highest log index that this replica has applied. */
  get appliedIndex(): number {
    return this.applier.appliedIndex;
  }

  /** Bootstraps a cluster with this replica as its only member. */
  bootstrapCluster(clusterIdentity: string, member: types.Member): void {
    const { store, clock } = this.options;
    store.setHardState({ clusterIdentity, term: 1, votedFor: store.identity });
    const payload: types.LogPayload = { type: 'members', members: [{ ...member, role: 'voter' }] };
    store.append({ index: 1, term: 1, stamp: clock.wall(), payload });
    store.whenDurable(() => {
      this.becomeLeader();
    });
  }

  /** Starts accepting messages of a cluster; called after a member has answered the join request. */
  joinCluster(clusterIdentity: string): void {
    const { store } = this.options;
    if (store.hardState.clusterIdentity === '') {
      store.setHardState({ clusterIdentity, term: 0, votedFor: '' });
      this.becomeFollower('');
    }
  }

  /** Handles a message from another replica. */
  receive(message: types.ConsensusMessage): void {
    const { store } = this.options;
    // The message is for a former identity of this VM, or belongs to another cluster.
    if (message.to !== store.identity || message.clusterIdentity !== store.hardState.clusterIdentity) {
      this.answerForFormerIdentity(message);
      return;
    }
    if (
      message.term > store.hardState.term &&
      !(message.type === 'voteRequest' || this.isGrantedPreVote(message))
    ) {
      this.raiseTerm(message.term);
    }
    switch (message.type) {
      case 'voteRequest':
        this.election.onVoteRequest(message);
        break;
      case 'voteAnswer':
        this.election.onVoteAnswer(message);
        break;
      case 'appendRequest':
        this.followerReplication.onAppendRequest(message);
        break;
      case 'snapshotPiece':
        this.followerReplication.onSnapshotPiece(message);
        break;
      case 'appendAnswer':
      case 'snapshotAnswer':
        if (message.term === store.hardState.term) {
          this.leadership?.onAnswer(message);
        }
        break;
    }
  }

  /** Proposes a command; `done` receives the result once the command is committed and applied. */
  propose(command: unknown, done: replicaOptions.ProposalCallback): void {
    this.appendAsLeader({ type: 'command', command }, done);
  }

  /** Replaces the member list by one that differs in one replica; refused while a change is uncommitted. */
  changeMembers(members: readonly types.Member[], done: replicaOptions.ProposalCallback): void {
    const { store } = this.options;
    // With two uncommitted changes, or one before the first commit of this term, the old and the new majority may
    // not overlap, which allows two leaders.
    if (store.membersIndex() > this.commitIndex || this.leadership?.hasCommittedInTerm() !== true) {
      const remedy = 'Try again once the open change is committed.';
      done(results.Err(failures.create('conflict', 'A change of members is still open.', remedy)));
      return;
    }
    this.appendAsLeader({ type: 'members', members }, done);
  }

  private appendAsLeader(payload: types.LogPayload, done: replicaOptions.ProposalCallback): void {
    const { store, clock } = this.options;
    if (this.leadership === undefined) {
      done(results.Err(this.notLeaderFailure()));
      return;
    }
    // A leader without a lease may have been replaced, in which case the entry would never be committed. It refuses
    // before anything is written, so that the caller can safely retry elsewhere.
    if (!this.leadership.hasLease()) {
      const remedy = 'Try another control replica; nothing was changed.';
      done(results.Err(failures.create('noQuorum', 'This leader has lost contact with a quorum.', remedy)));
      return;
    }
    const index = store.lastIndex + 1;
    const stamp = Math.max(clock.wall(), store.lastStamp);
    store.append({ index, term: store.hardState.term, stamp, payload });
    this.applier.registerProposal(index, done);
    this.leadership.onAppended();
  }

  private notLeaderFailure(): failures.Failure {
    const leader = this.leader();
    return failures.create(
      'notLeader',
      'This replica does not lead.',
      leader === undefined
        ? 'Try again in a second: no leader is known.'
        : `Ask the leader at ${leader.address}.`,
      leader === undefined ? {} : { leader: leader.address },
    );
  }

  /** The current leader, which may be this replica; undefined if none is known. */
  leader(): types.Member | undefined {
    return this.options.store.members().find((member) => member.identity === this.leaderIdentity);
  }

  /** True if the applied state is at most a few heartbeats behind the committed log. */
  isFresh(): boolean {
    if (this.leadership !== undefined) {
      return this.leadership.hasLease() && this.leadership.hasCommittedInTerm();
    }
    return this.leaderAlive() && this.leaderIdentity !== '' && this.applier.appliedIndex >= this.leaderCommit;
  }

  /**
   * Linearizable read: calls back once the state machine is known to contain everything committed before the call,
   * or with a failure if this cannot be established. Does not depend on clocks.
   */
  confirmRead(done: (result: results.Result<null, failures.Failure>) => void): void {
    const currentLeadership = this.leadership;
    if (currentLeadership === undefined) {
      done(results.Err(this.notLeaderFailure()));
      return;
    }
    currentLeadership.confirmLeadership((isLeader) => {
      // Until an entry of this term is committed, the leader does not know what its predecessors committed.
      if (isLeader && currentLeadership.hasCommittedInTerm()) {
        done(results.Ok(null));
        return;
      }
      const remedy = 'Ask again in a second, or ask another replica.';
      done(results.Err(failures.create('noQuorum', 'No quorum confirmed this read.', remedy)));
    });
  }

  /** True for a leader that holds its lease and has committed an entry of its term, so that it may act. */
  mayLead(): boolean {
    return this.leadership !== undefined && this.isFresh();
  }

  /** Time since the last contact from a leader; 0 if this replica is the leader. */
  timeSinceLeaderContact(): ports.Milliseconds {
    return this.leadership === undefined ? this.options.timers.now() - this.lastLeaderContactAt : 0;
  }

  /** Time since this replica became leader; 0 if it is not the leader. */
  leadershipDuration(): ports.Milliseconds {
    return this.leadership?.duration() ?? 0;
  }

  /** Replication progress of a member; known to the leader only. */
  progressOf(identity: string): leadership.Progress | undefined {
    return this.leadership?.progressOf(identity);
  }

  /** Current state of this replica. */
  status(): types.ReplicaStatus {
    const { store } = this.options;
    return {
      identity: store.identity,
      clusterIdentity: store.hardState.clusterIdentity,
      role: this.role,
      term: store.hardState.term,
      leader: this.leader(),
      lastIndex: store.lastIndex,
      commitIndex: this.commitIndex,
      appliedIndex: this.applier.appliedIndex,
      members: store.members(),
      fresh: this.isFresh(),
    };
  }

  /**
   * Answers a probe for the former identity of this VM, whose disk was lost: that identity cannot be the leader.
   * Without an answer, voters that have all restarted would wait for an election timeout.
   */
  private answerForFormerIdentity(message: types.ConsensusMessage): void {
    const { store, send } = this.options;
    if (message.type !== 'voteRequest' || !message.preVote || !message.afterRestart) {
      return;
    }
    if (message.to === store.identity || this.leadership !== undefined || this.hasLeaderContact()) {
      return;
    }
    const { clusterIdentity, to: from, from: to } = message;
    const emptyLog = { asks: false, lastIndex: 0, lastTerm: 0 };
    const refusal = {
      type: 'voteAnswer',
      preVote: true,
      granted: false,
      leaderless: true,
      ...emptyLog,
    } as const;
    // A probe carries the next term of its sender; the refusal must not make the sender adopt it.
    send(message.answerTo, { ...refusal, clusterIdentity, from, to, term: message.term - 1 });
  }

  private isGrantedPreVote(message: types.ConsensusMessage): boolean {
    return message.type === 'voteAnswer' && message.preVote && message.granted;
  }

  /** True if this replica leads, or has had leader contact since its start and within the election timeout. */
  private hasLeaderContact(): boolean {
    return this.leadership === undefined ? this.hasHadLeaderContact && this.leaderAlive() : true;
  }

  /** True if a leader may be alive: for one election timeout after its last contact or after the start. */
  private leaderAlive(): boolean {
    return this.options.timers.now() - this.lastLeaderContactAt < this.options.timing.electionTimeout;
  }

  private raiseTerm(term: number): void {
    const { store } = this.options;
    store.setHardState({ ...store.hardState, term, votedFor: '' });
    this.becomeFollower('');
  }

  private becomeFollower(leaderIdentity: string): void {
    const wasLeading = this.leadership !== undefined;
    this.leadership?.stop();
    this.leadership = undefined;
    this.role = 'follower';
    this.leaderIdentity = leaderIdentity;
    this.election.restartTimer();
    if (wasLeading) {
      this.options.log.warn('leaderStepsDown', { term: this.options.store.hardState.term });
      this.applier.failPendingProposals();
    }
  }

  private becomeLeader(): void {
    const { store, log, clock } = this.options;
    this.election.stopTimer();
    this.role = 'leader';
    this.leaderIdentity = store.identity;
    log.info('leaderElected', { term: store.hardState.term, lastIndex: store.lastIndex });
    this.leadership = new leadership.Leadership(this.options, {
      commitIndex: () => this.commitIndex,
      commit: (index) => {
        this.applier.commitTo(index);
      },
      stepDown: () => {
        this.becomeFollower('');
      },
      send: (member, body) => {
        this.sendToMember(member, body);
      },
    });
    const stamp = Math.max(clock.wall(), store.lastStamp);
    store.append({
      index: store.lastIndex + 1,
      term: store.hardState.term,
      stamp,
      payload: { type: 'noop' },
    });
    this.leadership.start();
  }

  private followLeader(from: string, commitIndex: number): void {
    this.lastLeaderContactAt = this.options.timers.now();
    this.hasHadLeaderContact = true;
    this.leaderCommit = commitIndex;
    if (this.role !== 'follower' || this.leaderIdentity !== from) {
      this.becomeFollower(from);
    }
    this.election.restartTimer();
  }

  private reply(identity: string, body: leadership.MessageBody): void {
    const member = this.options.store.members().find((candidate) => candidate.identity === identity);
    const address = member?.address ?? this.replyAddresses.get(identity);
    if (address !== undefined) {
      this.sendToMember({ identity, address }, body);
    }
  }

  /** Addresses of members that are not in the log yet, learned from the answer to the join request. */
  readonly replyAddresses = new Map<string, string>();

  private sendToMember(
    member: Pick<types.Member, 'identity' | 'address'>,
    body: leadership.MessageBody,
  ): void {
    const { store, send } = this.options;
    const { clusterIdentity } = store.hardState;
    const message = { ...body, clusterIdentity, from: store.identity, to: member.identity };
    send(member.address, message);
  }
}
