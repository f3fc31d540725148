/**
 * Membership of the control replicas: founding a cluster, joining one, and replacing a replica whose disk
 * was lost.
 */
import type * as consensus from '../consensus/types.js';
import type * as replica from '../consensus/replica.js';
import * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import type * as timerService from '../kernel/timerService.js';
import * as methods from './methods.js';
import * as voterSpread from './voterSpread.js';

/** What membership is made from. */
export interface MembershipOptions {
  readonly name: string;
  readonly dataCentre: string;
  readonly peerAddress: string;
  /** Peer addresses of every control VM, this one included. */
  readonly control: readonly string[];
  readonly identity: string;
  readonly replica: replica.Replica;
  readonly peers: ports.PeerTransport;
  readonly timers: timerService.TimerService;
  readonly random: ports.Random;
  readonly log: ports.Log;
  /** False where the system has started before: a new replica may only join then. */
  readonly mayFound: boolean;
  /** Losses that the voters must tolerate at once; 2 n + 1 of them are kept where there are as many. */
  readonly toleratedLosses: number;
}

const JOIN_INTERVAL = 500;
const REPAIR_INTERVAL = 200;
const REQUEST_TIMEOUT = 400;
/** A member that answered this recently is alive, and another may not take its name. */
const ALIVE_WITHIN = 5_000;
/** A voter that is silent for this long makes way, where enough others are alive; it joins again on its return. */
const SILENT_VOTER = 3_000;
/** The same where a new replica has caught up to take its place. */
const REPLACED_VOTER = 1_500;
/** A learner that is silent for this long is dropped; it joins again on its return. */
const SILENT_LEARNER = 6_000;
/** A replica that has heard no leader for this long asks whether it is still a member. */
const ASK_MEMBERSHIP_AFTER = 1_500;
/** Entries a learner may lack when it is promoted; it receives them within a heartbeat. */
const PROMOTION_LAG = 16;

/** Who asked to join this recently asks again: six times its pause, as a busy process answers late. */
const JOINING_WITHIN = 6 * JOIN_INTERVAL;

/** True for the former identity of the VM on which a learner runs. */
function isReplaced(member: consensus.Member, learner: consensus.Member): boolean {
  const isSameVm = member.name === learner.name || member.address === learner.address;
  return isSameVm && member.identity !== learner.identity;
}

/** Membership of one replica; see the module comment. */
export class Membership {
  private readonly options: MembershipOptions;
  private joinAskedAt = Number.NEGATIVE_INFINITY;
  private control: readonly string[];
  private toleratesDataCentreLoss = false;

