/**
 * The safeguards that `npm run prove` takes out one at a time, each with the scenario that must then fail.
 */

/** One safeguard: replacing `find` by `replace` in a built file of the library takes it out. */
export interface Safeguard {
  readonly name: string;
  /** File below the library's `dist`. */
  readonly file: string;
  readonly find: string;
  readonly replace: string;
  /** Name of a scenario, or `soak:SEED` for a run of random faults. */
  readonly scenario: string;
}

const RELAY = 'streams/generationRelay.js';
const CLAIMS = 'agreedState/claimTable.js';
const STATE = 'agreedState/agreedState.js';
const ELECTION = 'consensus/election.js';

/** Every safeguard that a scenario proves. */
export const safeguards: readonly Safeguard[] = [
  {
    name: 'silence of an engine is noticed',
    file: RELAY,
    find: 'this.onSilence(timeout);',
    replace: '',
    scenario: 'stream-engine-frozen',
  },
  {
    name: 'a cut link is healed by resuming the same generation',
    file: RELAY,
    find: 'this.onSilence(timeout);',
    replace: '',
    scenario: 'stream-link-stall',
  },
  {
    name: 'two generations are never spliced',
    file: RELAY,
    find: 'const voidable = this.nextIndex === 0 || mayRestart;',
    replace: 'const voidable = true;',
    scenario: 'stream-engine-dead-after-first-token',
  },
  {
    name: 'a request without a token yet runs again elsewhere',
    file: RELAY,
    find: 'const voidable = this.nextIndex === 0 || mayRestart;',
    replace: 'const voidable = mayRestart;',
    scenario: 'stream-engine-dead-before-first-token',
  },
  {
    name: 'a resumption goes on from the next index',
    file: RELAY,
    find: 'engines.resume(target, generation, nextIndex, listener)',
    replace: 'engines.resume(target, generation, 0, (this.nextIndex = 0, listener))',
    scenario: 'stream-late-and-crossed',
  },
  {
    name: 'the resume token carries the next index',
    file: 'streams/resumeToken.js',
    find: 'nextIndex: Number(index)',
    replace: 'nextIndex: 0',
    scenario: 'stream-entry-killed',
  },
  {
    name: 'a slow caller holds the engine back',
    file: RELAY,
    find: 'if (!more) {',
    replace: 'if (false) {',
    scenario: 'stream-slow-caller',
  },
  {
    name: 'a generation that is read elsewhere is not cancelled',
    file: RELAY,
    find: 'engines.cancel(target, generation, true)',
    replace: 'engines.cancel(target, generation, false)',
    scenario: 'stream-caller-away',
  },
  {
    name: 'the queue is bounded and says so at once',
    file: 'admission/fairQueue.js',
    find: 'queue.items.length >= this.bounds().perAccount',
    replace: 'false',
    scenario: 'queue-full',
  },
  {
    name: 'a drain waits for requests in flight',
    file: 'entryNode/entryNode.js',
    find: 'if (requests.inFlight === 0) {',
    replace: 'if (true) {',
    scenario: 'drain-entry',
  },
  {
    name: 'a drain outlasts cached addresses',
    file: 'entryNode/entryNode.js',
    find: 'timers.after(settings.addressLife,',
    replace: 'timers.after(0,',
    scenario: 'drain-idle-entry',
  },
  {
    name: 'a leaving upstream is pushed to every entry at once',
    file: 'directory/directory.js',
    find: 'if (leaves) {',
    replace: 'if (false) {',
    scenario: 'upstream-leaves',
  },
  {
    name: 'a new incarnation beats old news',
    file: 'directory/upstreamTable.js',
    find: 'if (left.incarnation !== right.incarnation) {',
    replace: 'if (false) {',
    scenario: 'upstream-stale-incarnation',
  },
  {
    name: 'requests wait for the upstream list after a restart',
    file: 'admission/localPlacement.js',
    find: 'this.waitForUpstream(request, done, goOn);',
    replace:
      "(done({ type: 'refused', refusal: { reason: 'noUpstream', retryAfter: 60000 } }), () => undefined);",
    scenario: 'entries-restart-together',
  },
  {
    name: 'a claim is granted once',
    file: CLAIMS,
    find: 'if (known === undefined) {\n            return this.grant',
    replace: 'if (true) {\n            return this.grant',
    scenario: 'claim-same-moment',
  },
  {
    name: 'a claim stays with the attempt that holds it',
    file: CLAIMS,
    find: 'return known.attempt === command.attempt\n            ?',
    replace: 'return true\n            ?',
    scenario: 'claim-holder-dies',
  },
  {
    name: 'a key stands for one request',
    file: CLAIMS,
    find: 'if (known.digest !== command.digest) {',
    replace: 'if (false) {',
    scenario: 'claim-key-reused',
  },
  {
    name: 'a call that may have arrived is not sent again',
    file: 'streams/serviceRelay.js',
    find: "const repeatable = claim === undefined || reason === 'neverSent';",
    replace: 'const repeatable = true;',
    scenario: 'claim-service-dies',
  },
  {
    name: 'an unknown outcome stays unknown',
    file: 'streams/serviceRelay.js',
    find: "this.settle('unknown', null);",
    replace: "this.settle('notRun', null);",
    scenario: 'claim-answer-lost',
  },
  {
    name: 'nothing is dispatched without a recorded claim',
    file: 'streams/serviceRelay.js',
    find: 'if (result.err) {\n                this.refuse',
    replace: 'if (result.err) {\n                this.placeAgain(); return; this.refuse',
    scenario: 'claim-without-quorum',
  },
  {
    name: 'an attempt may ask again when its answer was lost',
    file: 'controlClient/controlClient.js',
    find: 'if (result.ok || !isWorthRetrying(result.val)) {',
    replace: 'if (true) {',
    scenario: 'claim-leader-killed',
  },
  {
    name: 'a change id gets its first answer again',
    file: STATE,
    find: 'if (remembered !== undefined) {',
    replace: 'if (false) {',
    scenario: 'control-leader-killed-after-commit',
  },
  {
    name: 'answers to change ids are part of snapshots',
    file: STATE,
    find: 'answers: [...this.answers.values()],',
    replace: 'answers: [],',
    scenario: 'control-resend-after-snapshot',
  },
  {
    name: 'a change needs the version it was made on',
    file: STATE,
    find: 'if (current !== command.expectedVersion) {',
    replace: 'if (false) {',
    scenario: 'control-operators-race',
  },
  {
    name: 'a cut-off replica asks before it raises its term',
    file: ELECTION,
    find: 'this.requestVotes(true);',
    replace: 'this.startElection();',
    scenario: 'control-cut-off-for-an-hour',
  },
  {
    name: 'a leader without a quorum stops leading',
    file: 'consensus/leadership.js',
    find: 'this.host.lostQuorum();',
    replace: 'this.sendToAll(true);',
    scenario: 'control-one-way-cut',
  },
  {
    name: 'a frozen leader is replaced',
    file: ELECTION,
    find: 'this.startPreVote();',
    replace: '',
    scenario: 'control-frozen-leader-wakes',
  },
  {
    name: 'a cut-off replica says that it is not fresh',
    file: 'controlNode/controlNode.js',
    find: 'if (!this.replica.isFresh()) {\n            return { fresh: false',
    replace: 'if (false) {\n            return { fresh: false',
    scenario: 'control-and-entry-cut-off',
  },
  {
    name: 'entries do not vouch for each other',
    file: 'configuration/configurationReplica.js',
    find: 'this.options.timers.now() - answer.age',
    replace: 'this.options.timers.now()',
    scenario: 'entries-cut-off-together',
  },
  {
    name: 'an entry that is cut off alone hands its callers on',
    file: 'entryNode/requestFront.js',
    find: 'return settings.entries.length > 0 &&',
    replace: 'return false &&',
    scenario: 'entry-cut-off-alone',
  },
  {
    name: 'an empty replica founds nothing while others are silent',
    file: 'controlNode/membership.js',
    find: 'if (answers.length === asked && first',
    replace: 'if (first',
    scenario: 'control-empty-folder-never-founds',
  },
  {
    name: 'a lost replica is replaced and votes again',
    file: 'controlNode/membership.js',
    find: 'this.repair();',
    replace: '',
    scenario: 'control-lost-disks',
  },
  {
    name: 'nothing is answered before it is synced',
    file: 'consensus/logStore.js',
    find: 'this.waiting.push(done);',
    replace: 'done();',
    scenario: 'control-power-loss',
  },
  {
    name: 'a torn record is cut off',
    file: 'consensus/logFile.js',
    find: 'if (isTorn(buffer, offset)) {',
    replace: 'if (false) {',
    scenario: 'control-torn-log',
  },
  {
    name: 'a rotten record is refused',
    file: 'consensus/logFile.js',
    find: 'if (isTorn(buffer, offset)) {',
    replace: 'if (true) {',
    scenario: 'control-corrupt-log',
  },
  {
    name: 'a snapshot reaches a replica that is far behind',
    file: 'consensus/leadership.js',
    find: 'this.sendSnapshot(peer, now);',
    replace: '',
    scenario: 'control-restart-after-500-changes',
  },
  {
    name: 'serving goes on while all of control is down',
    file: 'entryNode/requestFront.js',
    find: 'if (!configuration.isFresh() && this.isCutOffAlone()) {',
    replace: 'if (!configuration.isFresh()) {',
    scenario: 'control-all-down-and-back',
  },
  {
    name: 'a new leader waits out the longest flight of an order',
    file: 'orders/orderDesk.js',
    find: 'if (timers.now() - this.leadingSince < settings.longestFlight) {',
    replace: 'if (false) {',
    scenario: 'order-late-from-old-leader',
  },
  {
    name: 'a voter gives one vote a term',
    file: ELECTION,
    find: 'message.term === store.hardState.term && free;',
    replace: 'message.term === store.hardState.term;',
    scenario: 'soak:39',
  },
  {
    name: 'a leader past its lease does not act',
    file: 'consensus/leadership.js',
    find: 'return timers.now() < this.quorumAcknowledgedAt() + timing.electionTimeout * timing.leaseShare;',
    replace: 'return true;',
    scenario: 'soak:17',
  },
  {
    name: 'what was accepted under random faults was synced',
    file: 'consensus/logStore.js',
    find: 'this.waiting.push(done);',
    replace: 'done();',
    scenario: 'soak:61',
  },
  {
    name: 'asks are repeated to whoever coordinates now',
    file: 'admission/coordinatedPlacement.js',
    find: 'this.repeatAsks();',
    replace: '',
    scenario: 'coordinator-killed',
  },
  {
    name: 'an entry places alone when the coordinator is silent',
    file: 'admission/coordinatedPlacement.js',
    find: 'this.placeAlone(requestId, waiting);',
    replace: '',
    scenario: 'coordinator-frozen',
  },
];
