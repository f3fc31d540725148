/**
 * Safeguards of admission and placement under heavy load.
 */
import type * as types from './types.js';

/** Safeguards, each with the scenario or spec that must fail without it. */
export const heavyLoadSafeguards: readonly types.Safeguard[] = [
  {
    name: 'prompts are kept away from engines where they would make running streams late',
    file: 'streamPauses/interference.js',
    find: 'late * LATE_STREAM_COST + (isExposed ? EXPOSED_STREAM_COST : 0)',
    replace: '0',
    scenario: 'spec:placement/streamPauses',
  },
  {
    name: 'the pause of an engine is forecast from the longest observations',
    file: 'streamPauses/pauseForecast.js',
    find: 'return observed > previous',
    replace: 'return false',
    scenario: 'spec:streamPauses/streamPauses',
  },
];
