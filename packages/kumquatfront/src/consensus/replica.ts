/**
 * One replica of the replicated log: terms, votes and log matching after Ongaro and Ousterhout, "In search
 * of an understandable consensus algorithm" (2014), with pre-vote, check-quorum and a leader lease. It
 * takes messages and timer firings, and gives messages, disk writes and applied entries.
 */
import * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import * as applier from './applier.js';
import * as election from './election.js';
import * as leadership from './leadership.js';
import type * as replicaOptions from './replicaOptions.js';
import * as replication from './replication.js';
import type * as types from './types.js';

/** A replica of the log; see the module comment. */
export class Replica {
  readonly options: replicaOptions.ReplicaOptions;
  role: types.ReplicaRole = 'uninitialized';
  private readonly applier: applier.Applier;
  private readonly election: election.Election;
  private readonly replication: replication.Replication;
  private leaderIdentity = '';
  private heardLeaderAt: number;
  private hasHeardLeader = false;
  private leaderCommit = 0;
  private leading: leadership.Leadership | undefined;

  constructor(options: replicaOptions.ReplicaOptions) {
    this.options = options;
    const { store, timers } = options;
    this.applier = new applier.Applier(options);
    this.election = new election.Election(options, this.electionHost());
    this.replication = new replication.Replication(store, this.applier, {
      followLeader: (identity, commitIndex) => {
        this.followLeader(identity, commitIndex);
      },
      answer: (identity, body) => {
        this.answer(identity, body);
      },
    });
    // A restarted voter has forgotten how recently it promised a leader its lease. Counting the restart as
    // news of a leader makes it refuse votes for one election timeout, which outlasts any lease it gave.
    this.heardLeaderAt = timers.now();
    if (store.hardState.clusterIdentity !== '') {
      this.becomeFollower('');
      this.election.askAfterStart();
    }
  }

  private electionHost(): election.ElectionHost {
    return {
      role: () => this.role,
      leaderAlive: () => (this.leading === undefined ? this.hearsLeader() : this.leading.hasLease()),
      leaderHeard: () => this.leaderHeard(),
      knowsLeader: () => this.leaderIdentity !== '',
      forgetLeader: () => {
        this.role = 'follower';
        this.leaderIdentity = '';
      },
      becomeCandidate: () => {
        this.role = 'candidate';
      },
      won: () => {
        this.becomeLeader();
      },
      raiseTerm: (term) => {
        this.raiseTerm(term);
      },
      post: (member, body) => {
        this.post(member, body);
      },
      answer: (identity, body) => {
        this.answer(identity, body);
      },
    };
  }

  /** Index up to which this replica knows the log to be committed. */
  get commitIndex(): number {
    return this.applier.commitIndex;
  }

  /** Founds a cluster of this one replica; others join it. */
  found(clusterIdentity: string, member: types.Member): void {
    const { store, clock } = this.options;
    store.setHardState({ clusterIdentity, term: 1, votedFor: store.identity });
    const payload: types.LogPayload = { type: 'members', members: [{ ...member, role: 'voter' }] };
    store.append({ index: 1, term: 1, stamp: clock.wall(), payload });
    store.whenDurable(() => {
      this.becomeLeader();
    });
  }

  /** Accepts messages of a cluster from now on; called once a member has answered the request to join. */
  adopt(clusterIdentity: string): void {
    const { store } = this.options;
    if (store.hardState.clusterIdentity === '') {
      store.setHardState({ clusterIdentity, term: 0, votedFor: '' });
      this.becomeFollower('');
    }
  }

  /** Hands in a message of another replica. */
  receive(message: types.ConsensusMessage): void {
    const { store } = this.options;
    // A message for a former identity of this VM, or of another cluster, says nothing to this replica.
    if (message.to !== store.identity || message.clusterIdentity !== store.hardState.clusterIdentity) {
      this.answerForPredecessor(message);
      return;
    }
    if (message.term > store.hardState.term && !(message.type === 'voteRequest' || this.isPreVote(message))) {
      this.raiseTerm(message.term);
    }
    switch (message.type) {
      case 'voteRequest':
        this.election.onRequest(message);
        break;
      case 'voteAnswer':
        this.election.onAnswer(message);
        break;
      case 'appendRequest':
        this.replication.onAppendRequest(message);
        break;
      case 'snapshotPiece':
        this.replication.onSnapshotPiece(message);
        break;
      case 'appendAnswer':
      case 'snapshotAnswer':
        if (message.term === store.hardState.term) {
          this.leading?.onAnswer(message);
        }
        break;
    }
  }

