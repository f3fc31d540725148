/**
 * Safeguards of relayed requests, instances, placement and whole configurations.
 */
import type * as safeguards from './safeguards.js';

const RELAY = 'spec:relay/streamExchange';
const PLAIN = 'spec:relay/plainExchange';
const INSTANCES = 'spec:instances/instances';
const CONTROL = 'spec:trafficControl/trafficControl';
const OVERLOAD = 'spec:placement/overload';
const LATENESS = 'spec:placement/lateness';

/** Each with the spec that must fail without it. */
export const relaySafeguards: readonly safeguards.Safeguard[] = [
  {
    name: 'the last events of a stopped source are awaited',
    file: 'relay/streamMove.js',
    find: 'this.awaitLastEvents(next);',
    replace: 'this.host.goOn(next);',
    scenario: RELAY,
  },
  {
    name: 'a close during the final copy is judged with its answer',
    file: 'relay/streamMove.js',
    find: 'if (this.isStopping) {',
    replace: 'if (false) {',
    scenario: RELAY,
  },
  {
    name: 'the first copy survives its source',
    file: 'relay/streamMove.js',
    find: 'if (active?.handle === undefined || source === undefined) {',
    replace: 'if (true) {',
    scenario: RELAY,
  },
  {
    name: 'an event is handed over once',
    file: 'relay/streamDelivery.js',
    find: 'if (event.identity !== undefined && !this.isNew(event.identity)) {',
    replace: 'if (false) {',
    scenario: RELAY,
  },
  {
    name: 'a stream that may not be resumed runs once',
    file: 'relay/streamExchange.js',
    find: 'return this.routed.route.resumable;',
    replace: 'return true;',
    scenario: RELAY,
  },
  {
    name: 'a promising status needs the upstream’s word',
    file: 'relay/answerRules.js',
    find: 'PROMISING.has(head.status) && !repeatable',
    replace: 'false',
    scenario: PLAIN,
  },
  {
    name: 'an answer echoes its request',
    file: 'relay/answerRules.js',
    find: '!head.belongs || head.status < 200',
    replace: 'false',
    scenario: PLAIN,
  },
  {
    name: 'a success is signed',
    file: 'relay/answerRules.js',
    find: 'success && !head.signed',
    replace: 'false',
    scenario: PLAIN,
  },
  {
    name: 'repeats draw on a budget',
    file: 'relay/retryAllowance.js',
    find: 'if (counts.repeats.length + 1 > allowed) {',
    replace: 'if (false) {',
    scenario: PLAIN,
  },
  {
    name: 'an answer without a length is whole only where its connection was not reset',
    file: 'adapters/freshExchange.js',
    find: 'ended(finish);',
    replace: 'finish(false);',
    scenario: 'spec:adapters/freshExchange',
  },
  {
    name: 'leaving is final for an incarnation',
    file: 'instances/instanceTable.js',
    find: "known.announcement.state === 'leaving' ? 'leaving' : announcement.state",
    replace: 'announcement.state',
    scenario: INSTANCES,
  },
  {
    name: 'the newer incarnation has its address',
    file: 'instances/instanceView.js',
    find: 'rival === undefined || rival.firstAt < instance.firstAt',
    replace: 'rival === undefined',
    scenario: INSTANCES,
  },
  {
    name: 'an empty control is not believed',
    file: 'instances/instanceView.js',
    find: 'if (settled.length === 0) {',
    replace: 'if (false) {',
    scenario: INSTANCES,
  },
  {
    name: 'one generation at a time leaves an engine',
    file: 'placement/evacuation.js',
    find: 'if (!this.moving.has(engine.identity)) {',
    replace: 'if (true) {',
    scenario: 'spec:placement/evacuation',
  },
  {
    name: 'patient work is bounded by the forecast of memory',
    file: 'placement/enginePool.js',
    find: 'filled <= MEMORY_SHARES[purpose] || load.length === 0',
    replace: 'true',
    scenario: OVERLOAD,
  },
  {
    name: 'urgent ones go first, then those that can be in time',
    file: 'placement/placementQueue.js',
    find: 'left.rank - right.rank || left.late - right.late || left.length - right.length',
    replace: 'left.entry.since - right.entry.since',
    scenario: LATENESS,
  },
  {
    name: 'a read is confirmed by answers to messages sent after it',
    file: 'consensus/leadership.js',
    find: '(entry) => answered > entry.after',
    replace: '(entry) => answered >= 0',
    scenario: 'spec:consensus/replica',
  },
  {
    name: 'no change before there are voters to lose',
    file: 'trafficControl/trafficControl.js',
    find: 'if (voters < leastVoters) {',
    replace: 'if (false) {',
    scenario: CONTROL,
  },
  {
    name: 'a removed voter notices and joins again',
    file: 'controlNode/membership.js',
    find: 'this.rejoinIfRemoved(answers);',
    replace: '',
    scenario: CONTROL,
  },
  {
    name: 'a voter that is gone for good makes way',
    file: 'controlNode/membership.js',
    find: 'this.removeSilent(members);',
    replace: '',
    scenario: CONTROL,
  },
  {
    name: 'only a higher version takes effect',
    file: 'agreedState/agreedState.js',
    find: 'this.heldTraffic === undefined || version > this.heldTraffic.version',
    replace: 'true',
    scenario: CONTROL,
  },
  {
    name: 'a caller that comes back counts from its first question',
    file: 'placement/coordinator.js',
    find: 'if (firstAskedAt === undefined) {',
    replace: 'if (true) {',
    scenario: LATENESS,
  },
  {
    name: 'a late generation leaves the last place to one in time',
    file: 'placement/coordinator.js',
    find: 'purpose: purposeOf(facts, verdict),',
    replace: "purpose: 'patient',",
    scenario: LATENESS,
  },
  {
    name: 'a new coordinator waits for those that have not reported',
    file: 'placement/coordinator.js',
    find: 'return entries.length === 0 || !entries.every((entry) => this.pool.hasHeardFrom(entry, since));',
    replace: 'return false;',
    scenario: 'spec:placement/coordinator',
  },
  {
    name: 'prompts go where they are read in time',
    file: 'placement/enginePool.js',
    find: 'firstEvent * SHARE_FOR_MILLISECOND',
    replace: '0',
    scenario: LATENESS,
  },
  {
    name: 'a refusal comes early',
    file: 'placement/waitingRules.js',
    find: 'const WAITING_OBJECTIVES = 0.12;',
    replace: 'const WAITING_OBJECTIVES = 1.6;',
    scenario: LATENESS,
  },
  {
    name: 'configurations are fetched with a pause between',
    file: 'trafficControl/trafficFetch.js',
    find: 'const PAUSE = 200;',
    replace: 'const PAUSE = 0;',
    scenario: CONTROL,
  },
  {
    name: 'a silent replica is not the only one that is asked for a configuration',
    file: 'trafficControl/trafficFetch.js',
    find: 'this.fetchSoon(this.fetchedAt + SECOND_AFTER - now);',
    replace: '',
    scenario: CONTROL,
  },
  {
    name: 'a replica that did not send a configuration may be asked again',
    file: 'trafficControl/trafficFetch.js',
    find: 'this.asked.delete(address);',
    replace: '',
    scenario: CONTROL,
  },
  {
    name: 'a log never waits for its reader',
    file: 'adapters/boundedOutput.js',
    find: "weight === 'ordinary' && this.tokens < 1",
    replace: 'false',
    scenario: 'spec:adapters/boundedOutput',
  },
];
