/**
 * The daemons as functions, for programs that run them in their own process.
 */
export * as controlDaemon from './controlDaemon.js';
export * as entryDaemon from './entryDaemon.js';
