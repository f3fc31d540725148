/**
 * Public interface of the package: functions that run the daemons within another program.
 */
export * as controlDaemon from './controlDaemon.js';
export * as entryDaemon from './entryDaemon.js';
