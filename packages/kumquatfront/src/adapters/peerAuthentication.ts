/**
 * Mutual authentication of two processes of the system by their shared cluster key: each proves that it
 * knows the key by a digest over both sides' fresh random numbers, so an overheard proof is of no use later.
 */
import * as crypto from 'node:crypto';

/** Which side gives a proof; it enters the digest, so that a proof cannot be sent back to its maker. */
export type Side = 'client' | 'server';

/**
 * A fresh random number.
 *
 * @returns 32 hexadecimal digits
 * @example
 * ```ts
 * socket.write(peerAuthentication.createNonce());
 * ```
 */
export function createNonce(): string {
  return crypto.randomBytes(16).toString('hex');
}

/**
 * Proof of knowing the key.
 *
 * @param key - the cluster key
 * @param side - who gives the proof
 * @param clientNonce - the client's random number
 * @param serverNonce - the server's random number
 * @returns the proof in hexadecimal
 * @example
 * ```ts
 * peerAuthentication.prove(key, 'client', clientNonce, serverNonce);
 * ```
 */
export function prove(key: string, side: Side, clientNonce: string, serverNonce: string): string {
  return crypto.createHmac('sha256', key).update(`${side}:${clientNonce}:${serverNonce}`).digest('hex');
}

/**
 * Compares two proofs in constant time.
 *
 * @param left - one
 * @param right - the other
 * @returns true when they are equal
 * @example
 * ```ts
 * peerAuthentication.isSame(received, expected);
 * ```
 */
export function isSame(left: string, right: string): boolean {
  const leftBytes = Buffer.from(left);
  const rightBytes = Buffer.from(right);
  return leftBytes.length === rightBytes.length && crypto.timingSafeEqual(leftBytes, rightBytes);
}
