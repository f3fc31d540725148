/**
 * Frames the responses of stand-ins in turn by a length, by chunks, and by the end of the connection, so that every test
 * meets all of them.
 */
import type * as http from 'node:http';

import type * as kumquatfront from 'kumquatfront';

type BodyFraming = kumquatfront.relayTypes.BodyFraming;

const FRAMINGS: readonly BodyFraming[] = ['length', 'chunked', 'connection'];

/** Assigns a framing to each response in turn. */
export class FramingRotation {
  private count = 0;

  /**
   * Frames a response; to be called before its head is written.
   *
   * @param length - bytes of the body; without it, the response is not framed by a length
   */
  apply(response: http.ServerResponse, length?: number): void {
    const framings = length === undefined ? FRAMINGS.filter((framing) => framing !== 'length') : FRAMINGS;
    const framing = framings[this.count % framings.length];
    this.count += 1;
    if (framing === 'length') {
      response.setHeader('Content-Length', length ?? 0);
    } else if (framing === 'connection') {
      response.shouldKeepAlive = false;
      response.useChunkedEncodingByDefault = false;
    }
  }
}
