/**
 * Membership of the control replicas: bootstraps or joins a cluster, replaces a replica whose disk was lost,
 * and removes unresponsive members.
 */
import type * as consensus from '../consensus/types.js';
import type * as replica from '../consensus/replica.js';
import * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import type * as timerService from '../kernel/timerService.js';
import * as methods from './methods.js';
import * as voterSpread from './voterSpread.js';

/** Options of the membership of one replica. */
export interface MembershipOptions {
  readonly name: string;
  readonly dataCentre: string;
  readonly peerAddress: string;
  /** Peer addresses of every control VM, this one included. */
  readonly controlAddresses: readonly string[];
  readonly identity: string;
  readonly replica: replica.Replica;
  readonly peers: ports.PeerTransport;
  readonly timers: timerService.TimerService;
  readonly random: ports.Random;
  readonly log: ports.Log;
  /** False if a cluster already exists, so that this replica may only join it. */
  readonly mayBootstrap: boolean;
  /** Number n of voters that may be lost at the same time; 2 n + 1 voters are kept if enough members exist. */
  readonly toleratedLosses: number;
}

const JOIN_INTERVAL = 500;
const REPAIR_INTERVAL = 200;
const REQUEST_TIMEOUT = 400;
/** A member that answered within this time is running, and no other replica may take its name. */
const MEMBER_LIVENESS_TIMEOUT = 5_000;
/** A voter without an answer for this time is removed if enough others respond; it rejoins when it returns. */
const VOTER_REMOVAL_TIMEOUT = 3_000;
/** As `VOTER_REMOVAL_TIMEOUT`, if a new replica has caught up to replace the voter. */
const REPLACED_VOTER_TIMEOUT = 1_500;
/** A learner without an answer for this time is removed; it rejoins when it returns. */
const LEARNER_REMOVAL_TIMEOUT = 6_000;
/** A replica without contact to a leader for this time checks whether it is still a member. */
const LEADER_CONTACT_TIMEOUT = 1_500;
/** Log entries that a learner may lack when it is promoted; it receives them within a heartbeat. */
const MAXIMUM_PROMOTION_LAG = 16;

/** Time after a join request in which its sender counts as joining; covers late retries of a busy process. */
const JOIN_REQUEST_TTL = 6 * JOIN_INTERVAL;

/** True if `member` is an earlier identity of the VM on which `learner` runs. */
function isReplaced(member: consensus.Member, learner: consensus.Member): boolean {
  const isSameVm = member.name === learner.name || member.address === learner.address;
  return isSameVm && member.identity !== learner.identity;
}

/** Membership of one replica; see the module comment. */
export class Membership {
  private readonly options: MembershipOptions;
  private lastJoinRequestAt = Number.NEGATIVE_INFINITY;
  private controlAddresses: readonly string[];
  private toleratesDataCentreLoss = false;

  constructor(options: MembershipOptions) {
    this.options = options;
    this.controlAddresses = options.controlAddresses;
    this.serve();
    options.timers.every(
      () => JOIN_INTERVAL,
      () => {
        this.joinOrBootstrap();
      },
    );
    options.timers.every(
      () => REPAIR_INTERVAL,
      () => {
        this.repair();
      },
    );
  }

  private serve(): void {
    const { peers } = this.options;
    peers.serve(methods.methods.hello, (_parameters, reply) => {
      const status = this.options.replica.status();
      const answer: methods.HelloAnswer = {
        identity: status.identity,
        clusterIdentity: status.clusterIdentity,
        leaderAddress: status.leader?.address ?? '',
        members: status.members.map((member) => member.identity),
        leads: this.options.replica.mayLead(),
      };
      reply(results.Ok(answer));
    });
    peers.serve(methods.methods.join, (parameters, reply) => {
      this.onJoin(parameters as methods.JoinRequest, reply);
    });
  }

  private isMember(): boolean {
    const { members } = this.options.replica.status();
    return members.some((member) => member.identity === this.options.identity);
  }

  /** True if a replica is about to become a voter: it has requested to join, or is receiving the log as a learner. */
  hasPendingVoter(): boolean {
    const { replica: own, timers } = this.options;
    const hasLearner = own
      .status()
      .members.some(
        (member) => member.role === 'learner' && this.timeSinceAnswer(member) < LEARNER_REMOVAL_TIMEOUT,
      );
    return hasLearner || timers.now() - this.lastJoinRequestAt < JOIN_REQUEST_TTL;
  }

  /** Replaces the addresses at which other control replicas are discovered. */
  setControlAddresses(controlAddresses: readonly string[]): void {
    this.controlAddresses = controlAddresses;
  }

  /** Addresses of the other control replicas: those of the settings and of all known members. */
  private peerAddresses(): readonly string[] {
    const { peerAddress, replica: own } = this.options;
    const known = own.status().members.map((member) => member.address);
    return [...new Set([...this.controlAddresses, ...known])].filter((address) => address !== peerAddress);
  }

