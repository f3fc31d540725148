/**
 * Stand-in of a model runner, as a process of its own: streams events, announces itself, copies the memory of its runs to
 * other runners, and leaves when it is told so. The parent gives its options as JSON, and receives what it runs as messages.
 */
import * as http from 'node:http';

import { call } from './http.js';

const HEARTBEAT_INTERVAL_MS = 1200;
const SLOTS = 24;
const TOKENS_PER_EVENT = 4;
const PROMPT_TOKENS_PER_MS = 14;
const EVENT_INTERVAL_MS = 30;
/** Time to copy one token: 262,144 bytes over 38,000 Mbit/s, twice that between zones. */
const COPY_MS_PER_TOKEN = (2 * 262_144 * 8) / 38_000_000;
/** Path of the stand-ins' own by which one hands a copy to another. */
const COPY_PATH = '/stand-in/copy';

const options = JSON.parse(process.argv[2]);
const { id, service, zone, address, controls, memoryTokens, unframedEvery } = options;
const { version = 'v1', firstBeatMs = 0 } = options;
const born = Date.now();
const runs = new Map();
/** Copies of runs of other runners, by `ADDRESS/HANDLE` of their source. */
const copies = new Map();
/** Copies of own runs at other runners, by handle. */
const handles = new Map();
let copyFreeAt = 0;
let state = 'ready';
let sequence = 0;
let node = 0;
let answers = 0;
let prefillFreeAt = 0;

const tell = (message) => {
  process.send?.({ runner: id, ...message });
};

const usedTokens = () => [...runs.values(), ...copies.values()].reduce((sum, { tokens }) => sum + tokens, 0);

async function post(path, body) {
  for (const offset of controls.keys()) {
    const target = controls[(node + offset) % controls.length];
    const answer = await call({ address: target, method: 'POST', path, body });
    if (answer.status === 200) {
      node = (node + offset) % controls.length;
      return true;
    }
  }
  return false;
}

function beat() {
  sequence += 1;
  const body = JSON.stringify({
    ...{ service, address, zone, version, born, slots: SLOTS, state, cold_remaining_ms: 0 },
    ...{ phase: 'mixed', models: [{ name: 'm', version: 1, adapters: [] }], sequence },
  });
  return post(`/-/instances/${id}/heartbeat`, body);
}

/** Reports that it leaves, serves on for the time that its users allow, and exits. */
async function leave({ drainMs, lingerMs }) {
  state = 'draining';
  while (!(await beat())) {
    await new Promise((resolve) => setTimeout(resolve, 200));
  }
  tell({ event: 'leaving' });
  setTimeout(async () => {
    await post(`/-/instances/${id}/deregister`, JSON.stringify({ born }));
    tell({ event: 'exits', running: [...runs.keys()] });
    setTimeout(() => process.exit(0), 20);
  }, drainMs + lingerMs);
}

function rejected(outgoing, status, attempt) {
  outgoing.writeHead(status, {
    'X-Not-Executed': '1',
    'Content-Length': 0,
    ...(attempt && { 'X-Attempt-Id': attempt }),
  });
  outgoing.end();
}

function report(outgoing) {
  const body = JSON.stringify({
    ...{ phase: 'mixed', models: [{ name: 'm', version: 1, adapters: [] }], busy: false, sequence, born },
    ...{ queued: 0, active: runs.size, kv_used: usedTokens(), kv_total: memoryTokens, kv_handles: 0 },
  });
  outgoing.writeHead(200, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body) });
  outgoing.end(body);
}

function respondJson(outgoing, status, value) {
  const body = JSON.stringify(value);
  outgoing.writeHead(status, {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(body),
  });
  outgoing.end(body);
}

/** Keeps a copy of another runner's run, if there is room for it. */
function keepCopy(outgoing, { source, handle, ...copy }) {
  const key = `${source}/${handle}`;
  const known = copies.get(key)?.tokens ?? 0;
  const hasRoom = known > 0 || runs.size + copies.size < SLOTS;
  if (!hasRoom || usedTokens() - known + copy.tokens > memoryTokens) {
    respondJson(outgoing, 503, {});
    return;
  }
  copies.set(key, copy);
  respondJson(outgoing, 200, {});
}

/** Copies the memory of a run to another runner; with `final_move` the run stops first. */
async function move(outgoing, { id: attempt, target, final_move: isFinal }) {
  const run = runs.get(attempt);
  if (run === undefined) {
    respondJson(outgoing, 404, {});
    return;
  }
  if (run.isMoving) {
    respondJson(outgoing, 409, {});
    return;
  }
  run.isMoving = true;
  run.handle ??= `h${attempt}`;
  handles.set(run.handle, { target, attempt });
  if (isFinal) {
    run.stop();
  }
  const missing = run.tokens - (run.copiedTokens ?? 0);
  copyFreeAt = Math.max(copyFreeAt, Date.now()) + missing * COPY_MS_PER_TOKEN;
  await new Promise((resolve) => setTimeout(resolve, copyFreeAt - Date.now()));
  const { tokens, made, events, handle } = run;
  const body = JSON.stringify({ source: address, handle, tokens, made, events });
  const answer = await call({ address: target, method: 'POST', path: COPY_PATH, body });
  run.isMoving = false;
  tell({ event: 'copied', attempt, target, isFinal, status: answer.status, made });
  if (answer.status !== 200) {
    respondJson(outgoing, 503, isFinal ? { kv_handle: handle } : {});
    return;
  }
  run.copiedTokens = tokens;
  respondJson(outgoing, 200, { kv_handle: handle, made });
}

