/**
 * Runs the cases of hostile clients as tests: the process lives, its memory and descriptors stay within its limits, and one ordinary
 * request is answered afterwards.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as hostileClients from './hostileClients.js';
import * as hostileSystem from './hostileSystem.js';

/** Connections of a crowd, unless a case states others. */
const CROWD = 60;

/** Time for an ordinary request, in milliseconds; a process that hangs takes longer. */
const ORDINARY_TIMEOUT = 30_000;

/** One case. */
export interface HostileCase {
  /** Name of the failure that the test guards against. */
  readonly failure: string;
  readonly listener: hostileSystem.Listener;
  readonly kinds: readonly hostileClients.HostileKind[];
  readonly connections?: number;
  readonly request: string;
  readonly headers: readonly string[];
}

/** Checks what a process has used against the limits in its settings. */
export function check(use: hostileSystem.ResourceUse): void {
  assert.ok(use.isSameProcess, 'the process has ended');
  assert.ok(
    use.peakMegabytes <= hostileSystem.LIMITS.memoryMegabytes,
    `${Math.round(use.peakMegabytes)} of ${hostileSystem.LIMITS.memoryMegabytes} MB`,
  );
  assert.ok(
    use.peakDescriptors <= hostileSystem.LIMITS.descriptors,
    `${use.peakDescriptors} of ${hostileSystem.LIMITS.descriptors} descriptors`,
  );
  assert.equal(use.ordinaryStatus, 200, 'an ordinary request afterwards');
}

/** Defines a test for each case; each starts processes of its own. */
export function define(cases: readonly HostileCase[]): void {
  for (const { failure, listener, connections = CROWD, ...crowd } of cases) {
    void test.test(failure, async () => {
      const system = await hostileSystem.HostileSystem.start();
      try {
        check(await system.attack(listener, { ...crowd, connections }, ORDINARY_TIMEOUT));
      } finally {
        system.stop();
      }
    });
  }
}
