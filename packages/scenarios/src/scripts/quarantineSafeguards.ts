/**
 * Safeguards of the quarantine of requests that crash their upstreams.
 */
import type * as types from './types.js';

const SYSTEM = 'spec:quarantine/quarantine';
const REPEATED = 'spec:quarantine/repeatedCrashes';
const LEDGER = 'spec:quarantine/crashRecordStore';
const DETECTOR = 'spec:quarantine/crashDetector';
const DIGEST = 'spec:quarantine/contentDigest';

/** Safeguards, each with the scenario or spec that must fail without it. */
export const quarantineSafeguards: readonly types.Safeguard[] = [
  {
    name: 'no quarantined request is sent to an upstream',
    file: 'quarantine/crashRecordStore.js',
    find: "return 'quarantined';",
    replace: "return 'suspected';",
    scenario: REPEATED,
  },
  {
    name: 'a quarantined request is rejected before it is placed',
    file: 'relay/trafficRelay.js',
    find: 'if (!this.options.context.quarantine.admit(request, causes)) {',
    replace: 'if (false) {',
    scenario: SYSTEM,
  },
  {
    name: 'a running request is cancelled when its content is quarantined',
    file: 'relay/streamExchange.js',
    find: 'if (this.active === undefined || this.active.eventCount === 0) {',
    replace: 'if (false) {',
    scenario: SYSTEM,
  },
  {
    name: 'a suspected content is retried only after the connection check of its upstream',
    file: 'quarantine/guardedUpstreams.js',
    find: "quarantineState.verdictOf(this.causes) === 'free'",
    replace: 'true',
    scenario: 'spec:quarantine/guardedUpstreams',
  },
  {
    name: 'crashes are reported to the control replicas',
    file: 'quarantine/quarantine.js',
    find: "metrics.count('quarantine.crashes', 1, { sign });\n        report(changed);",
    replace: "metrics.count('quarantine.crashes', 1, { sign });",
    scenario: REPEATED,
  },
  {
    name: 'entries receive new crash records immediately',
    file: 'trafficControl/openWatches.js',
    find: 'const newCrashRecords = request.caseRevision < state.crashRecordRevision;',
    replace: 'const newCrashRecords = false;',
    scenario: SYSTEM,
  },
  {
    name: 'crash records are reported again to a restarted replica',
    file: 'trafficEntry/trafficEntry.js',
    find: 'reporter.reportTo(address, quarantineState.trackedCauses());',
    replace: '',
    scenario: SYSTEM,
  },
  {
    name: 'a quarantine is replicated among the control replicas',
    file: 'quarantine/quarantineRegistry.js',
    find: "this.proposeThrottled({ type: 'quarantine', content });",
    replace: '',
    scenario: SYSTEM,
  },
  {
    name: 'a complete response voids the crash records of its content',
    file: 'quarantine/crashRecordStore.js',
    find: 'if (at <= stored.voidedAt) {',
    replace: 'if (false) {',
    scenario: LEDGER,
  },
  {
    name: 'a crash that a quarantined content explains counts against no other content',
    file: 'quarantine/crashRecordStore.js',
    find: '!this.isExplained(instance, stored)',
    replace: 'true',
    scenario: LEDGER,
  },
  {
    name: 'a quarantine is lifted when too few of its crash records remain valid',
    file: 'quarantine/crashRecordStore.js',
    find: 'stored.quarantinedAt !== undefined && stored.crashes.size >= needed;',
    replace: 'stored.quarantinedAt !== undefined;',
    scenario: LEDGER,
  },
  {
    name: 'the number of crash records is bounded',
    file: 'quarantine/crashRecordStore.js',
    find: 'if (this.records.size <= MAXIMUM_RECORDS) {',
    replace: 'if (true) {',
    scenario: LEDGER,
  },
  {
    name: 'an instance that accepts connections has not crashed',
    file: 'quarantine/crashDetector.js',
    find: 'this.discardBrokenRuns(identity);',
    replace: '',
    scenario: DETECTOR,
  },
  {
    name: 'the exit of an instance after its termination notice counts against no content',
    file: 'quarantine/crashDetector.js',
    find: 'run === undefined || this.options.isTerminating(identity)',
    replace: 'run === undefined',
    scenario: DETECTOR,
  },
  {
    name: 'the wait for a connection check is bounded',
    file: 'quarantine/crashDetector.js',
    find: "call('unknown');",
    replace: '',
    scenario: DETECTOR,
  },
  {
    name: 'the account is part of the content digest',
    file: 'quarantine/contentDigest.js',
    find: 'fromParts([method, host, path, account], body)',
    replace: 'fromParts([method, host, path], body)',
    scenario: DIGEST,
  },
  {
    name: "entries of the product's own interface check the quarantine before sending",
    file: 'quarantine/quarantine.js',
    find: 'const contentVerdict = this.store.verdictOf(content);',
    replace: "const contentVerdict = 'free';",
    scenario: 'stream-ends-its-engines',
  },
  {
    name: "entries of the product's own interface publish crash records to each other",
    file: 'directory/directory.js',
    find: 'this.push([this.store.publish(name, incarnation, keyOf(value), value, this.now())]);\n    }\n    /** Applies an update',
    replace: '}\n    /** Applies an update',
    scenario: 'stream-ends-its-engines',
  },
];
