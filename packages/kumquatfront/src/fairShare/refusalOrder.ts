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
 * the newcomer's; undefined if the newcomer is to be refused
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
  let selected: Candidate | undefined;
  let selectedKey = keyOf(newcomer.service, newcomer.account);
  for (const candidate of queued) {
    const mayBeRefused = candidate.service === newcomer.service && candidate.rank >= newcomer.rank;
    if (!mayBeRefused || candidate.account === newcomer.account) {
      continue;
    }
    const key = keyOf(candidate.service, candidate.account);
    const isLaterOfSameAccount =
      selected !== undefined &&
      key === selectedKey &&
      (candidate.rank > selected.rank ||
        (candidate.rank === selected.rank && candidate.waited < selected.waited));
    if (key > selectedKey || isLaterOfSameAccount) {
      selected = candidate;
      selectedKey = key;
    }
  }
  return selected;
}
