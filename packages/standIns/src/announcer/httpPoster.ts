/**
 * Posts updates of an upstream to entries over HTTP and fails over to another entry when one does not respond.
 */
import * as kumquatfront from 'kumquatfront';
import * as undici from 'undici';

/** Options of a poster. */
export interface HttpPosterOptions {
  /** Addresses of the initial entries: `http://ip:port`. */
  readonly entries: readonly string[];
  readonly upstreamKey: string;
  readonly random: kumquatfront.ports.Random;
}

const POST_TIMEOUT = 1_000;
const MAXIMUM_ATTEMPTS = 3;

/**
 * Creates a function that posts updates.
 *
 * @param options - initial entries and upstream key
 * @returns the function
 * @example
 * ```ts
 * const post = httpPoster.create({ entries: ['http://127.0.0.1:8080'], upstreamKey, random });
 * ```
 */
export function create(
  options: HttpPosterOptions,
): (update: kumquatfront.directoryTypes.UpstreamUpdate) => void {
  const agent = new undici.Agent({ connect: { timeout: POST_TIMEOUT } });
  let entries = [...options.entries];
  let currentIndex = Math.floor(options.random.next() * entries.length);

  const attempt = async (body: string): Promise<void> => {
    const response = await undici.request(
      `${entries[currentIndex % entries.length] ?? ''}/v1/announcements`,
      {
        dispatcher: agent,
        method: 'POST',
        headers: { 'content-type': 'application/json', authorization: `Bearer ${options.upstreamKey}` },
        body,
        signal: AbortSignal.timeout(POST_TIMEOUT),
      },
    );
    const answer = (await response.body.json()) as { entries?: readonly { address: string }[] };
    const knownAddresses = (answer.entries ?? []).map((entry) => entry.address);
    entries = [...new Set([...knownAddresses, ...options.entries])];
    currentIndex = entries.findIndex((entry) => knownAddresses.includes(entry));
  };

  const post = async (body: string): Promise<void> => {
    for (let attemptCount = 0; attemptCount < MAXIMUM_ATTEMPTS; attemptCount += 1) {
      try {
        await attempt(body);
        return;
      } catch {
        currentIndex += 1;
      }
    }
  };

  return (update) => {
    void post(JSON.stringify(update));
  };
}
