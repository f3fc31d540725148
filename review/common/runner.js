/** Stand-in of a runner of a plain service, as the pages describe one. */
import * as http from 'node:http';

import { call } from './http.js';

const HEARTBEAT_INTERVAL_MS = 1200;

export class PlainRunner {
  /**
   * @param address - `ip:port` to listen on
   * @param controls - admin addresses of the control processes
   * @param onRun - called with the path and the attempt of each request that begins to run
   */
  constructor({ id, service, zone, address, controls, workMs = 20, onRun }) {
    Object.assign(this, { id, service, zone, address, controls, workMs, onRun });
    this.sequence = 0;
    this.next = 0;
    this.running = 0;
    this.server = http.createServer((incoming, outgoing) => {
      incoming.resume();
      incoming.on('end', () => {
        this.serve(incoming, outgoing);
      });
    });
    const [host, port] = address.split(':');
    this.server.listen(Number(port), host);
    this.beat();
    this.timer = setInterval(() => {
      this.beat();
    }, HEARTBEAT_INTERVAL_MS);
  }

  async beat() {
    this.sequence += 1;
    const body = JSON.stringify({
      ...{ service: this.service, address: this.address, zone: this.zone, version: 'v1', slots: 6 },
      ...{ state: 'ready', cold_remaining_ms: 0, sequence: this.sequence },
    });
    const path = `/-/instances/${this.id}/heartbeat`;
    // The first one that answered last time, then the others.
    const nodes = this.controls.map(
      (_control, index) => this.controls[(this.next + index) % this.controls.length],
    );
    for (const address of nodes) {
      const answer = await call({ address, method: 'POST', path, body });
      if (answer.status === 200) {
        return;
      }
      this.next += 1;
    }
  }

  serve(incoming, outgoing) {
    const attempt = incoming.headers['x-attempt-id'];
    if (incoming.url === '/healthz') {
      outgoing.writeHead(200, { 'X-Upstream-Instance': this.id, 'Content-Length': 0 });
      outgoing.end();
      return;
    }
    if (![undefined, this.id].includes(incoming.headers['x-expected-instance'])) {
      outgoing.writeHead(421, { 'X-Not-Executed': '1', 'Content-Length': 0 });
      outgoing.end();
      return;
    }
    this.onRun(this, incoming.url, attempt);
    this.running += 1;
    setTimeout(() => {
      this.running -= 1;
      const body = `${this.id} ran ${attempt}\n`;
      outgoing.writeHead(200, {
        'X-Attempt-Id': attempt,
        'X-Upstream-Signature': `s.${this.id}`,
        'X-Upstream-Load': `${this.running},0,6`,
        'Content-Length': Buffer.byteLength(body),
      });
      outgoing.end(body);
    }, this.workMs);
  }

  stop() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }
}
