/**
 * Selects the request that is refused when the queue is full, so that the backlog of one account does not keep the
 * requests of others out.
 */

/** A request that may be refused. */
export interface RefusalCandidate {
  readonly service: string;
  readonly account: string;
  readonly rank: number;
  /** Milliseconds for which it has waited; of one account, the latest arrival is refused first. */
  readonly waited: number;
}

/**
 * Selects the queued request to refuse in favour of a new one.
 *
 * @param queued - requests in the queue
 * @param newcomer - the new request
 * @param keyOf - sort key of an account, highest furthest above its share
 * @returns a request of the same service that is not more urgent and whose account is further above its share than
 * the newcomer's, or equally far with more requests in the queue; undefined if the newcomer is to be refused
 * @example
 * ```ts
 * refusalOrder.select(queued, newcomer, (service, account) => shares.furthestBelowShare(service, account));
 * ```
 */
export function select<Candidate extends RefusalCandidate>(
  queued: readonly Candidate[],
  newcomer: RefusalCandidate,
  keyOf: (service: string, account: string) => number,
): Candidate | undefined {
  const { service, account: ownAccount, rank } = newcomer;
  const byAccount = new Map<string, Candidate[]>();
  for (const candidate of queued.filter((other) => other.service === service && other.rank >= rank)) {
    const candidates = byAccount.get(candidate.account);
    if (candidates === undefined) {
      byAccount.set(candidate.account, [candidate]);
    } else {
      candidates.push(candidate);
    }
  }
  let selected = ownAccount;
  let selectedKey = keyOf(service, ownAccount);
  let selectedCount = (byAccount.get(ownAccount)?.length ?? 0) + 1;
  for (const [account, { length }] of byAccount) {
    const key = keyOf(service, account);
    if (key > selectedKey || (key === selectedKey && length > selectedCount)) {
      selected = account;
      selectedKey = key;
      selectedCount = length;
    }
  }
  return selected === ownAccount ? undefined : leastUrgentAndLatest(byAccount.get(selected) ?? []);
}

function leastUrgentAndLatest<Candidate extends RefusalCandidate>(
  candidates: readonly Candidate[],
): Candidate | undefined {
  return [...candidates].sort((left, right) => right.rank - left.rank || left.waited - right.waited)[0];
}
