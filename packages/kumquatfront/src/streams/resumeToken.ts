/**
 * Resume tokens: they carry all that another entry needs to go on with a stream, signed, so that the death
 * of an entry needs no shared state. The index is outside the signature: it only says from where to go on.
 */
import * as crypto from 'node:crypto';

import * as failures from '../kernel/failures.js';
import * as results from '../kernel/results.js';

/** What a resume token says. */
export interface ResumeClaims {
  readonly requestId: string;
  readonly account: string;
  readonly upstream: string;
  readonly address: string;
  readonly generation: string;
  /** OpenAI-style path of the request. */
  readonly path: string;
}

const MAXIMUM_LENGTH = 1_024;

function sign(payload: string, key: string): string {
  return crypto.createHmac('sha256', key).update(payload).digest('base64url');
}

/**
 * Signs the part of a resume token that stays the same for a whole generation.
 *
 * @param claims - what it says
 * @param key - the cluster's signing key
 * @returns the text; add `.` and the next index to make a token
 * @example
 * ```ts
 * const token = `${resumeToken.issue(claims, key)}.${nextIndex}`;
 * ```
 */
export function issue(claims: ResumeClaims, key: string): string {
  const payload = Buffer.from(JSON.stringify(claims)).toString('base64url');
  return `${payload}.${sign(payload, key)}`;
}

function isSame(left: string, right: string): boolean {
  const leftBytes = Buffer.from(left);
  const rightBytes = Buffer.from(right);
  return leftBytes.length === rightBytes.length && crypto.timingSafeEqual(leftBytes, rightBytes);
}

/** A token that was found sound. */
export interface VerifiedToken {
  readonly claims: ResumeClaims;
  readonly nextIndex: number;
}

/**
 * Verifies a token.
 *
 * @param token - what the caller sent
 * @param account - the caller's client account
 * @param key - the cluster's signing key
 * @returns what it says, or an `unauthorized` failure; the same one for every reason, so that it tells
 * nothing to someone who guesses
 * @example
 * ```ts
 * const verified = resumeToken.verify(lastEventId, account, key);
 * ```
 */
export function verify(
  token: string,
  account: string,
  key: string,
): results.Result<VerifiedToken, failures.Failure> {
  const refusal = results.Err(
    failures.create(
      'unauthorized',
      'The resume token is not valid for this client account.',
      'Send the last event id as it was received, or make the request again.',
    ),
  );
  const [payload = '', signature = '', index = ''] = token.length > MAXIMUM_LENGTH ? [] : token.split('.');
  if (!/^\d{1,9}$/.test(index) || !isSame(signature, sign(payload, key))) {
    return refusal;
  }
  const claims = JSON.parse(Buffer.from(payload, 'base64url').toString('utf8')) as ResumeClaims;
  return claims.account === account ? results.Ok({ claims, nextIndex: Number(index) }) : refusal;
}
