/** Randomized soak test of the real processes, for programs that start runs themselves. */
export * as soakRun from './soakRun.js';
