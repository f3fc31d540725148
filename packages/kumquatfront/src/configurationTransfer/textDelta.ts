/**
 * Changes between two texts, as runs of segments to copy from the base and new text to insert. Segments end after a
 * closing brace or a line break, so an object of a JSON text that did not change is copied.
 */

/** Copies `count` segments of the base from segment `first` on, or inserts a text. */
export type Operation = string | readonly [first: number, count: number];

function segmentsOf(text: string): readonly string[] {
  return text.match(/[^}\n]*[}\n]|[^}\n]+$/g) ?? [];
}

/** Collects operations, and joins each with the previous one if it continues it. */
class OperationList {
  readonly operations: Operation[] = [];

  /** Segment of the base that would continue the last copy; undefined after an insertion. */
  nextCopied(): number | undefined {
    const last = this.operations.at(-1);
    return last === undefined || typeof last === 'string' ? undefined : last[0] + last[1];
  }

  copy(segment: number): void {
    const last = this.operations.at(-1);
    if (last !== undefined && typeof last !== 'string' && last[0] + last[1] === segment) {
      this.operations[this.operations.length - 1] = [last[0], last[1] + 1];
    } else {
      this.operations.push([segment, 1]);
    }
  }

  insert(text: string): void {
    const last = this.operations.at(-1);
    if (typeof last === 'string') {
      this.operations[this.operations.length - 1] = last + text;
    } else {
      this.operations.push(text);
    }
  }
}

/**
 * Computes the changes from one text to another. Takes time linear in the lengths of both.
 *
 * @param base - the text that the receiver has
 * @param target - the text that the receiver shall have
 * @example
 * ```ts
 * textDelta.create('{"a":1}{"b":2}', '{"a":1}{"b":3}'); // [[0, 1], '{"b":3}']
 * ```
 */
export function create(base: string, target: string): readonly Operation[] {
  const baseSegments = segmentsOf(base);
  const positions = new Map(baseSegments.map((segment, index) => [segment, index]));
  const list = new OperationList();
  for (const segment of segmentsOf(target)) {
    const next = list.nextCopied();
    // Of equal segments, the one that continues the current run keeps the number of operations low.
    const position = next !== undefined && baseSegments[next] === segment ? next : positions.get(segment);
    if (position === undefined) {
      list.insert(segment);
    } else {
      list.copy(position);
    }
  }
  return list.operations;
}

/**
 * Applies changes to the text that they were computed from.
 *
 * @param base - the base passed to {@link create}
 * @returns the target passed to {@link create}
 * @example
 * ```ts
 * textDelta.apply('{"a":1}{"b":2}', [[0, 1], '{"b":3}']); // '{"a":1}{"b":3}'
 * ```
 */
export function apply(base: string, operations: readonly Operation[]): string {
  const segments = segmentsOf(base);
  return operations
    .map((operation) =>
      typeof operation === 'string'
        ? operation
        : segments.slice(operation[0], operation[0] + operation[1]).join(''),
    )
    .join('');
}
