/**
 * Reads bodies of responses within a bound, for clients of entries and of control.
 */
import * as byteCollector from '../buffers/byteCollector.js';

/** Bytes of the largest body, if nothing else is stated: that of an answer of a service. */
export const MAXIMUM_BYTES = 4 * 1024 * 1024;

/** A body, or an event of one, is larger than its bound. */
export class TooLargeError extends Error {
  /** @param maximumBytes - the bound */
  constructor(maximumBytes: number) {
    super(`the response has more than ${maximumBytes} bytes`);
  }
}

/**
 * Reads a body. One that is too large is not read to its end; its connection is closed.
 *
 * @param body - the body, in pieces of any size
 * @returns the bytes
 * @throws TooLargeError
 * @example
 * ```ts
 * const { length } = await responseBody.read(response.body);
 * ```
 */
export async function read(body: AsyncIterable<Uint8Array>, maximumBytes = MAXIMUM_BYTES): Promise<Buffer> {
  const collected = new byteCollector.ByteCollector();
  for await (const bytes of body) {
    if (collected.size + bytes.length > maximumBytes) {
      throw new TooLargeError(maximumBytes);
    }
    collected.append(bytes);
  }
  return collected.takeContent();
}

/**
 * Reads a body as text; see `read`.
 *
 * @example
 * ```ts
 * const text = await responseBody.readText(response.body);
 * ```
 */
export async function readText(
  body: AsyncIterable<Uint8Array>,
  maximumBytes = MAXIMUM_BYTES,
): Promise<string> {
  return (await read(body, maximumBytes)).toString('utf8');
}