  constructor(options: MembershipOptions) {
    this.options = options;
    this.control = options.control;
    this.serve();
    options.timers.every(
      () => JOIN_INTERVAL,
      () => {
        this.joinOrFound();
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

  /** True where a replica that is no voter yet is about to become one: it asks to join, or receives the log. */
  isGathering(): boolean {
    const { replica: own, timers } = this.options;
    const hasLearner = own
      .status()
      .members.some((member) => member.role === 'learner' && this.silenceOf(member) < SILENT_LEARNER);
    return hasLearner || timers.now() - this.joinAskedAt < JOINING_WITHIN;
  }

  /** Replaces the addresses under which others are looked for. */
  setControl(control: readonly string[]): void {
    this.control = control;
  }

  /** Addresses to ask: those of the settings, and those of every member that is known. */
  private askedAddresses(): readonly string[] {
    const { peerAddress, replica: own } = this.options;
    const known = own.status().members.map((member) => member.address);
    return [...new Set([...this.control, ...known])].filter((address) => address !== peerAddress);
  }

  private joinOrFound(): void {
    const { peers, replica: own } = this.options;
    const lonely = own.silentFor() > ASK_MEMBERSHIP_AFTER;
    if (this.isMember() && !lonely) {
      return;
    }
    const others = this.askedAddresses();
    const answers: methods.HelloAnswer[] = [];
    let open = others.length;
    const decide = (): void => {
      this.decide(answers, others.length);
    };
    if (open === 0) {
      decide();
    }
    for (const address of others) {
      peers.request(address, methods.methods.hello, null, REQUEST_TIMEOUT, (result) => {
        open -= 1;
        if (result.ok) {
          answers.push(result.val as methods.HelloAnswer);
        }
        if (open === 0) {
          decide();
        }
      });
    }
  }

  private decide(answers: readonly methods.HelloAnswer[], asked: number): void {
    const { peerAddress, replica: own, random, identity, name, dataCentre, mayFound } = this.options;
    if (this.isMember()) {
      this.rejoinIfRemoved(answers);
      return;
    }
    const founded = answers.find((answer) => answer.clusterIdentity !== '');
    if (founded !== undefined) {
      this.join(answers);
      return;
    }
    // A replica that lost its disk looks like a new one. Founding while any other is silent could make a
    // second cluster beside the one that the silent replicas belong to; so all must answer, and all be new.
    const first = [...this.control].sort()[0] === peerAddress;
    if (mayFound && answers.length === asked && first && own.status().clusterIdentity === '') {
      this.options.log.info('clusterFounded', { identity });
      own.found(random.identity(), { identity, name, address: peerAddress, dataCentre, role: 'voter' });
    }
  }

  /**
   * A voter that was silent for long was removed by the others, and its own log does not say so: nobody sends
   * it anything any more. A leader that does not list it takes it in again.
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
      own.adopt(answer.clusterIdentity);
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
    this.joinAskedAt = this.options.timers.now();
    const former = status.members.find((member) => member.name === request.name);
    // One address is one process: whoever asks from a member's address under a new identity has replaced it.
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
      member.identity === identity || (progress?.acknowledgedAt ?? -Infinity) > timers.now() - ALIVE_WITHIN
    );
  }

  /**
   * Takes one step towards a full set of voters: a learner that has caught up first displaces the lost
   * identity of its VM, then becomes a voter. The lost one goes first because it can never answer again;
   * counting it would only raise the quorum. Steps are separate, since a majority of the members before
   * each must overlap with one after it.
   */
  private repair(): void {
    const { replica: own, identity } = this.options;
    if (!own.mayLead()) {
      return;
    }
    const { members } = own.status();
    this.noteSpread(members);
    const ready = members.filter((member) => this.hasCaughtUp(member));
    const isShort = this.aliveVoters(members).length < this.wantedVoters;
    const lost = members.find((member) => ready.some((learner) => isReplaced(member, learner)));
    const promoted = voterSpread.promotable(members, ready, isShort);
    const surplus = voterSpread.surplus(members, this.wantedVoters, identity);
    if (lost !== undefined) {
      const others = members.filter((member) => member !== lost);
      this.change(others, lost, 'lostRemoved');
    } else if (promoted !== undefined) {
      this.change(voterSpread.withRole(members, [promoted], 'voter'), promoted, 'promoted');
    } else if (surplus !== undefined) {
      this.change(voterSpread.withRole(members, [surplus], 'learner'), surplus, 'demoted');
    } else {
      this.removeSilent(members);
    }
  }

  private aliveVoters(members: readonly consensus.Member[]): readonly consensus.Member[] {
    return members.filter((member) => member.role === 'voter' && this.silenceOf(member) < REPLACED_VOTER);
  }

  private get wantedVoters(): number {
    return 2 * this.options.toleratedLosses + 1;
  }

  /** True for a learner that lacks next to nothing and answers. */
  private hasCaughtUp(member: consensus.Member): boolean {
    const { replica: own } = this.options;
    const matchIndex = own.progressOf(member.identity)?.matchIndex ?? 0;
    const isNear = matchIndex > 0 && matchIndex + PROMOTION_LAG >= own.status().commitIndex;
    return member.role === 'learner' && isNear && this.silenceOf(member) <= REPLACED_VOTER;
  }

  private change(members: readonly consensus.Member[], changed: consensus.Member, step: string): void {
    const { replica: own, log } = this.options;
    own.changeMembers(members, (result) => {
      if (result.ok) {
        log.info('membersChanged', { replica: changed.name, step });
      }
    });
  }

  private noteSpread(members: readonly consensus.Member[]): void {
    const tolerates = voterSpread.toleratesAnyLoss(members);
    if (tolerates !== this.toleratesDataCentreLoss) {
      this.toleratesDataCentreLoss = tolerates;
      this.options.log.info('voterSpread', { toleratesDataCentreLoss: tolerates });
    }
  }

  private silenceOf(member: consensus.Member): number {
    const { replica: own, identity, timers } = this.options;
    if (member.identity === identity) {
      return 0;
    }
    return timers.now() - (own.progressOf(member.identity)?.acknowledgedAt ?? Number.NEGATIVE_INFINITY);
  }

  /**
   * Removes a member that is silent, one at a time. A voter that is gone for good still raises the quorum:
   * with four voters, one gone, the next loss would stop every change. It goes only where the voters that are
   * alive survive the tolerated losses without it, so removing one that is merely slow costs nothing.
   */
  private removeSilent(members: readonly consensus.Member[]): void {
    const { replica: own, log } = this.options;
    const voters = members.filter((member) => member.role === 'voter');
    const isEnough = this.aliveVoters(members).length >= this.wantedVoters;
    const limit = isEnough ? SILENT_VOTER : Number.POSITIVE_INFINITY;
    const replaced = isEnough && voters.length > this.wantedVoters;
    const silent = members.find(
      (member) =>
        this.silenceOf(member) >
        (member.role === 'learner' ? SILENT_LEARNER : replaced ? REPLACED_VOTER : limit),
    );
    if (silent === undefined || own.leadsFor() < SILENT_VOTER) {
      return;
    }
    own.changeMembers(
      members.filter((member) => member !== silent),
      (result) => {
        if (result.ok) {
          log.warn('memberRemoved', { replica: silent.name, identity: silent.identity, reason: 'silent' });
        }
      },
    );
  }
}