async function dropCopy(outgoing, handle) {
  const known = handles.get(handle);
  handles.delete(handle);
  if (known !== undefined) {
    const body = JSON.stringify({ source: address, handle, drop: true });
    await call({ address: known.target, method: 'POST', path: COPY_PATH, body });
  }
  respondJson(outgoing, known === undefined ? 404 : 200, {});
}

/** Begins a run, or goes on with one from a copy of its memory. */
function stream(incoming, outgoing, attempt) {
  const [prompt = 0] = String(incoming.headers['x-token-usage']).split(',').map(Number);
  const events = Number(new URL(incoming.url, 'http://runner').searchParams.get('events'));
  const copyKey = incoming.headers['kv-from'];
  const copy = copyKey === undefined ? undefined : copies.get(copyKey);
  if (copyKey !== undefined && copy === undefined) {
    rejected(outgoing, 503, attempt);
    return;
  }
  copies.delete(copyKey);
  answers += 1;
  const isUnframed = answers % unframedEvery === 0;
  const made = Number(incoming.headers['last-event-id'] ?? 0);
  const run = { tokens: prompt + made * TOKENS_PER_EVENT, made, events };
  runs.set(attempt, run);
  tell({ event: copy === undefined ? 'began' : 'goes on with', attempt, events, isUnframed, answers, made });
  const head = {
    'X-Attempt-Id': attempt,
    'X-Upstream-Signature': `s.${id}`,
    'X-Upstream-Load': `${runs.size},0,${SLOTS}`,
    'X-Weight-Versions': '1',
    'Content-Type': 'text/event-stream',
  };
  if (isUnframed) {
    // Neither a length nor chunks: the connection ends the answer.
    outgoing.useChunkedEncodingByDefault = false;
    outgoing.shouldKeepAlive = false;
  }
  outgoing.writeHead(200, head);
  outgoing.flushHeaders();
  if (copy === undefined) {
    prefillFreeAt = Math.max(prefillFreeAt, Date.now()) + prompt / PROMPT_TOKENS_PER_MS;
  }
  let timer;
  const write = () => {
    run.made += 1;
    run.tokens += TOKENS_PER_EVENT;
    outgoing.write(`id: ${run.made}\ndata: ${attempt} ${run.made} of ${events} by ${version}\n\n`);
    if (run.made === events) {
      clearInterval(timer);
      outgoing.end();
    }
  };
  const start = setTimeout(
    () => {
      write();
      timer = setInterval(write, EVENT_INTERVAL_MS);
    },
    copy === undefined ? prefillFreeAt - Date.now() : EVENT_INTERVAL_MS,
  );
  run.stop = () => {
    clearTimeout(start);
    clearInterval(timer);
    outgoing.destroy();
  };
  outgoing.on('close', () => {
    clearTimeout(start);
    clearInterval(timer);
    runs.delete(attempt);
    tell({ event: 'ended', attempt, made: run.made, events });
  });
}

function serve(incoming, outgoing, body) {
  const attempt = incoming.headers['x-attempt-id'];
  const { url } = incoming;
  if (url === '/-/report') {
    report(outgoing);
  } else if (url === '/-/kv-move') {
    move(outgoing, JSON.parse(body));
  } else if (url.startsWith('/-/kv-handle/')) {
    dropCopy(outgoing, decodeURIComponent(url.split('/').at(-1)));
  } else if (url === COPY_PATH) {
    const { drop, ...copy } = JSON.parse(body);
    if (drop) {
      copies.delete(`${copy.source}/${copy.handle}`);
      respondJson(outgoing, 200, {});
    } else {
      keepCopy(outgoing, copy);
    }
  } else if (url === '/healthz') {
    outgoing.writeHead(state === 'ready' ? 200 : 503, { 'X-Upstream-Instance': id, 'Content-Length': 0 });
    outgoing.end();
  } else if (![undefined, id].includes(incoming.headers['x-expected-instance'])) {
    rejected(outgoing, 421, attempt);
  } else if (runs.size >= SLOTS) {
    rejected(outgoing, 503, attempt);
  } else {
    stream(incoming, outgoing, attempt);
  }
}

const server = http.createServer((incoming, outgoing) => {
  let body = '';
  incoming.on('data', (bytes) => {
    body += bytes.toString();
  });
  incoming.on('end', () => {
    serve(incoming, outgoing, body);
  });
});
const [host, port] = address.split(':');
server.listen(Number(port), host, () => {
  setTimeout(() => {
    beat();
    setInterval(beat, HEARTBEAT_INTERVAL_MS);
  }, firstBeatMs);
});
process.on('message', (message) => {
  leave(message);
});
process.on('disconnect', () => process.exit(0));
