/**
 * A runner stand-in as PROTOCOL.md describes one: it sends heartbeats, answers only requests that name it, echoes the
 * attempt, signs its answers, and reports to its parent what it ran. Options and orders of the parent decide how its
 * answers are framed and how long they take.
 */
import * as http from 'node:http';

const options = JSON.parse(process.argv[2]);
const {
  id,
  service,
  address,
  zone,
  slots,
  control,
  eventInterval = 40,
  events = 100,
  workTime = 20,
} = options;
const [host, port] = address.split(':');
const sockets = new Set();
/** Running and stopped streams by attempt, and copies of others' memory by handle. */
const runs = new Map();
const copies = new Map();
let framing = options.framing ?? 'chunked';
let moveReply = options.moveReply ?? 'noRoom';
let state = 'ready';
let sequence = 0;
let beat = 0;

const tell = (event, attempt, detail) => {
  process.send?.({ event, id: attempt, detail });
};

function post(target, path, body) {
  const [targetHost, targetPort] = target.split(':');
  return new Promise((resolve) => {
    const request = http.request({
      host: targetHost,
      port: Number(targetPort),
      method: 'POST',
      path,
      agent: false,
      timeout: 1_000,
      headers: { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body) },
    });
    request.on('timeout', () => request.destroy());
    request.on('error', () => {
      resolve(0);
    });
    request.on('response', (response) => {
      response.resume();
      response.on('error', () => undefined);
      resolve(response.statusCode);
    });
    request.end(body);
  });
}

/** Says something to control, one machine after the other until one acknowledges it. */
async function say(path, body) {
  for (let attempt = 0; attempt < control.length * 2; attempt += 1) {
    beat += 1;
    const status = await post(control[beat % control.length], path, body);
    if (status >= 200 && status < 300) {
      return true;
    }
  }
  return false;
}

function heartbeat() {
  sequence += 1;
  const body = JSON.stringify({
    ...{
      service,
      address,
      zone,
      version: options.version ?? 'v1',
      slots,
      state,
      cold_remaining_ms: 0,
      sequence,
    },
    ...(options.born !== undefined && { born: options.born }),
  });
  return say(`/-/instances/${id}/heartbeat`, body);
}

/** Sends the head so that the body is framed by chunks, by a length, or only by the end of the connection. */
function sendHead(response, attempt, length, type) {
  const head = {
    'X-Attempt-Id': attempt,
    'X-Upstream-Signature': `sig.${id}.${attempt}`,
    'Content-Type': type,
    'X-Upstream-Load': `${sockets.size},0,${slots}`,
  };
  if (framing === 'unframed') {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
  } else if (framing === 'length') {
    head['Content-Length'] = length;
  }
  response.writeHead(200, head);
}

const eventOf = (attempt, index) =>
  `id: ${index}\ndata: ${attempt} piece ${index} by ${options.version ?? 'v1'}\n\n`;

function stream(request, response, attempt) {
  const first = Number(request.headers['last-event-id'] ?? 0) + 1;
  const all = [];
  for (let index = first; index <= events; index += 1) {
    all.push(eventOf(attempt, index));
  }
  sendHead(response, attempt, Buffer.byteLength(all.join('')), 'text/event-stream');
  const run = { made: first - 1, isStopped: false, isMoving: false, stop: () => undefined };
  runs.set(attempt, run);
  const timer = setInterval(() => {
    const next = all.shift();
    if (next !== undefined) {
      response.write(next);
      run.made += 1;
    }
    if (all.length === 0) {
      clearInterval(timer);
      runs.delete(attempt);
      response.end();
      tell('ended', attempt);
    }
  }, eventInterval);
  run.stop = () => {
    run.isStopped = true;
    clearInterval(timer);
    tell('stopped', attempt, `after ${run.made}`);
    response.destroy();
  };
  response.on('close', () => {
    clearInterval(timer);
    if (!run.isStopped && runs.get(attempt) === run) {
      runs.delete(attempt);
    }
    tell(response.writableFinished ? 'closed' : 'dropped', attempt);
  });
}

/** Takes the handle of `Kv-From`: a copy from another runner, or the memory of a run that stopped here. */
function takeCopy(source) {
  const slash = source.indexOf('/');
  const key = `${source.slice(0, slash)} ${source.slice(slash + 1)}`;
  const copy = copies.get(key);
  copies.delete(key);
  return copy;
}

