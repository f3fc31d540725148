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

/** What membership is made from. */
export interface MembershipOptions {
  readonly name: string;
  readonly peerAddress: string;
  /** Peer addresses of every control VM, this one included. */
  readonly control: readonly string[];
  readonly identity: string;
  readonly replica: replica.Replica;
  readonly peers: ports.PeerTransport;
  readonly timers: timerService.TimerService;
  readonly random: ports.Random;
  readonly log: ports.Log;
}

const JOIN_INTERVAL = 500;
const REPAIR_INTERVAL = 200;
const REQUEST_TIMEOUT = 400;
/** A member that answered this recently is alive, and another may not take its name. */
const ALIVE_WITHIN = 5_000;
/** Entries a learner may lack when it is promoted; it receives them within a heartbeat. */
const PROMOTION_LAG = 16;

/** Membership of one replica; see the module comment. */
export class Membership {
  private readonly options: MembershipOptions;

  constructor(options: MembershipOptions) {
    this.options = options;
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

  private joinOrFound(): void {
    const { control, peerAddress, peers } = this.options;
    if (this.isMember()) {
      return;
    }
    const others = control.filter((address) => address !== peerAddress);
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
    const { control, peerAddress, replica: own, random, identity, name } = this.options;
    const founded = answers.find((answer) => answer.clusterIdentity !== '');
    if (founded !== undefined) {
      this.join(answers);
      return;
    }
    // A replica that lost its disk looks like a new one. Founding while any other is silent could make a
    // second cluster beside the one that the silent replicas belong to; so all must answer, and all be new.
    const first = [...control].sort()[0] === peerAddress;
    if (answers.length === asked && first && own.status().clusterIdentity === '') {
      this.options.log.info('clusterFounded', { identity });
      own.found(random.identity(), { identity, name, address: peerAddress, role: 'voter' });
    }
  }

  private join(answers: readonly methods.HelloAnswer[]): void {
    const { peers, name, identity, peerAddress, replica: own, log } = this.options;
    const leader = answers.find((answer) => answer.leaderAddress !== '')?.leaderAddress;
    if (leader === undefined) {
      return;
    }
    const request: methods.JoinRequest = { identity, name, address: peerAddress };
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
    const former = status.members.find((member) => member.name === request.name);
    if (former !== undefined && this.isAlive(former)) {
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
    const { replica: own } = this.options;
    if (!own.mayLead()) {
      return;
    }
    const { members, commitIndex } = own.status();
    for (const learner of members.filter((member) => member.role === 'learner')) {
      const progress = own.progressOf(learner.identity);
      if (
        progress === undefined ||
        progress.matchIndex + PROMOTION_LAG < commitIndex ||
        progress.matchIndex === 0
      ) {
        continue;
      }
      const lost = members.find(
        (member) => member.name === learner.name && member.identity !== learner.identity,
      );
      const next =
        lost === undefined
          ? members.map((member): consensus.Member =>
              member === learner ? { ...member, role: 'voter' } : member,
            )
          : members.filter((member) => member !== lost);
      own.changeMembers(next, (result) => {
        if (result.ok) {
          this.options.log.info('membersChanged', {
            replica: learner.name,
            step: lost === undefined ? 'promoted' : 'lostRemoved',
          });
        }
      });
      return;
    }
  }
}
