/** A stand-in of the users: submit, ask and cancel as the pages say. */
import { Client, isFields, sleep, textOf, type Fields } from './http.js';

const SUBMIT_TIMEOUT_MS = 5000;
const POLL_TIMEOUT_MS = 2000;
const RETRY_MS = 1000;
const RETRY_FOR_MS = 60_000;

/** A user with one connection, which stays open. */
export class User {
  readonly client = new Client();

  /** @param api address of the node that the load balancer chose for the connection */
  constructor(
    readonly api: string,
    private readonly note: (text: string) => void,
  ) {}

  /** Submits a job and retries; returns the status of the answer that ends the tries, 0 if none did. */
  submit(job: Fields): Promise<number> {
    return this.repeat(`submit ${textOf(job['id'])}`, '/submissions', job);
  }

  /** Cancels a job and retries; returns the status of the answer that ends the tries, 0 if none did. */
  cancel(id: string): Promise<number> {
    return this.repeat(`cancel ${id}`, `/submissions/${id}/abort`, {});
  }

  private async repeat(what: string, path: string, body: Fields): Promise<number> {
    const until = performance.now() + RETRY_FOR_MS;
    while (performance.now() < until) {
      const reply = await this.client.call(this.api, 'POST', path, body, SUBMIT_TIMEOUT_MS);
      const status = reply?.status ?? 0;
      if (status !== 503 && status !== 0)
        this.note(`${what} at ${this.api}: ${status} ${JSON.stringify(reply?.body)}`);
      if ([200, 201, 400, 422].includes(status)) return status;
      await sleep(RETRY_MS);
    }
    return 0;
  }

  /** Asks once; returns the HTTP status (0: none in time) and the status of the job. */
  async poll(id: string): Promise<{ http: number; status: string }> {
    const path = `/submissions/${id}`;
    const reply = await this.client.call(this.api, 'GET', path, undefined, POLL_TIMEOUT_MS);
    const status = isFields(reply?.body) ? textOf(reply.body['status']) : '';
    const http = reply?.status ?? 0;
    this.note(`poll ${id} at ${this.api}: ${http} ${status}`);
    return { http, status };
  }
}

/** Returns a submission of a job array. */
export function arrayJob(id: string, fields: Fields): Fields {
  return {
    id,
    shift: 'vanmatch',
    crew: 'diet-safety',
    shape: 'batch',
    urgency: 'normal',
    duties: 1,
    cores: 1.0,
    cards: 0.0,
    mem_gb: 1.0,
    recipe: 'img-01',
    pull_gb: 0.1,
    models: null,
    hall: null,
    same_place: false,
    scatter: false,
    loaners: true,
    expect_s: 5.0,
    bookmark_s: 0.0,
    stow_s: 0.0,
    due_s: null,
    ...fields,
  };
}
