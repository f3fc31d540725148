/**
 * Safeguards of evacuated data centres.
 */
import type * as safeguards from './safeguards.js';

/** Each with what must fail without it. */
export const dataCentreSafeguards: readonly safeguards.Safeguard[] = [
  {
    name: 'an evacuation is part of snapshots',
    file: 'agreedState/agreedState.js',
    find: '...(this.heldEvacuations.revision === 0 ? {} : { evacuations: this.heldEvacuations }),',
    replace: '',
    scenario: 'spec:trafficControl/evacuations',
  },
  {
    name: 'an entry never takes an older state of the evacuated data centres',
    file: 'trafficControl/controlWatch.js',
    find: 'if (evacuations !== undefined && evacuations.revision > this.evacuationRevision) {',
    replace: 'if (evacuations !== undefined) {',
    scenario: 'spec:trafficControl/evacuations',
  },
  {
    name: 'every replica tells of evacuated data centres at once',
    file: 'trafficControl/openWatches.js',
    find: 'const newEvacuation = request.evacuationRevision < state.evacuationRevision;',
    replace: 'const newEvacuation = false;',
    scenario: 'spec:trafficControl/evacuations',
  },
  {
    name: 'an entry chooses no upstream in an evacuated data centre',
    file: 'instances/instanceView.js',
    find: "instance.state === 'ready' && !this.isEvacuated(instance));",
    replace: "instance.state === 'ready');",
    scenario: 'spec:trafficEntry/evacuatedDataCentre',
  },
  {
    name: 'the coordinator places nothing in an evacuated data centre',
    file: 'placement/enginePool.js',
    find: 'engine.leaving || engine.evacuated || excluded',
    replace: 'engine.leaving || excluded',
    scenario: 'spec:placement/evacuation',
  },
  {
    name: 'the gate withholds what was chosen before the evacuation was known',
    file: 'quarantine/guardedUpstreams.js',
    find: 'if (isEvacuated(call.instance)) {',
    replace: 'if (false) {',
    scenario: 'spec:quarantine/guardedUpstreams',
  },
];
