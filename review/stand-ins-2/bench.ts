/** Runs a case: its record, its temporary folder, its exit code, and the end of all that it started. */
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import type { Cloud } from './cloud.js';
import { Controllers, type Site } from './controllers.js';
import { Client, isFields, sleep } from './http.js';

export type Outcome = 'held' | 'broken' | 'could not run';

const exitCodes: Record<Outcome, number> = { held: 0, broken: 1, 'could not run': 2 };

/** A case ends by itself before this time, so that it never runs for 120 s. */
const MAX_RUN_MS = 117_000;

export class Bench {
  /** False if the case runs without its disruption. */
  readonly trouble = process.env['TROUBLE'] !== '0';
  readonly folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bitternvale-case-'));
  readonly controllers: Controllers;
  /** Cloud whose machines end with the case. */
  cloud: Cloud | null = null;
  private readonly startedAt = performance.now();
  private readonly record: number;

  /** @param recordFile file that gets what was sent, answered and run */
  constructor(recordFile: string) {
    this.record = fs.openSync(recordFile, 'w');
    this.controllers = new Controllers(this.folder, (text) => this.note(text));
  }

  get seconds(): number {
    return (performance.now() - this.startedAt) / 1000;
  }

  note(text: string): void {
    fs.writeSync(this.record, `${this.seconds.toFixed(3).padStart(8)} ${text}\n`);
  }

  async startAll(site: Site, services: { cloud: string; state: string[] }): Promise<void> {
    await this.controllers.create(site, services);
    for (const controller of this.controllers.list) this.controllers.start(controller);
    for (const { apiAddress } of this.controllers.list) await this.waitReady(apiAddress, 15_000);
  }

  /** Waits until a controller is ready for requests. */
  async waitReady(apiAddress: string, timeoutMs: number): Promise<void> {
    const client = new Client();
    const until = performance.now() + timeoutMs;
    for (;;) {
      const reply = await client.call(apiAddress, 'GET', '/ready', undefined, 1000);
      if (reply?.status === 200) break;
      if (performance.now() > until) throw new Error(`${apiAddress} is not ready`);
      await sleep(100);
    }
    client.close();
    this.note(`${apiAddress}: ready`);
  }

  /** Waits until there is a leader that acts; returns its name. */
  async waitLeader(apiAddress: string, timeoutMs: number): Promise<string> {
    const client = new Client();
    const until = performance.now() + timeoutMs;
    for (;;) {
      const reply = await client.call(apiAddress, 'GET', '/cluster', undefined, 1000);
      const view = reply?.status === 200 && isFields(reply.body) ? reply.body : null;
      if (view?.['acting'] === true && typeof view['leader'] === 'string') {
        client.close();
        this.note(`leader: ${view['leader']}`);
        return view['leader'];
      }
      if (performance.now() > until) throw new Error('there is no leader');
      await sleep(200);
    }
  }

  /** Plays the case, ends everything and exits with the code of its outcome. */
  run(play: (bench: Bench) => Promise<Outcome>): void {
    const limit = setTimeout(() => void this.finish('could not run', 'took too long'), MAX_RUN_MS);
    for (const signal of ['SIGINT', 'SIGTERM'] as const)
      process.on(signal, () => void this.finish('could not run', signal));
    play(this).then(
      (outcome) => {
        clearTimeout(limit);
        void this.finish(outcome, 'played');
      },
      (error: unknown) => void this.finish('could not run', String(error)),
    );
  }

  private async finish(outcome: Outcome, why: string): Promise<void> {
    this.cloud?.stop();
    await this.controllers.stop();
    this.note(`result: ${outcome} (${why})`);
    process.stdout.write(`${outcome} (${why}) after ${this.seconds.toFixed(1)} s\n`);
    if (process.env['KEEP'] === undefined) fs.rmSync(this.folder, { recursive: true, force: true });
    else process.stdout.write(`${this.folder}\n`);
    process.exit(exitCodes[outcome]);
  }
}
