/** Client stand-ins that send one request after the other on a connection that they keep open. */
import * as http from 'node:http';

import { call } from './httpCall.js';
import { sleep } from './deployment.js';

/** Time before a client goes on after a request without an answer, on a new connection. */
const FAILURE_DELAY = 300;

/** Clients of one deployment; see the module comment. */
export class KeptClients {
  constructor(deployment, { key, timeout }) {
    this.deployment = deployment;
    this.key = key;
    this.timeout = timeout;
    this.sent = [];
    this.isRunning = true;
    this.loops = [];
  }

  /** Starts some clients at an entry. */
  start(entry, count) {
    for (let index = 1; index <= count; index += 1) {
      this.loops.push(this.run(entry, `${entry.name}-client-${index}`));
    }
  }

  async run(entry, name) {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    for (let number = 1; this.isRunning; number += 1) {
      const attempt = `${name}-${number}`;
      const result = await call({
        address: `${entry.host}:${this.deployment.ports.frontend}`,
        method: 'POST',
        path: '/post/x',
        headers: {
          Host: 'review.example',
          'X-Attempt-Id': attempt,
          'X-Deadline-Ms': String(this.timeout),
          Authorization: `Token ${this.key}`,
        },
        body: 'reimburse',
        timeout: this.timeout,
        agent,
      });
      const { status, wasKept, reason } = result;
      this.sent.push({ attempt, status, wasKept, reason, entry: entry.name });
      const answer = status === 0 ? `no answer (${reason})` : `status ${status}`;
      const connection = wasKept ? 'kept' : 'new';
      this.deployment.record(`client ${attempt} to ${entry.name}, ${connection} connection: ${answer}`);
      if (status === 0) {
        await sleep(FAILURE_DELAY);
      }
    }
    agent.destroy();
  }

  /** Ends all clients after their last answer. */
  async stop() {
    this.isRunning = false;
    await Promise.all(this.loops);
  }

  /** Requests from kept connections that a runner ran, and whose connection was closed without an answer. */
  lost() {
    const ran = new Set(this.deployment.runs.filter(({ event }) => event === 'ran').map(({ id }) => id));
    return this.sent.filter(({ status, wasKept, attempt }) => status === 0 && wasKept && ran.has(attempt));
  }
}
