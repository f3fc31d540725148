/**
 * Posts news to entries over HTTP, turning to another entry when one does not answer.
 */
import * as kumquatfront from 'kumquatfront';
import * as undici from 'undici';

/** What a poster is made from. */
export interface HttpPosterOptions {
  /** Addresses of entries to begin with: `http://ip:port`. */
  readonly entries: readonly string[];
  readonly upstreamKey: string;
  readonly random: kumquatfront.ports.Random;
}

const POST_TIMEOUT = 1_000;
const TRIES = 3;

/**
 * Creates a function that posts news.
 *
 * @param options - entries and key
 * @returns the function
 * @example
 * ```ts
 * const post = httpPoster.create({ entries: ['http://127.0.0.1:8080'], upstreamKey, random });
 * ```
 */
export function create(options: HttpPosterOptions): (news: kumquatfront.directoryTypes.UpstreamNews) => void {
  const agent = new undici.Agent({ connect: { timeout: POST_TIMEOUT } });
  let entries = [...options.entries];
  let current = Math.floor(options.random.next() * entries.length);

  const attempt = async (body: string): Promise<void> => {
    const response = await undici.request(`${entries[current % entries.length] ?? ''}/v1/announcements`, {
      dispatcher: agent,
      method: 'POST',
      headers: { 'content-type': 'application/json', authorization: `Bearer ${options.upstreamKey}` },
      body,
      signal: AbortSignal.timeout(POST_TIMEOUT),
    });
    const answer = (await response.body.json()) as { entries?: readonly { address: string }[] };
    const known = (answer.entries ?? []).map((entry) => entry.address);
    entries = [...new Set([...known, ...options.entries])];
    current = entries.findIndex((entry) => known.includes(entry));
  };

  const post = async (body: string): Promise<void> => {
    for (let tries = 0; tries < TRIES; tries += 1) {
      try {
        await attempt(body);
        return;
      } catch {
        current += 1;
      }
    }
  };

  return (news) => {
    void post(JSON.stringify(news));
  };
}
