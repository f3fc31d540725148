/**
 * What an entry logs of instances: one line for all that an answer of control changed.
 *
 * Pattern: hundreds of entries each see hundreds of instances come and go. A line for each of them made three in four
 * lines of a large fleet's logs, and said where the news came from in none.
 */
import type * as ports from '../kernel/ports.js';
import type * as instanceView from './instanceView.js';

/** Instances of one line at most: some two kilobytes, which a reader and a log collector take well. */
export const INSTANCES_A_LINE = 30;

/** What stands between the parts of an instance that is found: identity, service and address. */
export const PART_SEPARATOR = '|';

function describe({ instance, event }: instanceView.InstanceChange): string {
  const { identity, service, address, rateLimit } = instance;
  if (event === 'rateLimitTold') {
    return [identity, rateLimit?.perSecond ?? 'none'].join(PART_SEPARATOR);
  }
  return event === 'found' ? [identity, service, address].join(PART_SEPARATOR) : identity;
}

function listed(
  changes: readonly instanceView.InstanceChange[],
  event: instanceView.InstanceEvent,
): ports.LogFields {
  const names = changes.filter((change) => change.event === event).map(describe);
  return names.length === 0 ? {} : { [event]: names.join(' ') };
}

/**
 * Writes what changed, in as few lines as keep each of them short.
 *
 * @param log - where it goes
 * @param news - the changes, the replica that told of them and its revisions before and after
 * @example
 * ```ts
 * const view = new instanceView.InstanceView((news) => instanceLog.write(log, news));
 * ```
 */
export function write(log: ports.Log, news: instanceView.ViewNews): void {
  const { source, revisionBefore, revision, changes } = news;
  for (let from = 0; from < changes.length; from += INSTANCES_A_LINE) {
    const part = changes.slice(from, from + INSTANCES_A_LINE);
    log.info('instancesSeen', {
      control: source,
      revisionBefore,
      revision,
      ...listed(part, 'found'),
      ...listed(part, 'leaving'),
      ...listed(part, 'rateLimitTold'),
      ...listed(part, 'gone'),
      ...listed(part, 'replaced'),
    });
  }
}
