/**
 * Detects responses whose bytes can make no answer: a head that does not end, or framing without a body.
 */
import type * as net from 'node:net';

import type * as ports from '../kernel/ports.js';

/** Bytes of a head together with the interim responses before it. */
const MAXIMUM_HEAD_BYTES = 131_072;

/** Time from the first byte of a head to its end. */
const MAXIMUM_HEAD_TIME: ports.Milliseconds = 2_000;

/** Bytes of its head, chunk sizes, chunk extensions and trailers that any response may have. */
const MAXIMUM_FRAMING_BYTES = 262_144;

/** Bytes of framing for each byte of a body: chunks of one byte have five, without extensions. */
const FRAMING_BYTES_PER_BODY_BYTE = 8;

/** Follows the bytes of one response; see the module comment. */
export class ResponseMonitor {
  private receivedBytes = 0;
  private bodyBytes = 0;
  private hasHead = false;
  private hadInterimResponse = false;
  private cancelHeadTimeout: ports.Cancel | undefined;

  /**
   * @param socket - the connection, with the parser of the response attached
   * @param onEndless - called with the reason when more bytes can make no answer
   */
  constructor(
    socket: net.Socket,
    private readonly scheduler: ports.Scheduler,
    private readonly onEndless: (reason: string) => void,
  ) {
    socket.on('data', (bytes: Buffer) => {
      this.onData(bytes.length);
    });
  }

  /** Records an interim response: the upstream works, and its next head begins anew. */
  recordInterimResponse(): void {
    this.hadInterimResponse = true;
    this.stop();
  }

  /** Records the end of the head. */
  recordHead(): void {
    this.hasHead = true;
    this.stop();
  }

  recordBody(length: number): void {
    this.bodyBytes += length;
  }

  /** Cancels the time limit. */
  stop(): void {
    this.cancelHeadTimeout?.();
    this.cancelHeadTimeout = undefined;
  }

  /** Called after the parser has seen the same bytes. */
  private onData(length: number): void {
    this.receivedBytes += length;
    if (this.hasHead) {
      const framingBytes = this.receivedBytes - this.bodyBytes;
      if (framingBytes > MAXIMUM_FRAMING_BYTES + FRAMING_BYTES_PER_BODY_BYTE * this.bodyBytes) {
        this.onEndless(`the response has ${framingBytes} bytes of framing for ${this.bodyBytes} of its body`);
      }
      return;
    }
    if (this.receivedBytes > MAXIMUM_HEAD_BYTES) {
      this.onEndless(`the head has more than ${MAXIMUM_HEAD_BYTES} bytes`);
      return;
    }
    if (!this.hadInterimResponse) {
      this.cancelHeadTimeout ??= this.scheduler.after(MAXIMUM_HEAD_TIME, () => {
        this.onEndless(`the head did not end within ${MAXIMUM_HEAD_TIME} ms`);
      });
    }
    this.hadInterimResponse = false;
  }
}
