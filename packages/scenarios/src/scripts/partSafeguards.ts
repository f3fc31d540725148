/**
 * Safeguards of the quarantine of parts of prompts that crash upstreams.
 */
import type * as types from './types.js';

const SYSTEM = 'spec:quarantine/promptParts';
const VERDICTS = 'spec:quarantine/partVerdicts';

/** Safeguards, each with the spec that must fail without it. */
export const partSafeguards: readonly types.Safeguard[] = [
  {
    name: 'crashes are recorded for the parts of prompts',
    file: 'quarantine/quarantine.js',
    find: "if (!hadEvent && sign !== 'fellSilent') {",
    replace: 'if (false) {',
    scenario: SYSTEM,
  },
  {
    name: 'an event clears the parts of its prompt',
    file: 'quarantine/quarantine.js',
    find: "this.voidCrashes(parts, 'event');",
    replace: '',
    scenario: SYSTEM,
  },
  {
    name: 'requests with a quarantined part are not sent',
    file: 'quarantine/quarantine.js',
    find: 'const partState = this.partStateOf(parts);',
    replace: 'const partState = undefined;',
    scenario: SYSTEM,
  },
  {
    name: 'a part that was there at fewer crashes than another is not held',
    file: 'quarantine/partVerdicts.js',
    find: 'if (isExplained && !record.imposed) {',
    replace: 'if (false) {',
    scenario: VERDICTS,
  },
  {
    name: 'only a request with all companions of a part is known to crash',
    file: 'quarantine/quarantine.js',
    find: "verdict.state === 'quarantined' && hasCompanions",
    replace: "verdict.state === 'quarantined'",
    scenario: SYSTEM,
  },
  {
    name: 'crashes at the same moment count once',
    file: 'quarantine/partVerdicts.js',
    find: 'if (at - startedAt > COMMON_CAUSE_WINDOW) {',
    replace: 'if (true) {',
    scenario: VERDICTS,
  },
  {
    name: 'repetitions of one request are no evidence against its parts',
    file: 'quarantine/partVerdicts.js',
    find: 'new Set(known.map(({ content }) => content)).size > 1',
    replace: 'true',
    scenario: VERDICTS,
  },
  {
    name: 'a part that was sound shortly before needs more crashes',
    file: 'quarantine/partVerdicts.js',
    find: 'isRecentlyHarmless(known, harmlessAt) ? INCIDENTS_IF_RECENTLY_HARMLESS : INCIDENTS_NEEDED',
    replace: 'INCIDENTS_NEEDED',
    scenario: VERDICTS,
  },
  {
    name: 'a part beside which other upstreams crashed is on trial first',
    file: 'quarantine/partVerdicts.js',
    find: 'hasOtherCrashes(record, others, allCrashes) ? INCIDENTS_DESPITE_OTHERS : INCIDENTS_NEEDED',
    replace: 'INCIDENTS_NEEDED',
    scenario: VERDICTS,
  },
  {
    name: 'single requests are tried after a while',
    file: 'quarantine/trials.js',
    find: 'this.granted.add(request);',
    replace: '',
    scenario: SYSTEM,
  },
  {
    name: 'entries tell each other of crashes while no control replica answers',
    file: 'quarantine/crashReporter.js',
    find: 'this.reportToEntries(contents);\n            contents.forEach',
    replace: 'contents.forEach',
    scenario: SYSTEM,
  },
  {
    name: 'a lift of an operator reaches all replicas',
    file: 'trafficControl/quarantineControl.js',
    find: 'this.reporter.reportToAll([cause]);',
    replace: '',
    scenario: SYSTEM,
  },
  {
    name: 'processes keep the same run of those on one upstream',
    file: 'quarantine/crashRecordStore.js',
    find: 'known !== undefined && content < known.content',
    replace: 'false',
    scenario: VERDICTS,
  },
];
