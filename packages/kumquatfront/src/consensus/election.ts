/**
 * Elections of one replica: when it asks for votes, whom it gives its own, and when it has won.
 */
import type * as ports from '../kernel/ports.js';
import type * as leadership from './leadership.js';
import type * as replica from './replica.js';
import type * as types from './types.js';

/** What an election asks of its replica. */
export interface ElectionHost {
  readonly role: () => types.ReplicaRole;
  /** True where this replica hears from a leader, or is one with its lease. */
  readonly leaderAlive: () => boolean;
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
        this.requestVotes(false);
      }
    });
  }

  private requestVotes(preVote: boolean): void {
    const { store } = this.options;
    const { lastIndex, lastTerm } = store;
    this.votes = new Set([store.identity]);
    const term = preVote ? store.hardState.term + 1 : store.hardState.term;
    for (const member of this.otherVoters()) {
      this.host.post(member, { type: 'voteRequest', preVote, term, lastIndex, lastTerm });
    }
    this.countVotes(preVote);
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

  onRequest(message: types.VoteRequest): void {
    const { store } = this.options;
    const upToDate =
      message.lastTerm > store.lastTerm ||
      (message.lastTerm === store.lastTerm && message.lastIndex >= store.lastIndex);
    // Whoever hears from a leader, or is one with its lease, refuses without looking at the term: this is
    // what makes the leader's lease worth trusting.
    const leaderAlive = this.host.leaderAlive();
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
    store.whenDurable(() => {
      this.host.answer(message.from, { type: 'voteAnswer', preVote: message.preVote, granted, term });
    });
  }

  onAnswer(message: types.VoteAnswer): void {
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
