/**
 * How the voters of control are spread over data centres, and which change of the members keeps a majority that outlives
 * the loss of any one of them.
 */
import type * as consensus from '../consensus/types.js';

function votersOf(members: readonly consensus.Member[]): readonly consensus.Member[] {
  return members.filter((member) => member.role === 'voter');
}

/** Voters of each data centre. */
function countByDataCentre(voters: readonly consensus.Member[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const { dataCentre = '' } of voters) {
    counts.set(dataCentre, (counts.get(dataCentre) ?? 0) + 1);
  }
  return counts;
}

/**
 * Tells whether the voters outside any one data centre are a majority.
 *
 * @param members - members, learners among them
 * @returns false too where all voters are in one data centre
 * @example
 * ```ts
 * voterSpread.toleratesAnyLoss(replica.status().members);
 * ```
 */
export function toleratesAnyLoss(members: readonly consensus.Member[]): boolean {
  const voters = votersOf(members);
  const largest = Math.max(0, ...countByDataCentre(voters).values());
  return voters.length - largest > voters.length / 2;
}

/**
 * Gives some members another role.
 *
 * @param members - all members
 * @param changed - those that get the role
 * @param role - the role
 * @returns all members, in the same order
 * @example
 * ```ts
 * voterSpread.withRole(members, [learner], 'voter');
 * ```
 */
export function withRole(
  members: readonly consensus.Member[],
  changed: readonly consensus.Member[],
  role: consensus.MemberRole,
): readonly consensus.Member[] {
  return members.map((member) => (changed.includes(member) ? { ...member, role } : member));
}

/**
 * Finds a learner to make a voter, where that does no harm: of voters that tolerate the loss of any data centre one more in
 * the wrong place may make a set that does not. Members change one at a time, so a set on the way may be such one, if
 * the learners that are ready now end it.
 *
 * @param members - members as they are
 * @param ready - learners that have caught up
 * @param isShort - true where fewer voters are alive than there must be, wherever they are
 * @returns the learner; undefined where none is to be made a voter
 * @example
 * ```ts
 * const learner = voterSpread.promotable(members, ready, aliveVoters < 5);
 * ```
 */
export function promotable(
  members: readonly consensus.Member[],
  ready: readonly consensus.Member[],
  isShort: boolean,
): consensus.Member | undefined {
  const toleratesAfter = (learners: readonly consensus.Member[]): boolean =>
    toleratesAnyLoss(withRole(members, learners, 'voter'));
  const best = ready.find((learner) => toleratesAfter([learner])) ?? ready[0];
  if (best === undefined) {
    return undefined;
  }
  const isHarmless = !toleratesAnyLoss(members) || toleratesAfter([best]) || toleratesAfter(ready);
  return isShort || isHarmless ? best : undefined;
}

/**
 * Finds a voter to make a learner, so that the others tolerate the loss of any data centre, where they do not now.
 *
 * Failure: a repair has put another replica into a data centre that held two already. With the replica that was missed
 * back in its own, three of six voters are in one place; its loss stops every change although enough others run.
 *
 * @param members - members as they are
 * @param wanted - voters that must stay
 * @param spared - identity of a member that is left a voter: the leader
 * @returns the voter; undefined where none is to step back
 * @example
 * ```ts
 * const voter = voterSpread.surplus(members, 5, identity);
 * ```
 */
export function surplus(
  members: readonly consensus.Member[],
  wanted: number,
  spared: string,
): consensus.Member | undefined {
  const voters = votersOf(members);
  if (toleratesAnyLoss(members) || voters.length <= wanted) {
    return undefined;
  }
  const candidates = voters.filter((voter) => voter.identity !== spared);
  return candidates.find((voter) => toleratesAnyLoss(withRole(members, [voter], 'learner')));
}
