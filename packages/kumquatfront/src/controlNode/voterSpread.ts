/**
 * Selects membership changes that spread the control voters over data centres, so that a majority survives the loss
 * of any one data centre.
 */
import type * as consensus from '../consensus/types.js';

function votersOf(members: readonly consensus.Member[]): readonly consensus.Member[] {
  return members.filter((member) => member.role === 'voter');
}

/** Number of voters in each data centre. */
function countByDataCentre(voters: readonly consensus.Member[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const { dataCentre = '' } of voters) {
    counts.set(dataCentre, (counts.get(dataCentre) ?? 0) + 1);
  }
  return counts;
}

/**
 * Returns whether a majority of the voters remains after the loss of any one data centre.
 *
 * @param members - all members, including learners
 * @returns false also if all voters are in one data centre
 * @example
 * ```ts
 * voterSpread.toleratesAnyDataCentreLoss(replica.status().members);
 * ```
 */
export function toleratesAnyDataCentreLoss(members: readonly consensus.Member[]): boolean {
  const voters = votersOf(members);
  const largest = Math.max(0, ...countByDataCentre(voters).values());
  return voters.length - largest > voters.length / 2;
}

/**
 * Changes the role of some members.
 *
 * @param changed - members whose role changes
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
 * Finds a learner to promote without losing the tolerance of a data centre loss: an additional voter in the wrong
 * data centre may remove it. Since members change one at a time, a temporary loss of the tolerance is accepted if
 * promoting all ready learners restores it.
 *
 * @param members - current members
 * @param ready - learners that have caught up
 * @param lacksVoters - true if fewer voters respond than are required; any data centre is accepted then
 * @returns the learner; undefined if none should be promoted
 * @example
 * ```ts
 * const learner = voterSpread.findPromotableLearner(members, ready, responsiveVoters < 5);
 * ```
 */
export function findPromotableLearner(
  members: readonly consensus.Member[],
  ready: readonly consensus.Member[],
  lacksVoters: boolean,
): consensus.Member | undefined {
  const toleratesAfter = (learners: readonly consensus.Member[]): boolean =>
    toleratesAnyDataCentreLoss(withRole(members, learners, 'voter'));
  const candidate = ready.find((learner) => toleratesAfter([learner])) ?? ready[0];
  if (candidate === undefined) {
    return undefined;
  }
  const isHarmless =
    !toleratesAnyDataCentreLoss(members) || toleratesAfter([candidate]) || toleratesAfter(ready);
  return lacksVoters || isHarmless ? candidate : undefined;
}

/**
 * Finds a voter to demote, so that the remaining voters tolerate the loss of any data centre.
 *
 * Guards against a surplus voter left by a repair: with three of six voters in one data centre, its loss stops every
 * change although enough replicas run.
 *
 * @param members - current members
 * @param requiredVoters - minimum number of voters to keep
 * @param retainedIdentity - identity of a voter that must not be demoted: the leader
 * @returns the voter; undefined if none should be demoted
 * @example
 * ```ts
 * const voter = voterSpread.findSurplusVoter(members, 5, identity);
 * ```
 */
export function findSurplusVoter(
  members: readonly consensus.Member[],
  requiredVoters: number,
  retainedIdentity: string,
): consensus.Member | undefined {
  const voters = votersOf(members);
  if (toleratesAnyDataCentreLoss(members) || voters.length <= requiredVoters) {
    return undefined;
  }
  const candidates = voters.filter((voter) => voter.identity !== retainedIdentity);
  return candidates.find((voter) => toleratesAnyDataCentreLoss(withRole(members, [voter], 'learner')));
}
