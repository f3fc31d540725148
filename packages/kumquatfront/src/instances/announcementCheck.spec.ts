/**
 * Announcements that no process may list: each accepted one can be sent in a header, connected to and logged.
 */
import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as test from 'node:test';

import * as fastCheck from 'fast-check';

import * as announcementCheck from './announcementCheck.js';
import * as instanceTestHarness from './instanceTestHarness.js';

const RUNS = { numRuns: 1_000, seed: 69 };
const sound = instanceTestHarness.announcement('i-1');

const anyText = fastCheck.oneof(
  fastCheck.string({ unit: 'binary' }),
  fastCheck.string({
    unit: fastCheck.constantFrom('a', '\r', '\n', '\0', '\u0085', 'é', '学', '\ud800', ' '),
  }),
);

// Guards against an announcement that every process which chooses its instance fails to send.
void test.test('a name that is accepted can be sent in a header', () => {
  fastCheck.assert(
    fastCheck.property(anyText, (name) => {
      if (announcementCheck.problemOfName(name) === undefined) {
        http.validateHeaderValue('x-name', name);
        assert.equal(name.trim(), name);
      }
    }),
    RUNS,
  );
  for (const name of ['i-7f3a91c2', 'i-1@7', '2001:db8::1']) {
    assert.equal(announcementCheck.problemOfName(name), undefined);
  }
  for (const name of ['', '\u0001\u0002\u0003', 'a\r\nb: c', 'é', '学校', 'a b', 'i'.repeat(201)]) {
    assert.match(announcementCheck.problemOfName(name) ?? '', /name/, name);
  }
});

// Guards against connections to addresses that the network API throws for.
void test.test('an address is a host with a port', () => {
  for (const address of ['10.0.0.1:80', '127.0.0.1:65535', '::1:80']) {
    assert.equal(announcementCheck.problemOf({ ...sound, address }), undefined, address);
  }
  const wrong = ['10.0.0.1:0', '10.0.0.1:65536', '10.0.0.1', '10.0.0.1:8 0', ':80', 'a\nb:80', 'é:80'];
  for (const address of wrong) {
    assert.match(announcementCheck.problemOf({ ...sound, address }) ?? '', /address/, address);
  }
});

// Guards against texts that break the lines of lists, metrics and logs.
void test.test('other texts may hold any letters, but no control characters', () => {
  for (const text of ['llm', 'größe', '学校', 'v1.2-β 3']) {
    const announcement = { ...sound, service: text, dataCentre: text, softwareVersion: text };
    assert.equal(announcementCheck.problemOf(announcement), undefined, text);
  }
  for (const text of ['', 'a\nb', 'a\0', '\u007f', '\u0085', '\u2028', '\udc00', 'x'.repeat(201)]) {
    assert.match(announcementCheck.problemOf({ ...sound, service: text }) ?? '', /service/);
    assert.match(announcementCheck.problemOf({ ...sound, dataCentre: text }) ?? '', /data centre/);
    assert.match(announcementCheck.problemOf({ ...sound, softwareVersion: text }) ?? '', /software version/);
  }
});

// Guards against instances that a peer on an older version of the software accepted.
void test.test('records of a peer that cannot be used are left out, with a reason in the log', () => {
  const lines: string[] = [];
  const noop = (): void => undefined;
  const log = {
    ...{ debug: noop, info: noop, error: noop },
    warn: (event: string, fields: object = {}): void => {
      lines.push(`${event} ${JSON.stringify(fields)}`);
    },
  };
  const unreadable = { ...sound, name: '\u0001', identity: '\u0001' };
  assert.deepEqual(announcementCheck.usableRecords([unreadable, sound], 'peer', log), [sound]);
  assert.equal(lines.length, 1);
  assert.match(lines[0] ?? '', /instanceIgnored.*peer.*name/);
});
