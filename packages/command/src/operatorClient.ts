/**
 * Talks to control for operators: reads and changes configuration, resends a change whose answer was lost
 * under the same change id, and turns to another replica when one does not answer.
 */
import * as kumquatfront from 'kumquatfront';
import * as undici from 'undici';

/** Where control is, and the operators' key. */
export interface OperatorClientOptions {
  /** Operator addresses of the control replicas: `ip:port`. */
  readonly control: readonly string[];
  readonly key: string;
  readonly random: kumquatfront.ports.Random;
  readonly time: {
    readonly clock: kumquatfront.ports.Clock;
    readonly scheduler: kumquatfront.ports.Scheduler;
  };
}

/** Result of a call of the client. */
export type Outcome<Value> = kumquatfront.results.Result<Value, kumquatfront.failures.Failure>;

/** Status of the whole system, as one replica gathers it. */
export interface SystemStatus {
  readonly replicas: readonly kumquatfront.controlMethods.ControlStatus[];
  readonly silent: readonly string[];
}

const REQUEST_TIMEOUT = 5_000;
const TRIES = 12;
const PAUSE = 300;
const RETRIED: readonly kumquatfront.failures.FailureKind[] = [
  'noQuorum',
  'timeout',
  'unreachable',
  'notLeader',
  'stale',
];

/** The client; see the module comment. */
export class OperatorClient {
  private readonly options: OperatorClientOptions;
  private readonly agent = new undici.Agent({ connect: { timeout: 1_000 } });
  private position = 0;

  constructor(options: OperatorClientOptions) {
    this.options = options;
  }

  private async once(method: string, path: string, body: unknown): Promise<Outcome<unknown>> {
    const address = this.options.control[this.position % this.options.control.length] ?? '';
    try {
      const response = await undici.request(`http://${address}${path}`, {
        dispatcher: this.agent,
        method: method,
        headers: { 'content-type': 'application/json', authorization: `Bearer ${this.options.key}` },
        body: body === undefined ? undefined : JSON.stringify(body),
        signal: AbortSignal.timeout(REQUEST_TIMEOUT),
      });
      const answer = (await response.body.json()) as { error?: kumquatfront.failures.Failure };
      return answer.error === undefined
        ? kumquatfront.results.Ok(answer)
        : kumquatfront.results.Err(answer.error);
    } catch {
      const remedy = 'Check the address and that the control daemon runs.';
      return kumquatfront.results.Err(
        kumquatfront.failures.create('unreachable', `Control at ${address} does not answer.`, remedy),
      );
    }
  }

  private async request(method: string, path: string, body?: unknown): Promise<Outcome<unknown>> {
    let result = await this.once(method, path, body);
    for (let tries = 1; tries < TRIES && result.err && RETRIED.includes(result.val.kind); tries += 1) {
      this.position += 1;
      await new Promise<void>((resolve) => {
        this.options.time.scheduler.after(PAUSE, resolve);
      });
      result = await this.once(method, path, body);
    }
    return result;
  }

  /** Objects of a kind, or the one with a name. */
  async get(
    kind: string,
    name?: string,
  ): Promise<Outcome<readonly kumquatfront.configurationTypes.ConfigurationObject[]>> {
    const path = name === undefined ? `/v1/configuration/${kind}` : `/v1/configuration/${kind}/${name}`;
    const result = await this.request('GET', path);
    return result.map(
      (answer) =>
        (answer as { objects: readonly kumquatfront.configurationTypes.ConfigurationObject[] }).objects,
    );
  }

  /** Changes one object on the version it was read at; a lost answer is asked for again, not a second change. */
  async put(
    draft: kumquatfront.configurationTypes.ConfigurationDraft,
    expectedVersion: number,
  ): Promise<Outcome<number>> {
    const body = { changeId: this.options.random.identity(), expectedVersion, body: draft.body };
    const result = await this.request('PUT', `/v1/configuration/${draft.kind}/${draft.name}`, body);
    return result.map((answer) => (answer as { version: number }).version);
  }

  /** Deletes one object on the version it was read at. */
  async delete(kind: string, name: string, expectedVersion: number): Promise<Outcome<number>> {
    const body = { changeId: this.options.random.identity(), expectedVersion };
    const result = await this.request('DELETE', `/v1/configuration/${kind}/${name}`, body);
    return result.map((answer) => (answer as { version: number }).version);
  }

  async status(): Promise<Outcome<SystemStatus>> {
    const result = await this.request('GET', '/v1/status');
    return result.map((answer) => answer as SystemStatus);
  }

  async order(order: Readonly<Record<string, unknown>>): Promise<Outcome<unknown>> {
    return this.request('POST', '/v1/orders', order);
  }

  /** Evacuates a data centre or restores it; an answer that was lost is asked for again. */
  async orderDataCentre(
    command: kumquatfront.agreedTypes.DataCentreCommand,
  ): Promise<Outcome<kumquatfront.agreedTypes.Evacuations>> {
    const method = command.type === 'evacuate' ? 'PUT' : 'DELETE';
    const path = `/v1/evacuations/${encodeURIComponent(command.dataCentre)}`;
    const result = await this.request(method, path);
    return result.map((answer) => answer as kumquatfront.agreedTypes.Evacuations);
  }

  /** Has an entry drain and end. */
  async drain(entry: string): Promise<Outcome<unknown>> {
    return this.request('POST', '/v1/drains', { entry });
  }

  /** Counts against the objectives, of every entry that answers. */
  async burn(): Promise<Outcome<readonly kumquatfront.burnRecorder.BurnCounts[]>> {
    const result = await this.request('GET', '/v1/burn');
    return result.map(
      (answer) => (answer as { counts: readonly kumquatfront.burnRecorder.BurnCounts[] }).counts,
    );
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }
}
