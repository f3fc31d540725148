/** The soak of real processes, for programs that play runs of their own. */
export * as soakRun from './soakRun.js';
