/**
 * Logs instance changes of an entry: one line for all changes from one response of control, because a line for each
 * instance would dominate the logs of a large fleet.
 */
import type * as ports from '../kernel/ports.js';
import type * as instanceView from './instanceView.js';

/** Maximum number of instances in one log line; keeps lines to about two kilobytes. */
export const INSTANCES_PER_LINE = 30;

/** Separates the parts of one logged instance, such as identity, service and address. */
export const PART_SEPARATOR = '|';

function formatChange({ instance, event }: instanceView.InstanceChange): string {
  const { identity, service, address, softwareVersion, rateLimit } = instance;
  if (event === 'rateLimitTold') {
    return [identity, rateLimit?.perSecond ?? 'none'].join(PART_SEPARATOR);
  }
  if (event !== 'found') {
    return identity;
  }
  // Encoded, since the version is any text and the parts of the line are separated.
  const version = softwareVersion === undefined ? [] : [encodeURIComponent(softwareVersion)];
  return [identity, service, address, ...version].join(PART_SEPARATOR);
}

function fieldFor(
  changes: readonly instanceView.InstanceChange[],
  event: instanceView.InstanceEvent,
): ports.LogFields {
  const names = changes.filter((change) => change.event === event).map(formatChange);
  return names.length === 0 ? {} : { [event]: names.join(' ') };
}

/**
 * Logs the changes of one update, split into lines of limited length.
 *
 * @param log - the log to write to
 * @param update - the changes, the replica that reported them and its revisions before and after
 * @example
 * ```ts
 * const view = new instanceView.InstanceView((update) => instanceLog.write(log, update));
 * ```
 */
export function write(log: ports.Log, update: instanceView.ViewUpdate): void {
  const { source, revisionBefore, revision, changes } = update;
  for (let from = 0; from < changes.length; from += INSTANCES_PER_LINE) {
    const batch = changes.slice(from, from + INSTANCES_PER_LINE);
    log.info('instancesSeen', {
      control: source,
      revisionBefore,
      revision,
      ...fieldFor(batch, 'found'),
      ...fieldFor(batch, 'leaving'),
      ...fieldFor(batch, 'rateLimitTold'),
      ...fieldFor(batch, 'gone'),
      ...fieldFor(batch, 'replaced'),
    });
  }
}
