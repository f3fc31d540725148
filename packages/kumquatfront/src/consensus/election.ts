/**
 * Elections of one replica: when it asks for votes, whom it gives its own, and when it has won.
 */
import type * as ports from '../kernel/ports.js';
import type * as leadership from './leadership.js';
import type * as replicaOptions from './replicaOptions.js';
import type * as types from './types.js';

/**
 * A replica that has just started asks this often whether all voters are without a leader.
 *
 * Pattern: everything is killed at once, and callers are back before control is. A voter that has restarted does not
 * know what it promised a leader and refuses its vote for one election timeout, so that all of them wait for nobody:
 * half a second in which no entry has a configuration. Where every voter says that it knows no leader there is none
 * with a lease: it would be one of them. Then the votes of this one term are free at once, and the voter with the
 * longest log asks for them (see `isFirstAmong`).
 */
const ASKED_AFTER_START: ports.Milliseconds = 60;

/** Election timeouts for which it asks: VMs that lost power come back over a second, not all at once. */
const ASKED_FOR_TIMEOUTS = 3;

/** The end of a voter's log. */
interface LogEnd {
  readonly lastIndex: number;
  readonly lastTerm: number;
}

interface VoterLog extends LogEnd {
  readonly identity: string;
}

/** A voter that knows no leader, with its term when it said so, and whether it has just started too. */
interface LeaderlessVoter extends VoterLog {
  readonly term: number;
  readonly asks: boolean;
}

/** True where the first log holds all that the second one does, as votes are given by. */
function isUpToDate(log: LogEnd, than: LogEnd): boolean {
  return log.lastTerm > than.lastTerm || (log.lastTerm === than.lastTerm && log.lastIndex >= than.lastIndex);
}

/**
 * True for the one voter that asks for votes, of those that have just started: the longest log, then the lowest
 * identity.
 *
 * Several voters have everybody's answer at nearly the same time. If each asked for votes, none would get most of
 * them, or a second one would depose the first as soon as it stood. All of them name the same voter from the same
 * answers, and the others follow; if it fails to ask, their election timers run as ever.
 */
function isFirstAmong(own: VoterLog, others: readonly VoterLog[]): boolean {
  return others.every(
    (other) => isUpToDate(own, other) && (!isUpToDate(other, own) || own.identity < other.identity),
  );
}

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
  private readonly options: replicaOptions.ReplicaOptions;
  private readonly host: ElectionHost;
  private votes = new Set<string>();
  /** The other voters that know no leader, by their last answers since this replica started. */
  private leaderless = new Map<string, LeaderlessVoter>();
  private asksAfterStart = false;
  /** The term for which all voters have said so. */
  private unopposedTerm: number | undefined;
  /** When this replica gave its vote last, its own candidacy included. */
  private votedAt = Number.NEGATIVE_INFINITY;
  private cancelTimer: ports.Cancel = () => undefined;

  constructor(options: replicaOptions.ReplicaOptions, host: ElectionHost) {
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
    this.votedAt = this.options.timers.now();
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
    const { term } = store.hardState;
    const others = this.otherVoters();
    // An answer from an earlier term says nothing: its voter may have been elected since, in this one.
    const voters = [...this.leaderless.values()].filter((voter) => voter.term === term);
    const all = others.every((member) => voters.some((voter) => voter.identity === member.identity));
    const asking = voters.filter((voter) => voter.asks);
    const { identity, lastIndex, lastTerm } = store;
    const first = isFirstAmong({ identity, lastIndex, lastTerm }, asking);
    if (all && first && this.host.role() === 'follower' && !this.host.leaderHeard()) {
      this.options.log.info('allVotersLeaderless', { voters: others.length + 1 });
      this.unopposedTerm = term + 1;
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

  private noteLeaderless(answer: types.VoteAnswer): void {
    const { from: identity, lastIndex, lastTerm, term, asks } = answer;
    if (!answer.leaderless) {
      this.leaderless.delete(identity);
    } else if (this.host.role() === 'follower' && this.asksAfterStart) {
      this.leaderless.set(identity, { identity, lastIndex, lastTerm, term, asks });
      this.countLeaderless();
    }
  }

  onRequest(message: types.VoteRequest): void {
    const { store } = this.options;
    const upToDate = isUpToDate(message, store);
    // Whoever hears from a leader, or is one with its lease, refuses without looking at the term: this is
    // what makes the leader's lease worth trusting.
    const unopposed = message.afterRestart && !message.preVote;
    const leaderAlive = unopposed ? this.host.leaderHeard() : this.host.leaderAlive();
    if (!leaderAlive && !message.preVote && message.term > store.hardState.term) {
      this.host.raiseTerm(message.term);
    }
    const free = store.hardState.votedFor === '' || store.hardState.votedFor === message.from;
    // What a voter asks after its start is only a question: counted as pre-votes, the answers would make several
    // voters candidates at the same moment.
    const granted = message.preVote
      ? !message.afterRestart &&
        !leaderAlive &&
        !this.mayHaveElected(message.from) &&
        upToDate &&
        message.term > store.hardState.term
      : !leaderAlive && upToDate && message.term === store.hardState.term && free;
    if (granted && !message.preVote) {
      store.setHardState({ ...store.hardState, votedFor: message.from });
      this.votedAt = this.options.timers.now();
      this.restartTimer();
    }
    const term = granted ? message.term : store.hardState.term;
    const leaderless = !this.host.leaderHeard() && !this.mayHaveElected(message.from);
    const { preVote } = message;
    const { asksAfterStart: asks } = this;
    const { lastIndex, lastTerm } = store;
    store.whenDurable(() => {
      const body = {
        type: 'voteAnswer',
        preVote,
        granted,
        term,
        leaderless,
        asks,
        lastIndex,
        lastTerm,
      } as const;
      this.host.answer(message.from, body);
    });
  }

  /**
   * True where this replica has given its vote to another candidate, itself included, that may have been elected with
   * it and not been heard from yet.
   *
   * Pattern: processes that start answer late, so that votes are counted for longer than an election timer runs. A
   * second candidate would raise the term, and the leader just elected would step down: a second without one. The
   * voters of the first one say no to it for one election timeout, after which that leader would have been heard.
   */
  private mayHaveElected(asker: string): boolean {
    const { store, timers, timing } = this.options;
    const { votedFor } = store.hardState;
    return votedFor !== '' && votedFor !== asker && timers.now() - this.votedAt < timing.electionTimeout;
  }

  onAnswer(message: types.VoteAnswer): void {
    if (message.preVote) {
      this.noteLeaderless(message);
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
