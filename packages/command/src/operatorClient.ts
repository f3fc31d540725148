/**
 * HTTP client for the operator API of control. A request without an answer is retried on the next replica. A retried
 * change keeps its change id, so that it is applied only once.
 */
import * as kumquatfront from 'kumquatfront';
import * as undici from 'undici';

/** Addresses of control, the operator key and the ports that the client needs. */
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

/** Result of a method of the client. */
export type ClientResult<Value> = kumquatfront.results.Result<Value, kumquatfront.failures.Failure>;

/** Status of the system, as collected by one replica. */
export interface SystemStatus {
  readonly replicas: readonly kumquatfront.controlMethods.ControlStatus[];
  /** Addresses of replicas that did not respond. */
  readonly silent: readonly string[];
}

/** Shares of client accounts, as collected by one replica. */
export interface SystemAccounts {
  readonly accounts: readonly kumquatfront.shareReport.AccountStatus[];
  /** Addresses of replicas that did not respond. */
  readonly silent: readonly string[];
}

/** Bytes of an answer: four times the largest object of a configuration, as a list has all of a kind. */
const MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024;

const REQUEST_TIMEOUT = 5_000;
const MAXIMUM_ATTEMPTS = 12;
const RETRY_DELAY = 300;
const RETRYABLE_FAILURES: readonly kumquatfront.failures.FailureKind[] = [
  'noQuorum',
  'timeout',
  'unreachable',
  'notLeader',
  'stale',
];

/** Client for the operator API of control; see the module comment. */
export class OperatorClient {
  private readonly options: OperatorClientOptions;
  private readonly agent = new undici.Agent({ connect: { timeout: 1_000 } });
  private addressIndex = 0;

  constructor(options: OperatorClientOptions) {
    this.options = options;
  }

  private async sendRequest(method: string, path: string, body: unknown): Promise<ClientResult<unknown>> {
    const address = this.options.control[this.addressIndex % this.options.control.length] ?? '';
    try {
      const response = await undici.request(`http://${address}${path}`, {
        dispatcher: this.agent,
        method: method,
        headers: { 'content-type': 'application/json', authorization: `Bearer ${this.options.key}` },
        body: body === undefined ? undefined : JSON.stringify(body),
        signal: AbortSignal.timeout(REQUEST_TIMEOUT),
      });
      const text = await kumquatfront.responseBody.readText(response.body, MAXIMUM_ANSWER_BYTES);
      const answer = JSON.parse(text) as { error?: kumquatfront.failures.Failure };
      return answer.error === undefined
        ? kumquatfront.results.Ok(answer)
        : kumquatfront.results.Err(answer.error);
    } catch (error: unknown) {
      if (error instanceof kumquatfront.responseBody.TooLargeError) {
        return kumquatfront.results.Err(
          kumquatfront.failures.create(
            'tooLarge',
            `Control replica ${address}: ${error.message}.`,
            'Ask for one object by its name, and check that the address is that of control.',
          ),
        );
      }
      const remedy = 'Check the address, and that the control daemon is running.';
      return kumquatfront.results.Err(
        kumquatfront.failures.create('unreachable', `Control replica ${address} did not respond.`, remedy),
      );
    }
  }

  private async sendWithRetries(
    method: string,
    path: string,
    body?: unknown,
  ): Promise<ClientResult<unknown>> {
    let result = await this.sendRequest(method, path, body);
    for (
      let attempts = 1;
      attempts < MAXIMUM_ATTEMPTS && result.err && RETRYABLE_FAILURES.includes(result.val.kind);
      attempts += 1
    ) {
      this.addressIndex += 1;
      await new Promise<void>((resolve) => {
        this.options.time.scheduler.after(RETRY_DELAY, resolve);
      });
      result = await this.sendRequest(method, path, body);
    }
    return result;
  }

  /** Reads all objects of a kind, or the one with the given name. */
  async get(
    kind: string,
    name?: string,
  ): Promise<ClientResult<readonly kumquatfront.configurationTypes.ConfigurationObject[]>> {
    const path = name === undefined ? `/v1/configuration/${kind}` : `/v1/configuration/${kind}/${name}`;
    const result = await this.sendWithRetries('GET', path);
    return result.map(
      (answer) =>
        (answer as { objects: readonly kumquatfront.configurationTypes.ConfigurationObject[] }).objects,
    );
  }

  /** Writes one object if it still has the expected version; retries reuse the change id and change it only once. */
  async put(
    draft: kumquatfront.configurationTypes.ConfigurationDraft,
    expectedVersion: number,
  ): Promise<ClientResult<number>> {
    const body = { changeId: this.options.random.identity(), expectedVersion, body: draft.body };
    const result = await this.sendWithRetries('PUT', `/v1/configuration/${draft.kind}/${draft.name}`, body);
    return result.map((answer) => (answer as { version: number }).version);
  }

  /** Deletes one object if it still has the expected version. */
  async delete(kind: string, name: string, expectedVersion: number): Promise<ClientResult<number>> {
    const body = { changeId: this.options.random.identity(), expectedVersion };
    const result = await this.sendWithRetries('DELETE', `/v1/configuration/${kind}/${name}`, body);
    return result.map((answer) => (answer as { version: number }).version);
  }

  /** Reads the status of control replicas and entries. */
  async status(): Promise<ClientResult<SystemStatus>> {
    const result = await this.sendWithRetries('GET', '/v1/status');
    return result.map((answer) => answer as SystemStatus);
  }

  /** Sends an order to an upstream through control. */
  async submitOrder(order: Readonly<Record<string, unknown>>): Promise<ClientResult<unknown>> {
    return this.sendWithRetries('POST', '/v1/orders', order);
  }

  /** Evacuates or restores a data centre; a request whose answer was lost is sent again. */
  async sendDataCentreCommand(
    command: kumquatfront.agreedTypes.DataCentreCommand,
  ): Promise<ClientResult<kumquatfront.agreedTypes.Evacuations>> {
    const method = command.type === 'evacuate' ? 'PUT' : 'DELETE';
    const path = `/v1/evacuations/${encodeURIComponent(command.dataCentre)}`;
    const result = await this.sendWithRetries(method, path);
    return result.map((answer) => answer as kumquatfront.agreedTypes.Evacuations);
  }

  /** Requests that an entry drains and stops. */
  async drain(entry: string): Promise<ClientResult<unknown>> {
    return this.sendWithRetries('POST', '/v1/drains', { entry });
  }

  /** Reads the good and bad calls for each objective from every entry that answers. */
  async readBurnCounts(): Promise<ClientResult<readonly kumquatfront.burnRecorder.BurnCounts[]>> {
    const result = await this.sendWithRetries('GET', '/v1/burn');
    return result.map(
      (answer) => (answer as { counts: readonly kumquatfront.burnRecorder.BurnCounts[] }).counts,
    );
  }

  /** Reads the shares, use, debts and refusals of client accounts. */
  async accounts(): Promise<ClientResult<SystemAccounts>> {
    const result = await this.sendWithRetries('GET', '/v1/accounts');
    return result.map((answer) => answer as SystemAccounts);
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }
}
