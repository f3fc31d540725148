/**
 * Reads what a stand-in engine needs from the body of a request. The output length is in the body so that
 * scenarios can set it; the system never looks at it.
 */
import * as kumquatfront from 'kumquatfront';

import type * as types from './types.js';

const DEFAULT_OUTPUT = 40;

/**
 * Reads an order.
 *
 * @param order - generation, priority and body as an entry sends them
 * @returns the order for the model
 * @example
 * ```ts
 * model.start(orderReader.read(order), reader);
 * ```
 */
export function read(
  order: Pick<kumquatfront.streamTypes.GenerationOrder, 'generation' | 'priority' | 'body'>,
): types.EngineOrder {
  const body = JSON.parse(order.body) as Record<string, unknown>;
  const facts = kumquatfront.promptFacts.read(body) ?? { tokens: 1, prefix: '' };
  const wanted = body.stand_in_output_tokens ?? body.max_completion_tokens ?? body.max_tokens;
  return {
    generation: order.generation,
    priority: order.priority,
    promptTokens: Math.max(1, facts.tokens),
    outputTokens: typeof wanted === 'number' && wanted > 0 ? Math.floor(wanted) : DEFAULT_OUTPUT,
    prefix: facts.prefix,
  };
}