  /** Proposes a command; `done` gets what the state machine returned once it is committed and applied. */
  propose(command: unknown, done: replicaOptions.ProposalDone): void {
    this.appendAsLeader({ type: 'command', command }, done);
  }

  /** Replaces the members by a list that differs in one replica; refused while another change is open. */
  changeMembers(members: readonly types.Member[], done: replicaOptions.ProposalDone): void {
    const { store } = this.options;
    // Two open changes, or one before this term has committed anything, could leave majorities of the old
    // and the new members that do not overlap: two leaders. One at a time after a commit of this term is enough.
    if (store.membersIndex() > this.commitIndex || this.leading?.hasCommitted() !== true) {
      const remedy = 'Try again once the open change is committed.';
      done(results.Err(failures.create('conflict', 'A change of members is still open.', remedy)));
      return;
    }
    this.appendAsLeader({ type: 'members', members }, done);
  }

  private appendAsLeader(payload: types.LogPayload, done: replicaOptions.ProposalDone): void {
    const { store, clock } = this.options;
    if (this.leading === undefined) {
      done(results.Err(this.notLeader()));
      return;
    }
    // A leader without its lease may already have a successor: taking the change would leave its operator
    // waiting for a commit that cannot come. Refusing at once, before anything is written, is safe to say.
    if (!this.leading.hasLease()) {
      const remedy = 'Try another control replica; nothing was changed.';
      done(results.Err(failures.create('noQuorum', 'This leader does not hear from a quorum.', remedy)));
      return;
    }
    const index = store.lastIndex + 1;
    const stamp = Math.max(clock.wall(), store.lastStamp);
    store.append({ index, term: store.hardState.term, stamp, payload });
    this.applier.expect(index, done);
    this.leading.onAppended();
  }