  private joinOrBootstrap(): void {
    const { peers, replica: own } = this.options;
    const hasLostLeader = own.timeSinceLeaderContact() > LEADER_CONTACT_TIMEOUT;
    if (this.isMember() && !hasLostLeader) {
      return;
    }
    const others = this.peerAddresses();
    const answers: methods.HelloAnswer[] = [];
    let pending = others.length;
    const onAllAnswered = (): void => {
      this.onHelloAnswers(answers, others.length);
    };
    if (pending === 0) {
      onAllAnswered();
    }
    for (const address of others) {
      peers.request(address, methods.methods.hello, null, REQUEST_TIMEOUT, (result) => {
        pending -= 1;
        if (result.ok) {
          answers.push(result.val as methods.HelloAnswer);
        }
        if (pending === 0) {
          onAllAnswered();
        }
      });
    }
  }

  private onHelloAnswers(answers: readonly methods.HelloAnswer[], expected: number): void {
    const { peerAddress, replica: own, random, identity, name, dataCentre, mayBootstrap } = this.options;
    if (this.isMember()) {
      this.rejoinIfRemoved(answers);
      return;
    }
    const clusterMember = answers.find((answer) => answer.clusterIdentity !== '');
    if (clusterMember !== undefined) {
      this.join(answers);
      return;
    }
    // A replica that lost its disk cannot be distinguished from a new one. Bootstrapping while another replica does not
    // answer could create a second cluster, so all must answer and all must be new.
    const isFirst = [...this.controlAddresses].sort()[0] === peerAddress;
    if (mayBootstrap && answers.length === expected && isFirst && own.status().clusterIdentity === '') {
      this.options.log.info('clusterFounded', { identity });
      own.bootstrapCluster(random.identity(), {
        identity,
        name,
        address: peerAddress,
        dataCentre,
        role: 'voter',
      });
    }
  }

  /**
   * Rejoins after the other members removed this replica as unresponsive. Its own log does not contain the
   * removal, since members have stopped replicating to it; the member list of the leader shows it.
   */
  private rejoinIfRemoved(answers: readonly methods.HelloAnswer[]): void {
    const { identity } = this.options;
    const leader = answers.find((answer) => answer.leads);
    if (leader !== undefined && !leader.members.includes(identity)) {
      this.join([leader]);
    }
  }

  private join(answers: readonly methods.HelloAnswer[]): void {
    const { peers, name, dataCentre, identity, peerAddress, replica: own, log } = this.options;
    const leader = answers.find((answer) => answer.leaderAddress !== '')?.leaderAddress;
    if (leader === undefined) {
      return;
    }
    const request: methods.JoinRequest = { identity, name, address: peerAddress, dataCentre };
    peers.request(leader, methods.methods.join, request, REQUEST_TIMEOUT, (result) => {
      if (result.err) {
        log.warn('joinRefused', { reason: failures.describe(result.val) });
        return;
      }
      const answer = result.val as methods.JoinAnswer;
      for (const member of answer.members) {
        own.replyAddresses.set(member.identity, member.address);
      }
      own.joinCluster(answer.clusterIdentity);
    });
  }

  private onJoin(request: methods.JoinRequest, reply: ports.Reply): void {
    const { replica: own } = this.options;
    const status = own.status();
    const answer: methods.JoinAnswer = { clusterIdentity: status.clusterIdentity, members: status.members };
    if (!own.mayLead()) {
      const remedy = 'Ask the leader.';
      reply(results.Err(failures.create('notLeader', 'This replica does not lead.', remedy)));
      return;
    }
    if (status.members.some((member) => member.identity === request.identity)) {
      reply(results.Ok(answer));
      return;
    }
    this.lastJoinRequestAt = this.options.timers.now();
    const former = status.members.find((member) => member.name === request.name);
    // An address belongs to one process: a request from a member's address under a new identity replaces it.
    if (former !== undefined && former.address !== request.address && this.isAlive(former)) {
      const message = `Control replica ${request.name} is alive under another identity.`;
      const remedy =
        'Give each control VM its own name; if the former one was just stopped, wait a few seconds.';
      reply(results.Err(failures.create('conflict', message, remedy)));
      return;
    }
    const learner: consensus.Member = { ...request, role: 'learner' };
    own.changeMembers([...status.members, learner], (result) => {
      reply(result.map(() => answer));
    });
  }

  private isAlive(member: consensus.Member): boolean {
    const { replica: own, identity, timers } = this.options;
    const progress = own.progressOf(member.identity);
    return (
      member.identity === identity ||
      (progress?.acknowledgedAt ?? -Infinity) > timers.now() - MEMBER_LIVENESS_TIMEOUT
    );
  }

