/**
 * Safeguards of the delivery of traffic configurations to entries.
 */
import type * as types from './types.js';

const CONTROL = 'spec:trafficControl/trafficControl';
const DELIVERY = 'spec:trafficControl/configurationDelivery';
const PACKAGES = 'spec:configurationTransfer/packages';
const REQUESTS = 'spec:trafficControl/trafficConfigurationFetcher';
const SUPERSEDED = 'spec:trafficEntry/supersededConfiguration';
const LARGE_ENTRIES = 'spec:consensus/largeEntries';
const PAGES = 'spec:instances/pages';
const LARGE_UPDATES = 'spec:trafficControl/largeUpdates';
const FETCHER = 'trafficControl/trafficConfigurationFetcher.js';

/** Safeguards, each with the spec that must fail without it. */
export const configurationDeliverySafeguards: readonly types.Safeguard[] = [
  {
    name: 'configurations are fetched at a limited rate',
    file: FETCHER,
    find: 'const PACKAGE_INTERVAL = 200;',
    replace: 'const PACKAGE_INTERVAL = 0;',
    scenario: CONTROL,
  },
  {
    name: 'a piece that does not arrive is requested from another replica',
    file: FETCHER,
    find: 'this.scheduleNext(HEDGE_DELAY);',
    replace: '',
    scenario: REQUESTS,
  },
  {
    name: 'a request that was answered or has timed out is repeated if necessary',
    file: FETCHER,
    find: 'this.pending.delete(address);',
    replace: '',
    scenario: REQUESTS,
  },
  {
    name: 'a package continues where it was interrupted',
    file: FETCHER,
    find: '...(fetch.receiver !== undefined && {',
    replace: '...(false && {',
    scenario: DELIVERY,
  },
  {
    name: 'a package that no replica can continue is given up',
    file: FETCHER,
    find: 'piece.offset === 0 && this.shouldReplace(fetch, piece)',
    replace: 'fetch.receiver === undefined',
    scenario: REQUESTS,
  },
  {
    name: 'a complete configuration is requested after changes that do not apply',
    file: FETCHER,
    find: 'base: this.isBaseUsable ? this.versionInForce : 0',
    replace: 'base: this.versionInForce',
    scenario: REQUESTS,
  },
  {
    name: 'an entry that has a recent version receives only the changes',
    file: 'configurationTransfer/packagePublisher.js',
    find: 'this.packageFor(request.base, newest.version) ??',
    replace: '',
    scenario: DELIVERY,
  },
  {
    name: 'pieces become shorter while they do not arrive in time',
    file: 'trafficControl/pieceLength.js',
    find: 'this.length / 2',
    replace: 'this.length',
    scenario: DELIVERY,
  },
  {
    name: 'changes are applied only to the text that they were computed from',
    file: 'configurationTransfer/transferPackage.js',
    find: 'digestOf(text) === result ? text : undefined',
    replace: 'text',
    scenario: PACKAGES,
  },
  {
    name: 'an entry stops acting on a configuration that was superseded too long ago',
    file: 'relay/trafficRelay.js',
    find: 'this.options.isSuperseded?.() === true',
    replace: 'false',
    scenario: SUPERSEDED,
  },
  {
    name: 'an entry that lacks a configuration is not returned to callers',
    file: 'trafficEntry/trafficEntry.js',
    find: "this.watch.isSuperseded ? 'superseded' : 'ready'",
    replace: "'ready'",
    scenario: SUPERSEDED,
  },
  {
    name: 'an entry without control serves on with the configuration that it has',
    file: 'trafficControl/supersededCheck.js',
    find: 'now - this.lastAnswerAt < CONTACT_TIMEOUT',
    replace: 'true',
    scenario: SUPERSEDED,
  },
  {
    name: 'an entry that hears of an old change has time to fetch it',
    file: 'trafficControl/acceptedVersions.js',
    find: 'const MINIMUM_FETCH_TIME = 800;',
    replace: 'const MINIMUM_FETCH_TIME = 0;',
    scenario: SUPERSEDED,
  },
  {
    name: 'a log entry in flight is not sent again when an earlier message is answered',
    file: 'consensus/leadership.js',
    find: 'message.round >= peer.inFlight.round',
    replace: 'true',
    scenario: LARGE_ENTRIES,
  },
  {
    name: 'a large log entry has more time before it is sent again',
    file: 'consensus/leadership.js',
    find: '+ inFlight.bytes / MINIMUM_REPLICATION_RATE',
    replace: '',
    scenario: LARGE_ENTRIES,
  },
  {
    name: 'one piece of a snapshot is in flight at a time',
    file: 'consensus/leadership.js',
    find: 'if (!this.mayTransfer(peer)) {',
    replace: 'if (false) {',
    scenario: LARGE_ENTRIES,
  },
  {
    name: 'the log entries in one message have a limited size',
    file: 'consensus/logStore.js',
    find: 'count > 0 && bytes + size > maximumBytes',
    replace: 'false',
    scenario: LARGE_ENTRIES,
  },
  {
    name: 'a snapshot is taken when the log has become large',
    file: 'consensus/applier.js',
    find: 'store.entriesSize > MAXIMUM_LOG_BYTES',
    replace: 'false',
    scenario: LARGE_ENTRIES,
  },
  {
    name: 'a configuration that is under way is not proposed again',
    file: 'trafficControl/operatorCalls.js',
    find: 'if (waiting !== undefined) {',
    replace: 'if (false) {',
    scenario: CONTROL,
  },
  {
    name: 'a version whose proposal has failed can be proposed again',
    file: 'trafficControl/operatorCalls.js',
    find: 'this.proposed.delete(version);',
    replace: '',
    scenario: CONTROL,
  },
  {
    name: 'instances on a later page stay listed until the last page has arrived',
    file: 'instances/instanceView.js',
    find: 'source.listing === undefined);',
    replace: 'true);',
    scenario: PAGES,
  },
  {
    name: 'the list of a large fleet is sent in pages',
    file: 'instances/instanceTable.js',
    find: 'MAXIMUM_RECORDS = 60;',
    replace: 'MAXIMUM_RECORDS = 100_000;',
    scenario: LARGE_UPDATES,
  },
  {
    name: 'crash records are sent in pages',
    file: 'quarantine/quarantineRegistry.js',
    find: 'MAXIMUM_RECORDS_PER_UPDATE = 32;',
    replace: 'MAXIMUM_RECORDS_PER_UPDATE = 100_000;',
    scenario: LARGE_UPDATES,
  },
  {
    name: 'an entry starts only when it knows all quarantined contents',
    file: 'trafficControl/controlWatch.js',
    find: 'answer.fresh && !hasMoreCrashRecords',
    replace: 'answer.fresh',
    scenario: LARGE_UPDATES,
  },
  {
    name: 'the next page of a long update is sent at once',
    file: 'trafficControl/openWatches.js',
    find: 'moreUpdates ||',
    replace: '',
    scenario: 'spec:trafficControl/openWatches',
  },
];
