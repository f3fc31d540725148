/** Engines from listed instances. */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as instanceTestHarness from '../instances/instanceTestHarness.js';
import * as relayTestHarness from '../relay/relayTestHarness.js';
import * as warmUpBounds from '../warmUp/warmUpBounds.js';
import * as engineList from './engineList.js';

const OPTIONS: engineList.EngineListOptions = {
  serviceOf: (name) => ({
    ...{ name, maximumConnections: 10 },
    ...(name === 'llm' && { engine: relayTestHarness.engineTraits }),
  }),
  isEvacuated: (dataCentre) => dataCentre === 'b',
  warmUpTolerance: warmUpBounds.strictTolerance,
};

function recordOf(identity: string, changes = {}): Parameters<typeof engineList.fromInstances>[0][number] {
  return { ...instanceTestHarness.announcement(identity, changes), age: 0, firstAge: 0 };
}

void test.test('engines have the software, the state and the slots that their instances announce', () => {
  const engines = engineList.fromInstances(
    [
      recordOf('a', { softwareVersion: 'v2', slots: 7 }),
      recordOf('b', { softwareVersion: undefined, state: 'leaving', dataCentre: 'b' }),
      recordOf('c', { service: 'app' }),
    ],
    OPTIONS,
  );
  assert.deepEqual(
    engines.map(({ identity, software, draining, evacuated, traits }) => ({
      ...{ identity, software, draining, evacuated, slots: traits.slots },
    })),
    [
      { identity: 'a', software: 'version v2', draining: false, evacuated: false, slots: 7 },
      { identity: 'b', software: 'incarnation b', draining: true, evacuated: true, slots: 24 },
    ],
  );
});
