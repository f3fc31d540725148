/**
 * Mutual challenge-response authentication of two processes with a shared cluster key. Each side proves that it
 * knows the key by an HMAC over both nonces, so a recorded proof cannot be replayed.
 */
import * as crypto from 'node:crypto';

/** Role of the peer that creates a proof; it is part of the HMAC, so that a proof cannot be reflected to its sender. */
export type PeerRole = 'client' | 'server';

/**
 * Creates a random nonce.
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
 * Creates the proof that a peer knows the cluster key.
 *
 * @param key - the cluster key
 * @param role - role of the peer that creates the proof
 * @param clientNonce - nonce of the client
 * @param serverNonce - nonce of the server
 * @returns the proof in hexadecimal
 * @example
 * ```ts
 * peerAuthentication.createProof(key, 'client', clientNonce, serverNonce);
 * ```
 */
export function createProof(key: string, role: PeerRole, clientNonce: string, serverNonce: string): string {
  return crypto.createHmac('sha256', key).update(`${role}:${clientNonce}:${serverNonce}`).digest('hex');
}

/**
 * Compares two secrets, such as proofs or key hashes, in time that does not depend on their contents.
 *
 * @param right - the second secret
 * @returns true if they are equal
 * @example
 * ```ts
 * peerAuthentication.timingSafeEqual(received, expected);
 * ```
 */
export function timingSafeEqual(left: string, right: string): boolean {
  const leftBytes = Buffer.from(left);
  const rightBytes = Buffer.from(right);
  return leftBytes.length === rightBytes.length && crypto.timingSafeEqual(leftBytes, rightBytes);
}

/** Message of the handshake; a field that is missing or no text is empty. */
export interface HandshakeMessage {
  readonly nonce: string;
  readonly proof: string;
}

/**
 * Parses a line of the handshake, which any process may have sent.
 *
 * @returns the message; what is no JSON object holds no proof
 * @example
 * ```ts
 * peerAuthentication.parseMessage('null'); // { nonce: '', proof: '' }
 * ```
 */
export function parseMessage(line: string): HandshakeMessage {
  let parsed: unknown;
  try {
    parsed = JSON.parse(line);
  } catch {
    // The empty proof of such a line is refused, and logged, by whoever compares it.
  }
  const { nonce, proof } = (parsed ?? {}) as Record<string, unknown>;
  return {
    nonce: typeof nonce === 'string' ? nonce : '',
    proof: typeof proof === 'string' ? proof : '',
  };
}
