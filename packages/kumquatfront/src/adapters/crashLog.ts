/**
 * Logs what ends a process, so that its log names the cause and not only its standard error.
 */
import type * as ports from '../kernel/ports.js';

/** Maximum length of the logged stack. */
const MAXIMUM_STACK_LENGTH = 2_000;

/**
 * Logs each uncaught error of this process. The process still ends: the state that an uncaught error leaves behind is
 * not known, and its peers and callers recover from a restart.
 *
 * @param log - log of the process
 * @example
 * ```ts
 * crashLog.install(log); // level=error event=processCrashed reason="..." stack="..."
 * ```
 */
export function install(log: ports.Log): void {
  process.on('uncaughtExceptionMonitor', (error: unknown, origin) => {
    const reason = error instanceof Error ? error.message : String(error);
    const stack = error instanceof Error ? error.stack?.slice(0, MAXIMUM_STACK_LENGTH) : undefined;
    log.error('processCrashed', { origin, reason, stack });
  });
}