/** Moves the memory of a run, as PROTOCOL.md describes `kv-move`. */
async function moveMemory(body, response) {
  const { id: attempt, target, final_move: isFinal } = JSON.parse(body);
  const reply = (status, value) => {
    tell('move', attempt, `${isFinal ? 'final' : 'first'} to ${target}: ${status}, reply ${moveReply}`);
    if (moveReply === 'lost' && isFinal) {
      response.destroy();
      return;
    }
    response.writeHead(status, { 'Content-Type': 'application/json' });
    response.end(JSON.stringify(value));
  };
  const run = runs.get(attempt);
  if (run === undefined || run.isStopped) {
    reply(404, {});
    return;
  }
  if (run.isMoving) {
    reply(409, {});
    return;
  }
  if (moveReply === 'noRoom') {
    // No room at the destination: the run goes on here, unless it was told to stop.
    if (isFinal) {
      run.stop();
      copies.set(`${address} ${attempt}`, { attempt });
    }
    reply(503, isFinal ? { kv_handle: attempt } : {});
    return;
  }
  run.isMoving = true;
  if (isFinal) {
    run.stop();
    copies.set(`${address} ${attempt}`, { attempt });
  }
  await new Promise((resolve) => setTimeout(resolve, moveReply === 'slow' && isFinal ? 3_000 : 30));
  const status = await post(
    target,
    '/-/stand-in-copy',
    JSON.stringify({ key: `${address} ${attempt}`, attempt }),
  );
  run.isMoving = false;
  if (status === 200) {
    reply(200, { kv_handle: attempt, made: run.made });
  } else {
    reply(503, isFinal ? { kv_handle: attempt } : {});
  }
}

const server = http.createServer((request, response) => {
  const attempt = request.headers['x-attempt-id'];
  const chunks = [];
  request.on('data', (bytes) => chunks.push(bytes));
  request.on('error', () => undefined);
  response.on('error', () => undefined);
  request.on('end', () => {
    const expected = request.headers['x-expected-instance'];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { 'X-Not-Executed': '1', 'X-Attempt-Id': attempt ?? '' });
      response.end();
      return;
    }
    if (request.url === '/healthz') {
      response.writeHead(state === 'ready' ? 200 : 503, { 'X-Upstream-Instance': id });
      response.end();
      return;
    }
    if (request.url === '/-/kv-move') {
      void moveMemory(Buffer.concat(chunks).toString(), response);
      return;
    }
    if (request.url === '/-/stand-in-copy') {
      const { key, attempt: copied } = JSON.parse(Buffer.concat(chunks).toString());
      copies.set(key, { attempt: copied });
      response.writeHead(200);
      response.end();
      return;
    }
    if (request.url.startsWith('/-/')) {
      response.writeHead(404);
      response.end();
      return;
    }
    const source = request.headers['kv-from'];
    if (source !== undefined && takeCopy(source)?.attempt !== attempt) {
      tell('copyUnknown', attempt, source);
      response.writeHead(503, { 'X-Not-Executed': '1', 'X-Attempt-Id': attempt });
      response.end();
      return;
    }
    const detail = `after ${request.headers['last-event-id'] ?? 0}${source === undefined ? '' : ' from a copy'}`;
    tell('ran', attempt, `${request.method} ${request.url} ${detail}`);
    if (service === 'llm') {
      stream(request, response, attempt);
      return;
    }
    setTimeout(() => {
      const body = `answer to ${attempt} `.repeat(40);
      sendHead(response, attempt, Buffer.byteLength(body), 'text/plain');
      response.end(body);
    }, workTime);
  });
});
server.on('connection', (socket) => {
  sockets.add(socket);
  socket.setNoDelay(true);
  socket.on('close', () => sockets.delete(socket));
});
server.listen(Number(port), host, () => {
  // "A heartbeat may arrive seconds late."
  setTimeout(() => {
    void heartbeat();
    setInterval(() => {
      if (state !== 'gone') {
        void heartbeat();
      }
    }, 1_200);
  }, options.heartbeatDelay ?? 0);
});

process.on('message', (message) => {
  framing = message.framing ?? framing;
  moveReply = message.moveReply ?? moveReply;
  if (message.order === 'drain') {
    // As on a planned shutdown: draining, acknowledged, some time to serve, deregister, exit.
    state = 'draining';
    void heartbeat().then((isAcknowledged) => {
      tell('draining', undefined, isAcknowledged ? 'acknowledged' : 'not acknowledged');
      setTimeout(() => {
        state = 'gone';
        void say(`/-/instances/${id}/deregister`, '').then(() => {
          tell('exits');
          setTimeout(() => process.exit(0), 50);
        });
      }, message.serveFor);
    });
  }
});
process.on('disconnect', () => process.exit(0));