  private notLeader(): failures.Failure {
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

  leader(): types.Member | undefined {
    return this.options.store.members().find((member) => member.identity === this.leaderIdentity);
  }

  /** True when what this replica has applied is at most a few heartbeats behind what is committed. */
  isFresh(): boolean {
    if (this.leading !== undefined) {
      return this.leading.hasLease() && this.leading.hasCommitted();
    }
    return this.hearsLeader() && this.leaderIdentity !== '' && this.applier.appliedIndex >= this.leaderCommit;
  }

  /**
   * Calls back once this replica's state machine is certain to hold everything that was committed before the
   * call; with a failure where that cannot be known here. Depends on no clock.
   */
  confirmRead(done: (result: results.Result<null, failures.Failure>) => void): void {
    const leading = this.leading;
    if (leading === undefined) {
      done(results.Err(this.notLeader()));
      return;
    }
    leading.confirm((leads) => {
      // An entry of this term must be committed too: before it, the leader does not know what others committed.
      if (leads && leading.hasCommitted()) {
        done(results.Ok(null));
        return;
      }
      const remedy = 'Ask again in a second, or ask another replica.';
      done(results.Err(failures.create('noQuorum', 'No quorum confirmed this read.', remedy)));
    });
  }

  /** True for a leader that may act alone: it holds its lease and has applied all before its term. */
  mayLead(): boolean {
    return this.leading !== undefined && this.isFresh();
  }

  /** Time since this replica heard from a leader; 0 where it leads. */
  silentFor(): ports.Milliseconds {
    return this.leading === undefined ? this.options.timers.now() - this.heardLeaderAt : 0;
  }

  /** Time for which this replica has led; 0 where it does not. */
  leadsFor(): ports.Milliseconds {
    return this.leading?.age() ?? 0;
  }

  /** How far a member's log is known to match, and when it last answered; for the leader only. */
  progressOf(identity: string): leadership.Progress | undefined {
    return this.leading?.progressOf(identity);
  }

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
   * A VM that lost its disk is a new replica; its former identity cannot answer any more, and cannot lead. Without
   * this answer the others, all restarted, would wait for an election timeout for a leader that cannot be.
   */
  private answerForPredecessor(message: types.ConsensusMessage): void {
    const { store, send } = this.options;
    if (message.type !== 'voteRequest' || !message.preVote || !message.afterRestart) {
      return;
    }
    if (message.to === store.identity || this.leading !== undefined || this.leaderHeard()) {
      return;
    }
    const { clusterIdentity, to: from, from: to } = message;
    const nothing = { asks: false, lastIndex: 0, lastTerm: 0 };
    const answer = {
      type: 'voteAnswer',
      preVote: true,
      granted: false,
      leaderless: true,
      ...nothing,
    } as const;
    // The asker's own term: it named the next one, which a refusal must not make it take.
    send(message.answerTo, { ...answer, clusterIdentity, from, to, term: message.term - 1 });
  }

  private isPreVote(message: types.ConsensusMessage): boolean {
    return message.type === 'voteAnswer' && message.preVote && message.granted;
  }

  /** True where this replica leads, or has heard from a leader since its start and within an election timeout. */
  private leaderHeard(): boolean {
    return this.leading === undefined ? this.hasHeardLeader && this.hearsLeader() : true;
  }

  private hearsLeader(): boolean {
    return this.options.timers.now() - this.heardLeaderAt < this.options.timing.electionTimeout;
  }

  private raiseTerm(term: number): void {
    const { store } = this.options;
    store.setHardState({ ...store.hardState, term, votedFor: '' });
    this.becomeFollower('');
  }

  private becomeFollower(leaderIdentity: string): void {
    const wasLeading = this.leading !== undefined;
    this.leading?.stop();
    this.leading = undefined;
    this.role = 'follower';
    this.leaderIdentity = leaderIdentity;
    this.election.restartTimer();
    if (wasLeading) {
      this.options.log.warn('leaderStepsDown', { term: this.options.store.hardState.term });
      this.applier.failPending();
    }
  }

  private becomeLeader(): void {
    const { store, log, clock } = this.options;
    this.election.stopTimer();
    this.role = 'leader';
    this.leaderIdentity = store.identity;
    log.info('leaderElected', { term: store.hardState.term, lastIndex: store.lastIndex });
    this.leading = new leadership.Leadership(this.options, {
      commitIndex: () => this.commitIndex,
      commit: (index) => {
        this.applier.commitTo(index);
      },
      lostQuorum: () => {
        this.becomeFollower('');
      },
      post: (member, body) => {
        this.post(member, body);
      },
    });
    const stamp = Math.max(clock.wall(), store.lastStamp);
    store.append({
      index: store.lastIndex + 1,
      term: store.hardState.term,
      stamp,
      payload: { type: 'noop' },
    });
    this.leading.start();
  }

  private followLeader(from: string, commitIndex: number): void {
    this.heardLeaderAt = this.options.timers.now();
    this.hasHeardLeader = true;
    this.leaderCommit = commitIndex;
    if (this.role !== 'follower' || this.leaderIdentity !== from) {
      this.becomeFollower(from);
    }
    this.election.restartTimer();
  }

  private answer(identity: string, body: leadership.MessageBody): void {
    const member = this.options.store.members().find((candidate) => candidate.identity === identity);
    const address = member?.address ?? this.replyAddresses.get(identity);
    if (address !== undefined) {
      this.post({ identity, address }, body);
    }
  }

  /** Addresses of replicas that are not in this replica's log yet, learned from the answer to its join. */
  readonly replyAddresses = new Map<string, string>();

  private post(member: Pick<types.Member, 'identity' | 'address'>, body: leadership.MessageBody): void {
    const { store, send } = this.options;
    const { clusterIdentity } = store.hardState;
    const message = { ...body, clusterIdentity, from: store.identity, to: member.identity };
    send(member.address, message);
  }
}
