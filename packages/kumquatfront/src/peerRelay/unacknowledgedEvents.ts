/**
 * Events of one relayed response that the other entry has not acknowledged. Bytes that follow each other are joined to one event until they
 * are sent: an upstream that sends them one by one would otherwise make an object of each. What has been sent keeps its number and content,
 * since it is sent again when an answer is lost.
 */
import * as byteCollector from '../buffers/byteCollector.js';
import type * as messages from './messages.js';

type HeldEvent =
  | { readonly kind: 'bytes'; readonly bytes: byteCollector.ByteCollector }
  | { readonly kind: 'sent'; readonly event: messages.RelayEvent; readonly size: number };

/** Base64 takes four bytes for three. */
function encodedSize(bytes: number): number {
  return (bytes * 4) / 3;
}

/** See the module comment. */
export class UnacknowledgedEvents {
  /** Number of the first event. */
  from = 0;
  /** Bytes that the events take, as they are sent. */
  size = 0;
  private held: HeldEvent[] = [];

  /** Number of events that wait. */
  get count(): number {
    return this.held.length;
  }

  /** Number of objects that hold them. */
  get pieces(): number {
    const last = this.held.at(-1);
    return this.held.length + (last?.kind === 'bytes' ? last.bytes.pieces : 0);
  }

  /** Adds bytes of the body. */
  addBytes(bytes: Uint8Array): void {
    let last = this.held.at(-1);
    if (last?.kind !== 'bytes') {
      last = { kind: 'bytes', bytes: new byteCollector.ByteCollector() };
      this.held.push(last);
    }
    this.size += encodedSize(last.bytes.append(bytes));
  }

  /** Adds any other event. */
  add(event: messages.RelayEvent): void {
    this.held.push({ kind: 'sent', event, size: 0 });
  }

  /**
   * All events, as they are sent from now on.
   *
   * @example
   * ```ts
   * answer({ state: 'open', from: unacknowledged.from, events: unacknowledged.send() });
   * ```
   */
  send(): readonly messages.RelayEvent[] {
    this.held = this.held.map((held) => (held.kind === 'bytes' ? this.encode(held.bytes) : held));
    return this.held.map((held) => (held as HeldEvent & { kind: 'sent' }).event);
  }

  private encode(collected: byteCollector.ByteCollector): HeldEvent & { kind: 'sent' } {
    this.size -= encodedSize(collected.memory);
    const bytes = collected.takeContent().toString('base64');
    this.size += bytes.length;
    return { kind: 'sent', event: { kind: 'data', bytes }, size: bytes.length };
  }

  /** Drops the events before a number. */
  acknowledge(from: number): void {
    const dropped = this.held.splice(0, Math.max(0, from - this.from));
    this.from += dropped.length;
    for (const held of dropped) {
      this.size -= held.kind === 'sent' ? held.size : encodedSize(held.bytes.memory);
    }
  }
}
