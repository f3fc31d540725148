/**
 * Elections of one replica: when it asks for votes, whom it gives its own, and when it has won.
 */
import type * as ports from '../kernel/ports.js';
import type * as leadership from './leadership.js';
import type * as replica from './replica.js';
import type * as types from './types.js';

/**
 * A replica that has just started asks this often whether all voters are without a leader.
 *
 * Pattern: everything is killed at once, and callers are back before control is. A voter that has restarted does not
 * know what it promised a leader and refuses its vote for one election timeout, so that all of them wait for nobody:
 * half a second in which no entry has a configuration. Where every voter says that it knows no leader there is none
 * with a lease: it would be one of them. Then the votes of this one term are free at once.
 */
const ASKED_AFTER_START: ports.Milliseconds = 60;

/** Election timeouts for which it asks: VMs that lost power come back over a second, not all at once. */
const ASKED_FOR_TIMEOUTS = 3;

/** What an election asks of its replica. */
export interface ElectionHost {
  readonly role: () => types.ReplicaRole;
  /** True where this replica hears from a leader, or is one with its lease. */
  readonly leaderAlive: () => boolean;
  /** The same without the election timeout after a start, in which this replica cannot know what it promised. */
  readonly leaderHeard: () => boolean;
  readonly knowsLeader: () => boolean;
  /** The replica follows nobody until the election is decided. */
  readonly forgetLeader: () => void;
  readonly becomeCandidate: () => void;
  readonly won: () => void;
  readonly raiseTerm: (term: number) => void;
  readonly post: (member: types.Member, body: leadership.MessageBody) => void;
  readonly answer: (identity: string, body: leadership.MessageBody) => void;
}

/** Elections; see the module comment. */
export class Election {
  private readonly options: replica.ReplicaOptions;
  private readonly host: ElectionHost;
  private votes = new Set<string>();
  /** Voters that know no leader, by their answers since this replica started. */
  private leaderless = new Set<string>();
  private asksAfterStart = false;
  /** The term in which they were asked. Once it has passed, one of them may have been elected since it answered. */
  private askedInTerm = 0;
  /** The term for which all voters have said so. */
  private unopposedTerm: number | undefined;
  private cancelTimer: ports.Cancel = () => undefined;

  constructor(options: replica.ReplicaOptions, host: ElectionHost) {
    this.options = options;
    this.host = host;
  }

  stopTimer(): void {
    this.cancelTimer();
  }

  restartTimer(): void {
    const { timers, random, timing } = this.options;
    this.cancelTimer();
    const delay = timing.electionTimeout * (1 + random.next());
    this.cancelTimer = timers.after(delay, () => {
      this.startPreVote();
    });
  }

  /** Called once, at the start of a replica that was a voter before. */
  askAfterStart(): void {
    const { timers, random, timing } = this.options;
    const until = timers.now() + timing.electionTimeout * ASKED_FOR_TIMEOUTS;
    this.asksAfterStart = true;
    const ask = (): void => {
      if (timers.now() >= until || this.host.knowsLeader()) {
        this.asksAfterStart = false;
        return;
      }
      if (this.isVoter() && this.host.role() === 'follower') {
        this.askForLeaders();
      }
      timers.after(ASKED_AFTER_START * (1 + random.next()), ask);
    };
    timers.after(ASKED_AFTER_START * random.next() * 0.5, ask);
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
    // A replica that was cut off asks first, without raising its term: on its return the others, who hear
    // from their leader, say no, and the leader is not deposed.
    this.host.forgetLeader();
    this.requestVotes(true);
  }

  private startElection(): void {
    const { store, log } = this.options;
    this.host.becomeCandidate();
    store.setHardState({ ...store.hardState, term: store.hardState.term + 1, votedFor: store.identity });
    log.info('electionStarted', { term: store.hardState.term });
    this.restartTimer();
    store.whenDurable(() => {
      if (this.host.role() === 'candidate') {
        this.requestVotes(false, this.unopposedTerm === store.hardState.term);
      }
    });
  }

  private requestVotes(preVote: boolean, afterRestart = false): void {
    const { store } = this.options;
    this.votes = new Set([store.identity]);
    this.postRequests(preVote, afterRestart);
    this.countVotes(preVote);
  }

  private askForLeaders(): void {
    const { store } = this.options;
    this.leaderless = new Set([store.identity]);
    this.askedInTerm = store.hardState.term;
    this.postRequests(true, true);
    this.countLeaderless();
  }

  private postRequests(preVote: boolean, afterRestart: boolean): void {
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
      this.host.post(member, request);
    }
  }

  private countLeaderless(): void {
    const { store } = this.options;
    if (store.hardState.term !== this.askedInTerm) {
      return;
    }
    const all = this.otherVoters().every((member) => this.leaderless.has(member.identity));
    if (all && this.host.role() === 'follower' && !this.host.leaderHeard()) {
      this.options.log.info('allVotersLeaderless', { voters: this.leaderless.size });
      this.unopposedTerm = store.hardState.term + 1;
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
      this.host.won();
    }
  }

  private onLeaderless(voter: string): void {
    if (this.host.role() === 'follower' && this.asksAfterStart) {
      this.leaderless.add(voter);
      this.countLeaderless();
    }
  }

  onRequest(message: types.VoteRequest): void {
    const { store } = this.options;
    const upToDate =
      message.lastTerm > store.lastTerm ||
      (message.lastTerm === store.lastTerm && message.lastIndex >= store.lastIndex);
    // Whoever hears from a leader, or is one with its lease, refuses without looking at the term: this is
    // what makes the leader's lease worth trusting.
    const unopposed = message.afterRestart && !message.preVote;
    const leaderAlive = unopposed ? this.host.leaderHeard() : this.host.leaderAlive();
    if (!leaderAlive && !message.preVote && message.term > store.hardState.term) {
      this.host.raiseTerm(message.term);
    }
    const free = store.hardState.votedFor === '' || store.hardState.votedFor === message.from;
    const granted = message.preVote
      ? !leaderAlive && upToDate && message.term > store.hardState.term
      : !leaderAlive && upToDate && message.term === store.hardState.term && free;
    if (granted && !message.preVote) {
      store.setHardState({ ...store.hardState, votedFor: message.from });
      this.restartTimer();
    }
    const term = granted ? message.term : store.hardState.term;
    // A candidate may have won already by the time its answer counts.
    const leaderless = !this.host.leaderHeard() && this.host.role() !== 'candidate';
    const { preVote } = message;
    store.whenDurable(() => {
      this.host.answer(message.from, { type: 'voteAnswer', preVote, granted, term, leaderless });
    });
  }

  onAnswer(message: types.VoteAnswer): void {
    if (message.preVote && message.leaderless) {
      this.onLeaderless(message.from);
    }
    const { term } = this.options.store.hardState;
    const expectedTerm = message.preVote ? term + 1 : term;
    const asked = this.host.role() === (message.preVote ? 'follower' : 'candidate');
    if (!message.granted || !asked || message.term !== expectedTerm || this.host.knowsLeader()) {
      return;
    }
    if (this.otherVoters().some((member) => member.identity === message.from)) {
      this.votes.add(message.from);
      this.countVotes(message.preVote);
    }
  }
}
