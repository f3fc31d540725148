/**
 * Engine process of the relay benchmark: announces itself to the entries and streams tokens, either as fast as the reader
 * accepts them or at a fixed interval. Takes its options as JSON on the command line.
 */
import * as http from 'node:http';
import type * as net from 'node:net';

import * as kumquatfront from 'kumquatfront';
import * as standIns from 'kumquatfront-stand-ins';

interface SourceOptions {
  readonly host: string;
  readonly port: number;
  readonly entries: readonly string[];
  readonly upstreamKey: string;
  readonly tokens: number;
  /** Milliseconds between tokens; 0 streams as fast as the reader accepts them. */
  readonly pace: number;
}

const EVENTS_PER_WRITE = 64;
const options = JSON.parse(process.argv[2] ?? '{}') as SourceOptions;
const { clock, scheduler } = kumquatfront.systemTime;

function formatEvent(generation: string, index: number): string {
  const chunk = {
    id: generation,
    choices: [{ index: 0, text: 'token ', finish_reason: null }],
    at: clock.wall() + (clock.now() % 1),
  };
  return `id: ${generation}:${index}\ndata: ${JSON.stringify(chunk)}\n\n`;
}

function streamTokens(generation: string, response: http.ServerResponse): void {
  let index = 0;
  const finish = (): void => {
    response.end(`id: ${generation}:${index}\ndata: [DONE]\n\n`);
  };
  const writeUnthrottled = (): void => {
    while (index < options.tokens) {
      let batch = '';
      for (let count = 0; count < EVENTS_PER_WRITE && index < options.tokens; count += 1) {
        batch += formatEvent(generation, index++);
      }
      if (!response.write(batch)) {
        response.once('drain', writeUnthrottled);
        return;
      }
    }
    finish();
  };
  const writePaced = (): void => {
    if (index >= options.tokens) {
      finish();
      return;
    }
    response.write(formatEvent(generation, index++));
    scheduler.after(options.pace, writePaced);
  };
  (options.pace === 0 ? writeUnthrottled : writePaced)();
}

const server = http.createServer((request, response) => {
  request.resume();
  request.on('end', () => {
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    streamTokens(String(request.headers['x-generation-id'] ?? 'bare.1'), response);
  });
});

server.listen(options.port, options.host, () => {
  const { port } = server.address() as net.AddressInfo;
  const random = kumquatfront.seededRandom.createUnpredictable();
  const idle = { running: 0, waiting: 0, usedTokens: 0 };
  new standIns.announcer.Announcer({
    announcement: {
      ...{
        name: 'source',
        incarnation: clock.wall(),
        address: `http://${options.host}:${port}`,
        kind: 'engine',
      },
      ...{
        labels: { pool: 'ledger-llm' },
        dataCentre: 'perth-1',
        memoryTokens: 1e9,
        slots: 10_000,
        lease: 5_000,
      },
    },
    timers: kumquatfront.timerService.create(clock, scheduler),
    random,
    ...{ announcementInterval: 1_000, reportInterval: 1_000, reportLag: 0, cacheEventLossShare: 0 },
    load: () => idle,
    cacheChanges: () => ({ added: [], removed: [] }),
    isFrozen: () => false,
    post: standIns.httpPoster.create({ entries: options.entries, upstreamKey: options.upstreamKey, random }),
  });
});
