/**
 * Safeguards of evacuated data centres, cold upstreams and homes.
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
    name: 'an entry of the own interface gives an evacuated data centre nothing',
    file: 'directory/upstreamTable.js',
    find: 'return !record.leaving && !this.evacuated.has(record.announcement.dataCentre);',
    replace: 'return !record.leaving;',
    scenario: 'data-centre-evacuated',
  },
  {
    name: 'an entry that starts learns of evacuated data centres with its first answer',
    file: 'configuration/configurationReplica.js',
    find: 'this.takeEvacuations(answer);',
    replace: '',
    scenario: 'data-centre-evacuated',
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
  {
    name: 'restored upstreams count as cold until they can have warmed up',
    file: 'trafficControl/trafficControl.js',
    find: 'for (const dataCentre of this.evacuated.filter((former) => !evacuated.includes(former))) {',
    replace: 'for (const dataCentre of []) {',
    scenario: 'spec:trafficEntry/evacuatedDataCentre',
  },
  {
    name: 'an entry chooses a cold upstream within its share only',
    file: 'relay/localChoice.js',
    find: 'return borne === undefined || coldShare.maySend(instance.identity, borne, now);',
    replace: 'return true;',
    scenario: 'spec:trafficEntry/evacuatedDataCentre',
  },
  {
    name: 'the coordinator places on a cold engine what it bears',
    file: 'placement/enginePool.js',
    find: ' || !bearsMore',
    replace: '',
    scenario: 'spec:placement/coordinator',
  },
  {
    name: 'an entry keeps its share while it hears of fewer others',
    file: 'warmUp/entryShare.js',
    find: 'entries >= this.most.entries || isOld',
    replace: 'true',
    scenario: 'spec:warmUp/warmUp',
  },
  {
    name: 'an instance that becomes cold again is told at once',
    file: 'instances/instanceTable.js',
    find: "this.advance(becameCold || state === 'leaving');",
    replace: "this.advance(state === 'leaving');",
    scenario: 'spec:instances/warmUp',
  },
  {
    name: 'a voter too many in one data centre steps back',
    file: 'controlNode/voterSpread.js',
    find: 'if (bearsAnyLoss(members) || voters.length <= wanted) {',
    replace: 'if (true) {',
    scenario: 'spec:trafficControl/dataCentreLoss',
  },
  {
    name: 'a replica that would spoil the spread of voters stays a learner',
    file: 'controlNode/voterSpread.js',
    find: 'return isShort || isHarmless ? best : undefined;',
    replace: 'return best;',
    scenario: 'spec:trafficControl/dataCentreLoss',
  },
  {
    name: 'the gate keeps a request out of regions where it may not run',
    file: 'quarantine/guardedUpstreams.js',
    find: 'if (!residency.allows(call.instance.dataCentre, call.dataCentres)) {',
    replace: 'if (false) {',
    scenario: 'spec:quarantine/guardedUpstreams',
  },
  {
    name: 'an entry chooses among upstreams at home only',
    file: 'relay/exchangeContext.js',
    find: 'return dataCentres === undefined',
    replace: 'return true',
    scenario: 'spec:traffic/residency',
  },
  {
    name: 'a caller is given entries through which its bodies may pass',
    file: 'trafficControl/entryDirectory.js',
    find: 'const usable = passed.length > 0 ? passed : ready;',
    replace: 'const usable = ready;',
    scenario: 'spec:trafficControl/entryDirectory',
  },
];
