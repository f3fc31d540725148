/**
 * Safeguards that keep requests which end upstreams away from them.
 */
import type * as types from './types.js';

const SYSTEM = 'spec:quarantine/quarantine';
const REPEATED = 'spec:quarantine/repeatedCrashes';
const LEDGER = 'spec:quarantine/crashRecordStore';
const DETECTOR = 'spec:quarantine/crashDetector';
const DIGEST = 'spec:quarantine/contentDigest';

/** Each with the spec or scenario that must fail without it. */
export const quarantineSafeguards: readonly types.Safeguard[] = [
  {
    name: 'nothing quarantined passes the gate of an entry',
    file: 'quarantine/crashRecordStore.js',
    find: "return 'quarantined';",
    replace: "return 'suspected';",
    scenario: REPEATED,
  },
  {
    name: 'a quarantined request is turned away before it is placed',
    file: 'relay/trafficRelay.js',
    find: "if (this.options.context.quarantine.verdictOf(content) === 'quarantined') {",
    replace: 'if (false) {',
    scenario: SYSTEM,
  },
  {
    name: 'a run that is under way at the third end is cancelled',
    file: 'relay/streamExchange.js',
    find: 'if (this.active === undefined || this.active.eventCount === 0) {',
    replace: 'if (false) {',
    scenario: SYSTEM,
  },
  {
    name: 'a suspected content is sent on only once its upstream was checked',
    file: 'quarantine/guardedUpstreams.js',
    find: "quarantineState.verdictOf(this.content) === 'free'",
    replace: 'true',
    scenario: SYSTEM,
  },
  {
    name: 'control replicas are told',
    file: 'quarantine/quarantine.js',
    find: "metrics.count('quarantine.crashes', 1, { sign });\n        report(content);",
    replace: "metrics.count('quarantine.crashes', 1, { sign });",
    scenario: REPEATED,
  },
  {
    name: 'entries are told of cases at once',
    file: 'trafficControl/openWatches.js',
    find: 'const newCrashRecords = request.caseRevision < state.crashRecordRevision;',
    replace: 'const newCrashRecords = false;',
    scenario: SYSTEM,
  },
  {
    name: 'a replica that has started is told again',
    file: 'trafficEntry/trafficEntry.js',
    find: 'reporter.reportTo(address, quarantineState.trackedContents());',
    replace: '',
    scenario: SYSTEM,
  },
  {
    name: 'replicas agree on a quarantine',
    file: 'quarantine/quarantineRegistry.js',
    find: "this.proposeThrottled({ type: 'quarantine', content });",
    replace: '',
    scenario: SYSTEM,
  },
  {
    name: 'an answer voids what was held',
    file: 'quarantine/crashRecordStore.js',
    find: 'if (at <= stored.voidedAt) {',
    replace: 'if (false) {',
    scenario: LEDGER,
  },
  {
    name: 'an end is explained by one content',
    file: 'quarantine/crashRecordStore.js',
    find: '!this.isExplained(instance, stored)',
    replace: 'true',
    scenario: LEDGER,
  },
  {
    name: 'a quarantine rests on ends that stand',
    file: 'quarantine/crashRecordStore.js',
    find: 'const isStillJustified = wasQuarantined && stored.crashes.size >= needed;',
    replace: 'const isStillJustified = wasQuarantined;',
    scenario: LEDGER,
  },
  {
    name: 'cases are bounded',
    file: 'quarantine/crashRecordStore.js',
    find: 'if (this.records.size <= MAXIMUM_RECORDS) {',
    replace: 'if (true) {',
    scenario: LEDGER,
  },
  {
    name: 'an instance that accepts connections has not ended',
    file: 'quarantine/crashDetector.js',
    find: 'this.discardBrokenRuns(identity);',
    replace: '',
    scenario: DETECTOR,
  },
  {
    name: 'the end of an instance that gave notice counts against nobody',
    file: 'quarantine/crashDetector.js',
    find: 'run === undefined || this.options.isTerminating(identity)',
    replace: 'run === undefined',
    scenario: DETECTOR,
  },
  {
    name: 'nobody waits long for a check',
    file: 'quarantine/crashDetector.js',
    find: 'const cancel = timers.after(MAXIMUM_CHECK_WAIT, call);',
    replace: 'const cancel = () => undefined;',
    scenario: DETECTOR,
  },
  {
    name: 'the account is part of the content',
    file: 'quarantine/contentDigest.js',
    find: 'fromParts([method, host, path, account], body)',
    replace: 'fromParts([method, host, path], body)',
    scenario: DIGEST,
  },
  {
    name: 'entries of the own interface pass the gate',
    file: 'entryNode/guardedPlacement.js',
    find: 'return this.options.quarantine.verdictOf(this.options.content);',
    replace: "return 'free';",
    scenario: 'stream-ends-its-engines',
  },
  {
    name: 'entries of the own interface tell each other',
    file: 'directory/directory.js',
    find: 'this.push([this.store.publish(name, incarnation, keyOf(value), value, this.now())]);\n    }\n    /** Applies an update',
    replace: '}\n    /** Applies an update',
    scenario: 'stream-ends-its-engines',
  },
];
