/**
 * Signed resume tokens. A token carries everything that another entry needs to resume a stream, so that no shared
 * state is needed when an entry crashes. The index is not signed: it only states where to resume.
 */
import * as crypto from 'node:crypto';

import * as failures from '../kernel/failures.js';
import * as results from '../kernel/results.js';

/** Signed content of a resume token. */
export interface ResumeClaims {
  readonly requestId: string;
  readonly account: string;
  readonly upstream: string;
  readonly address: string;
  readonly generation: string;
  /** OpenAI-style path of the request. */
  readonly path: string;
}

const MAXIMUM_TOKEN_LENGTH = 1_024;

function sign(payload: string, key: string): string {
  return crypto.createHmac('sha256', key).update(payload).digest('base64url');
}

/**
 * Signs the prefix of a resume token, which is the same for all tokens of a generation.
 *
 * @param key - the cluster's signing key
 * @returns the prefix; a resume token is the prefix, `.` and the next index
 * @example
 * ```ts
 * const token = `${resumeToken.issuePrefix(claims, key)}.${nextIndex}`;
 * ```
 */
export function issuePrefix(claims: ResumeClaims, key: string): string {
  const payload = Buffer.from(JSON.stringify(claims)).toString('base64url');
  return `${payload}.${sign(payload, key)}`;
}

function isEqualInConstantTime(left: string, right: string): boolean {
  const leftBytes = Buffer.from(left);
  const rightBytes = Buffer.from(right);
  return leftBytes.length === rightBytes.length && crypto.timingSafeEqual(leftBytes, rightBytes);
}

/** Content of a token with a valid signature. */
export interface VerifiedToken {
  readonly claims: ResumeClaims;
  readonly nextIndex: number;
}

/**
 * Verifies the signature and the client account of a token.
 *
 * @param token - the token sent by the caller
 * @param account - the caller's client account
 * @param key - the cluster's signing key
 * @returns the content, or an `unauthorized` failure that is the same for every reason, so that it reveals
 * nothing about valid tokens
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
      'Send the last event id unchanged, or send the request again.',
    ),
  );
  const [payload = '', signature = '', index = ''] =
    token.length > MAXIMUM_TOKEN_LENGTH ? [] : token.split('.');
  if (!/^\d{1,9}$/.test(index) || !isEqualInConstantTime(signature, sign(payload, key))) {
    return refusal;
  }
  const claims = JSON.parse(Buffer.from(payload, 'base64url').toString('utf8')) as ResumeClaims;
  return claims.account === account ? results.Ok({ claims, nextIndex: Number(index) }) : refusal;
}
