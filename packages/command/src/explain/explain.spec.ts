/**
 * Explaining requests from log lines in the format that entries and control replicas write.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as cause from './cause.js';
import * as logLine from './logLine.js';
import * as requestTimeline from './requestTimeline.js';

const at = (second: number): string => `time=2026-01-01T00:00:${second.toFixed(3).padStart(6, '0')}Z`;

const CONTROL = [
  `${at(1)} process=control-1 level=info event=coordinatorState waiting=4 placed=9 engines="i-a:8:90% i-b:1:20%:leaving"`,
  `${at(1.2)} process=control-1 level=info event=placementRefused request=r1 reason="no place came free in time" retryAfter=700`,
  `${at(2)} process=control-1 level=info event=instanceHeard instance=i-a service=llm address=10.0.0.1:80 state=leaving sequence=8`,
  `${at(2.1)} process=control-1 level=info event=moveStarted request=r2 source=i-a target=i-b produced=30`,
].join('\n');

const ENTRY = [
  `${at(0.1)} process=entry-1 level=info event=trafficInForce version=7 control=10.0.0.9:7000`,
  `${at(1.21)} process=entry-1 level=info event=requestEnded request=r1 route=r service=llm version=7 outcome=overloaded reason="no place came free in time" sends=0 milliseconds=216`,
  `${at(2.2)} process=entry-1 level=info event=moveResult request=r2 source=i-a target=i-b milliseconds=5 state=unmoved reason=noRoom ended=false`,
  `${at(3.9)} process=entry-1 level=info event=streamBroken request=r2 upstream=i-a failure=broken reason=aborted lastEvent=9`,
  `${at(3.9)} process=entry-1 level=info event=requestEnded request=r2 route=r service=llm version=7 outcome=interrupted reason=aborted sends=1 milliseconds=2900`,
  `${at(4)} process=entry-1 level=info event=requestRefused request=r3 reason=noRoute message="no route for h/x in version 7"`,
  `${at(5)} process=entry-1 level=info event=streamBroken request=r4 upstream=i-b failure=broken reason=aborted lastEvent=3`,
  `${at(5)} process=entry-1 level=info event=requestEnded request=r4 route=r service=llm version=7 outcome=interrupted reason=aborted sends=1 milliseconds=900`,
].join('\n');

function explain(request: string): string {
  return cause.describe(requestTimeline.collect(request, [ENTRY, CONTROL]));
}

void test.test('a refusal is explained by the state that the coordinator logged', () => {
  const sentence = explain('r1');
  assert.match(sentence, /nothing ran/);
  assert.match(sentence, /Of 2 engines 1 were usable, 4 generations were queued/);
});

void test.test('a broken stream is explained by the termination notice and the failed move', () => {
  const sentence = explain('r2');
  assert.match(sentence, /i-a sent a termination notice at 2026-01-01T00:00:02.000Z/);
  assert.match(sentence, /unmoved \(noRoom\)/);
});

void test.test('a crashed engine is distinguished from one that gave a termination notice', () => {
  assert.match(explain('r4'), /i-b was interrupted without a termination notice after event 3/);
});

// The log of the control replica that received the termination notice is missing; the entry's log has it.
void test.test('a termination notice that only the entry logged is used', () => {
  const seen = `${at(4.5)} process=entry-1 level=info event=instancesSeen control=c revisionBefore=3 revision=5 found="i-c|llm|b" leaving="i-a i-b"`;
  const sentence = cause.describe(requestTimeline.collect('r4', [ENTRY, seen]));
  assert.match(
    sentence,
    /i-b sent a termination notice at .*04.500Z .*no move to another engine was started/,
  );
});

void test.test('a missing route is explained by the configuration version in force', () => {
  assert.match(explain('r3'), /version 7, has no such route/);
});

void test.test('the timeline contains the lines of both processes in order, and no others', () => {
  const { lines } = requestTimeline.collect('r2', [ENTRY, CONTROL]);
  const events = lines.map((line) => line.event);
  assert.deepEqual(events.slice(-5), [
    'instanceHeard',
    'moveStarted',
    'moveResult',
    'streamBroken',
    'requestEnded',
  ]);
  assert.ok(!events.includes('requestRefused'));
});

void test.test('a request that is in no log has no lines', () => {
  assert.equal(requestTimeline.collect('r9', [ENTRY, CONTROL]).lines.length, 0);
});

// A process that is killed while it writes leaves a last line that ends within a value.
void test.test('the complete fields of a truncated line are parsed', () => {
  const line = logLine.parse(`${at(1)} process=e level=info event=requestRefused request=r reason="no rou`);
  assert.equal(line?.fields.request, 'r');
  assert.equal(logLine.parse('not one of ours'), undefined);
});

// The crashes were detected by two other entries, for other attempts with the same content.
void test.test('a quarantined request is explained by the crashes recorded for its content', () => {
  const others = [
    `${at(6)} process=entry-2 level=info event=crashHeld request=r7 content=c1 upstream=i-a sign=refusesConnections ends=1 verdict=suspected`,
    `${at(7)} process=entry-3 level=info event=crashHeld request=r8 content=c1 upstream=i-b sign=fellSilent ends=3 verdict=quarantined`,
    `${at(7)} process=entry-3 level=info event=crashHeld request=r8 content=c2 upstream=i-b sign=fellSilent ends=1 verdict=suspected`,
    `${at(7.1)} process=entry-1 level=warn event=quarantined content=c1 ended="i-a i-b"`,
  ];
  const own = [
    `${at(8)} process=entry-1 level=info event=requestQuarantined request=r6 content=c1 ended="i-a i-b" timeLeft=3599000`,
    `${at(8)} process=entry-1 level=info event=requestRefused request=r6 reason=quarantined message="upstreams ended"`,
  ];
  const timeline = requestTimeline.collect('r6', [own.join('\n'), others.join('\n')]);
  const sentence = cause.describe(timeline);
  assert.match(sentence, /i-a \(detected by entry-2 at 2026-01-01T00:00:06.000Z, refusesConnections\), i-b/);
  assert.match(sentence, /Quarantined at 2026-01-01T00:00:07.100Z. The request was rejected; nothing ran./);
  assert.equal(timeline.lines.filter((line) => line.fields.content === 'c2').length, 0);
});

// The request has a new content; only a part of its prompt was there at the crashes.
void test.test(
  'a request with a quarantined part is explained by the crashes of requests with that part',
  () => {
    const others = [
      `${at(6)} process=entry-2 level=info event=crashHeld request=r7 content=c1 upstream=i-a sign=refusesConnections ends=1 verdict=suspected parts="part:llm/a part:llm/b" hadEvent=false`,
      `${at(6)} process=entry-2 level=info event=crashHeld request=r9 content=c3 upstream=i-a sign=refusesConnections ends=1 verdict=suspected parts="part:llm/b" hadEvent=true`,
      `${at(7.1)} process=entry-1 level=warn event=partQuarantined part=part:llm/b ended="i-a i-b i-c"`,
    ];
    const own = [
      `${at(8)} process=entry-1 level=info event=requestQuarantined request=r6 content=c2 parts=part:llm/b ended="i-a i-b i-c" timeLeft=3599000`,
      `${at(8)} process=entry-1 level=info event=requestRefused request=r6 reason=quarantined message="upstreams ended"`,
    ];
    const timeline = requestTimeline.collect('r6', [own.join('\n'), others.join('\n')]);
    assert.match(
      cause.describe(timeline),
      /requests with part:llm\/b in their prompts: i-a \(detected by entry-2 at .*\). Quarantined at 2026-01-01T00:00:07.100Z/,
    );
    assert.equal(timeline.lines.filter((line) => line.fields.request === 'r9').length, 0);
  },
);

// The request was running on the upstream whose crash caused the quarantine.
void test.test('the explanation of a quarantined request states that it had run', () => {
  const own = [
    `${at(7)} process=entry-1 level=info event=crashHeld request=r8 content=c1 upstream=i-b sign=refusesConnections ends=3 verdict=quarantined`,
    `${at(7)} process=entry-1 level=warn event=quarantined content=c1 ended="i-a i-b i-c"`,
    `${at(7)} process=entry-1 level=info event=requestEnded request=r8 content=c1 outcome=outcomeUnknown reason="upstreams ended" sends=2 milliseconds=1100`,
  ];
  assert.match(
    cause.describe(requestTimeline.collect('r8', [own.join('\n')])),
    /The request had run before; it was not sent again/,
  );
});

// One engine is in an evacuated data centre and another is cold; the remaining capacity is not sufficient.
void test.test('the explanation of a refusal counts evacuated and cold engines', () => {
  const state = `${at(1)} process=control-1 level=info event=coordinatorState waiting=4 placed=9 engines="i-a:8:90% i-b:1:20%:leaving i-c:2:9%:evacuated i-d:1:5%:cold"`;
  const refused = `${at(1.2)} process=control-1 level=info event=placementRefused request=r5 reason="no place came free in time" retryAfter=700`;
  const end = `${at(1.21)} process=entry-1 level=info event=requestEnded request=r5 route=r service=llm version=7 outcome=overloaded reason="no place came free in time" sends=0 milliseconds=216`;
  const sentence = cause.describe(
    requestTimeline.collect(
      'r5',
      [state, refused, end].map((line) => `${line}\n`),
    ),
  );
  assert.match(sentence, /Of 4 engines 2 were usable/);
  assert.match(sentence, /1 are in an evacuated data centre/);
  assert.match(sentence, /1 were cold and received no more load than a cold engine accepts/);
});

// Guards against an operator who takes a refusal for a lack of engines where another account had the greater claim.
void test.test('a refusal because of the share of the client account is explained', () => {
  const refused = (cause: string): string =>
    `${at(1.2)} process=control-1 level=info event=placementRefused request=r7 reason="no place came free in time" retryAfter=700${cause}`;
  const end = `${at(1.21)} process=entry-1 level=info event=requestEnded request=r7 route=r service=llm version=7 outcome=overloaded reason="no place came free in time" sends=0 milliseconds=216`;
  const describe = (line: string): string =>
    cause.describe(requestTimeline.collect('r7', [`${line}\n`, `${end}\n`]));
  const sentence = describe(refused(' cause=share account=school-1 debt=1500'));
  assert.match(sentence, /Client account school-1 had used 1.50 s of its share too much/);
  assert.doesNotMatch(describe(refused('')), /share/);
});

void test.test('a request without an available upstream is explained by the logged reason', () => {
  const end = `${at(1.21)} process=entry-1 level=info event=requestEnded request=r6 route=r service=app version=7 outcome=noUpstream reason="every upstream that could take it is in an evacuated data centre" sends=0 milliseconds=1`;
  assert.match(cause.describe(requestTimeline.collect('r6', [end])), /in an evacuated data centre/);
});

void test.test('a refusal is explained by the pauses and rate limits that upstreams requested', () => {
  const log = [
    `${at(1)} process=entry-1 level=info event=upstreamPaused upstream=i-a service=app for=3000 asked=3000`,
    `${at(1.5)} process=entry-1 level=info event=upstreamRateLimited upstream=i-b service=app perSecond=1.9`,
    `${at(1.6)} process=entry-1 level=info event=upstreamPaused upstream=i-z service=other for=9000 asked=9000`,
    `${at(2)} process=entry-1 level=info event=requestEnded request=r5 route=r service=app outcome=overloaded reason="every upstream that could take it has asked for a pause" sends=0 milliseconds=1`,
  ].join('\n');
  const sentence = cause.describe(requestTimeline.collect('r5', [log]));
  assert.match(sentence, /has asked for a pause. Nothing ran/);
  assert.match(sentence, /i-a requested a pause of 3.00 s/);
  assert.match(sentence, /i-b set a rate limit of 1.9 requests per second/);
  assert.doesNotMatch(sentence, /i-z/);
});
