/**
 * Packages of configurations: what replicas serve, and what an entry makes of the pieces.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as packagePublisher from './packagePublisher.js';
import * as packageReceiver from './packageReceiver.js';
import * as transferPackage from './transferPackage.js';
import type * as types from './types.js';

function textOf(version: number, routeCount = 2_000): string {
  const routes = Array.from({ length: routeCount }, (_, index) => `{"route":${(index * 7_919) % 10_007}}`);
  return `${version}[${routes.join(',')}]`;
}

function publisherOf(...versions: readonly number[]): packagePublisher.PackagePublisher {
  const publisher = new packagePublisher.PackagePublisher();
  for (const version of versions) {
    publisher.record({ version, text: textOf(version) });
  }
  return publisher;
}

function requestOf(changes: Partial<types.PieceRequest> = {}): types.PieceRequest {
  return { above: 0, base: 0, length: 1_000, ...changes };
}

function firstPieceOf(publisher: packagePublisher.PackagePublisher): types.PieceAnswer {
  const piece = publisher.answer(requestOf());
  assert.ok(piece !== null);
  return piece;
}

/** Receives the rest of a package, alternating between publishers. */
function receiveAll(
  receiver: packageReceiver.PackageReceiver,
  publishers: readonly packagePublisher.PackagePublisher[],
): void {
  for (let turn = 0; !receiver.isComplete; turn += 1) {
    const publisher = publishers[turn % publishers.length];
    const piece = publisher?.answer(requestOf({ position: receiver.position })) ?? null;
    assert.ok(piece !== null && receiver.receive(piece) !== 'otherPackage');
  }
}

void test.test('pieces from several replicas make one package', () => {
  const publishers = [publisherOf(7), publisherOf(5, 7)];
  const receiver = new packageReceiver.PackageReceiver(firstPieceOf(publisherOf(7)));
  receiveAll(receiver, publishers);
  const unpacked = transferPackage.unpack(receiver.assemble(), '');
  assert.deepEqual(unpacked.unwrap(), { version: 7, text: textOf(7) });
});

void test.test('a package that has been begun is finished after a newer version is accepted', () => {
  const publisher = publisherOf(7);
  const receiver = new packageReceiver.PackageReceiver(firstPieceOf(publisher));
  publisher.record({ version: 8, text: textOf(8) });
  receiveAll(receiver, [publisher]);
  assert.equal(receiver.assemble().version, 7);
});

void test.test('an entry with a recent version receives only the changes', () => {
  const piece = publisherOf(7, 8).answer(requestOf({ above: 7, base: 7 }));
  assert.ok(piece !== null && piece.total < 300, `${piece?.total}`);
  const unpacked = transferPackage.unpack(piece, textOf(7));
  assert.deepEqual(unpacked.unwrap(), { version: 8, text: textOf(8) });
});

// A replica that was restored from a snapshot has no former versions.
void test.test('an entry whose version the replica lacks receives the complete configuration', () => {
  const piece = publisherOf(8).answer(requestOf({ above: 7, base: 7 }));
  assert.equal(piece?.base, 0);
});

void test.test('an entry that has the newest version receives nothing', () => {
  assert.equal(publisherOf(7).answer(requestOf({ above: 7, base: 7 })), null);
});

// Replicas of different releases may compress differently; mixed pieces would not unpack.
void test.test('a replica begins anew if its package differs from the one to continue', () => {
  const position = { ...firstPieceOf(publisherOf(7)), digest: 'other', offset: 500 };
  const piece = publisherOf(7).answer(requestOf({ position }));
  assert.equal(piece?.offset, 0);
});

void test.test('a repeated piece is ignored', () => {
  const first = firstPieceOf(publisherOf(7));
  const receiver = new packageReceiver.PackageReceiver(first);
  assert.equal(receiver.receive(first), 'repeated');
  assert.equal(receiver.position.offset, first.data.length);
});

// Changes applied to another text than the one they were computed from would give a configuration that nobody sent.
void test.test('changes are refused if the base differs or a character is damaged', () => {
  const piece = publisherOf(7, 8).answer(requestOf({ above: 7, base: 7 }));
  assert.ok(piece !== null);
  assert.equal(transferPackage.unpack(piece, textOf(7, 1_999)).err, true);
  const damaged = { ...piece, data: `A${piece.data.slice(1)}B` };
  assert.equal(transferPackage.unpack(damaged, textOf(7)).err, true);
});

// Large configurations in quick succession must not fill the memory of a replica.
void test.test('former versions are kept only up to a total length', () => {
  const publisher = new packagePublisher.PackagePublisher();
  for (let version = 1; version <= 5; version += 1) {
    publisher.record({ version, text: String(version).repeat(3 * 1024 * 1024) });
  }
  const baseOf = (base: number): number | undefined =>
    publisher.answer(requestOf({ above: base, base }))?.base;
  assert.equal(baseOf(4), 4);
  assert.equal(baseOf(2), 0);
});
