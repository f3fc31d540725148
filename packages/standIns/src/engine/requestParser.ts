/**
 * Parses a generation request for a simulated engine. The body carries the output length, so that scenarios can
 * set it; entries ignore it.
 */
import * as kumquatfront from 'kumquatfront';

import type * as types from './types.js';

const DEFAULT_OUTPUT_TOKENS = 40;

/**
 * Parses a generation request.
 *
 * @param request - generation, priority and body sent by an entry
 * @returns the request for the engine model
 * @example
 * ```ts
 * model.start(requestParser.parse(request), reader);
 * ```
 */
export function parse(
  request: Pick<kumquatfront.streamTypes.EngineRequest, 'generation' | 'priority' | 'body'>,
): types.EngineRequest {
  const body = JSON.parse(request.body) as Record<string, unknown>;
  const promptAttributes = kumquatfront.promptAttributes.fromBody(body) ?? { tokens: 1, prefix: '' };
  const requestedOutput = body.stand_in_output_tokens ?? body.max_completion_tokens ?? body.max_tokens;
  return {
    generation: request.generation,
    priority: request.priority,
    promptTokens: Math.max(1, promptAttributes.tokens),
    outputTokens:
      typeof requestedOutput === 'number' && requestedOutput > 0
        ? Math.floor(requestedOutput)
        : DEFAULT_OUTPUT_TOKENS,
    prefix: promptAttributes.prefix,
  };
}