  /**
   * Performs one membership change towards the required set of voters. Once a learner has caught up, the lost
   * identity of its VM is removed first, since it can never vote again and only raises the quorum; then the learner
   * becomes a voter. Members change one at a time, so that the majorities before and after each change overlap.
   */
  private repair(): void {
    const { replica: own, identity } = this.options;
    if (!own.mayLead()) {
      return;
    }
    const { members } = own.status();
    this.recordVoterSpread(members);
    const ready = members.filter((member) => this.hasCaughtUp(member));
    const lacksVoters = this.responsiveVoters(members).length < this.requiredVoters;
    const lost = members.find((member) => ready.some((learner) => isReplaced(member, learner)));
    const promoted = voterSpread.findPromotableLearner(members, ready, lacksVoters);
    const surplus = voterSpread.findSurplusVoter(members, this.requiredVoters, identity);
    if (lost !== undefined) {
      const others = members.filter((member) => member !== lost);
      this.changeMembers(others, lost, 'lostRemoved');
    } else if (promoted !== undefined) {
      this.changeMembers(voterSpread.withRole(members, [promoted], 'voter'), promoted, 'promoted');
    } else if (surplus !== undefined) {
      this.changeMembers(voterSpread.withRole(members, [surplus], 'learner'), surplus, 'demoted');
    } else {
      this.removeUnresponsiveMember(members);
    }
  }

  private responsiveVoters(members: readonly consensus.Member[]): readonly consensus.Member[] {
    return members.filter(
      (member) => member.role === 'voter' && this.timeSinceAnswer(member) < REPLACED_VOTER_TIMEOUT,
    );
  }

  private get requiredVoters(): number {
    return 2 * this.options.toleratedLosses + 1;
  }

  /** True for a responsive learner that lacks at most `MAXIMUM_PROMOTION_LAG` log entries. */
  private hasCaughtUp(member: consensus.Member): boolean {
    const { replica: own } = this.options;
    const matchIndex = own.progressOf(member.identity)?.matchIndex ?? 0;
    const isWithinLag = matchIndex > 0 && matchIndex + MAXIMUM_PROMOTION_LAG >= own.status().commitIndex;
    return member.role === 'learner' && isWithinLag && this.timeSinceAnswer(member) <= REPLACED_VOTER_TIMEOUT;
  }

  private changeMembers(members: readonly consensus.Member[], changed: consensus.Member, step: string): void {
    const { replica: own, log } = this.options;
    own.changeMembers(members, (result) => {
      if (result.ok) {
        log.info('membersChanged', { replica: changed.name, step });
      }
    });
  }

  private recordVoterSpread(members: readonly consensus.Member[]): void {
    const tolerates = voterSpread.toleratesAnyDataCentreLoss(members);
    if (tolerates !== this.toleratesDataCentreLoss) {
      this.toleratesDataCentreLoss = tolerates;
      this.options.log.info('voterSpread', { toleratesDataCentreLoss: tolerates });
    }
  }

  private timeSinceAnswer(member: consensus.Member): number {
    const { replica: own, identity, timers } = this.options;
    if (member.identity === identity) {
      return 0;
    }
    return timers.now() - (own.progressOf(member.identity)?.acknowledgedAt ?? Number.NEGATIVE_INFINITY);
  }

  /**
   * Removes one unresponsive member. A lost voter still raises the quorum: with four voters, one of them lost,
   * the next loss would stop every change. A voter is removed only if the responsive voters tolerate the required
   * losses without it, so removing one that is merely slow does no harm.
   */
  private removeUnresponsiveMember(members: readonly consensus.Member[]): void {
    const { replica: own, log } = this.options;
    const voters = members.filter((member) => member.role === 'voter');
    const hasEnoughVoters = this.responsiveVoters(members).length >= this.requiredVoters;
    const voterTimeout = hasEnoughVoters ? VOTER_REMOVAL_TIMEOUT : Number.POSITIVE_INFINITY;
    const hasSurplusVoter = hasEnoughVoters && voters.length > this.requiredVoters;
    const unresponsive = members.find(
      (member) =>
        this.timeSinceAnswer(member) >
        (member.role === 'learner'
          ? LEARNER_REMOVAL_TIMEOUT
          : hasSurplusVoter
            ? REPLACED_VOTER_TIMEOUT
            : voterTimeout),
    );
    if (unresponsive === undefined || own.leadershipDuration() < VOTER_REMOVAL_TIMEOUT) {
      return;
    }
    own.changeMembers(
      members.filter((member) => member !== unresponsive),
      (result) => {
        if (result.ok) {
          log.warn('memberRemoved', {
            replica: unresponsive.name,
            identity: unresponsive.identity,
            reason: 'silent',
          });
        }
      },
    );
  }
}
