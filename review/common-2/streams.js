/** Streams of client stand-ins, and whether each was broken by the rule ORDER as its client sees it. */
import { call } from './httpCall.js';
import { sleep } from './deployment.js';

/** Opens some streams at each entry, on the routes in turn; resolves to their answers. */
export async function open(deployment, entries, perEntry, routes) {
  const answers = [];
  for (const entry of entries) {
    for (let index = 1; index <= perEntry; index += 1) {
      const attempt = `${entry.name}-${index}`;
      const route = routes[index % routes.length];
      deployment.record(`client ${attempt} sends to ${entry.name}, route ${route}`);
      const answer = call({
        address: `${entry.host}:${deployment.ports.frontend}`,
        method: 'POST',
        path: `/${route}/x`,
        headers: {
          Host: 'review.example',
          'X-Attempt-Id': attempt,
          'X-Model': 'm',
          'X-Token-Usage': '100,1000',
          'X-Prompt-Prefix': `aa:50,${attempt.replace(/\D/g, '')}:50`,
          'X-Deadline-Ms': '39000',
          Authorization: 'Token key-1',
        },
        body: 'prompt',
      });
      answers.push(answer.then((result) => ({ attempt, result })));
      await sleep(30);
    }
  }
  return answers;
}

/**
 * Counts the streams that end as complete although a piece is missing, and those that are whole.
 *
 * @param count - pieces of a whole stream
 */
export function judge(deployment, results, count) {
  let broken = 0;
  let whole = 0;
  for (const { attempt, result } of results) {
    const pieces = [...result.body.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1]));
    const isInOrder = pieces.every((piece, position) => piece === position + 1);
    const isWhole = isInOrder && pieces.length === count;
    const endsAsComplete = result.status === 200 && result.isComplete;
    broken += endsAsComplete && !isWhole ? 1 : 0;
    whole += endsAsComplete && isWhole ? 1 : 0;
    deployment.record(
      `client ${attempt} status ${result.status}, ${pieces.length} of ${count} pieces, in order ${isInOrder}, ` +
        `${endsAsComplete ? 'ends as complete' : `broken off: ${result.reason}`}` +
        `${endsAsComplete && !isWhole ? ', ORDER BROKEN' : ''}`,
    );
  }
  return { broken, whole, total: results.length };
}
