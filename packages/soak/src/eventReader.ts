/**
 * Reads the events of an answer until its end, or until the caller leaves.
 */
import type * as http from 'node:http';

/** What a caller does with an answer. */
export interface EventReaderOptions {
  /** Receives each complete event; false if the caller leaves after it. */
  readonly onEvent: (event: string) => boolean;
  /** The answer has ended; not called once the caller has left. */
  readonly onEnd: () => void;
}

/**
 * Reads the events of an answer.
 *
 * @param request - destroyed when the caller leaves
 * @example
 * ```ts
 * request.on('response', (response) => {
 *   eventReader.read(request, response, { onEvent: (event) => events.push(event) < 10, onEnd });
 * });
 * ```
 */
export function read(
  request: http.ClientRequest,
  response: http.IncomingMessage,
  { onEvent, onEnd }: EventReaderOptions,
): void {
  let text = '';
  let hasLeft = false;
  response.on('data', (bytes: Buffer) => {
    text += bytes.toString();
    for (let end = text.indexOf('\n\n'); end >= 0; end = text.indexOf('\n\n')) {
      const event = text.slice(0, end);
      text = text.slice(end + 2);
      if (!onEvent(event)) {
        hasLeft = true;
        request.destroy();
        return;
      }
    }
  });
  response.on('end', () => {
    // A request that is destroyed still reports the end of an answer that has arrived whole.
    if (!hasLeft) {
      onEnd();
    }
  });
}
