/** Runs one case: starts its deployment, plays it, and exits with 1 if the rule was broken, 0 if it held. */
import { join } from 'node:path';
import { Deployment, Record, type Site } from './deployment.js';

/** Longest time that a case may take. */
const TIME_LIMIT_MS = 115_000;

/** Plays a case and returns whether its rule was broken. */
export type Play = (deployment: Deployment, hasTrouble: boolean) => Promise<boolean>;

/** Runs a case. The folder of the case is the first argument, the root of the repository is the second. */
export function runCase(site: (hasTrouble: boolean) => Site, play: Play): void {
  const [folder = '.', root = '.'] = process.argv.slice(2);
  const hasTrouble = process.env['TROUBLE'] !== '0';
  const record = new Record(join(folder, 'record.txt'));
  const deployment = new Deployment(root, site(hasTrouble), record);
  let isFinished = false;
  const finish = (code: number, text: string): void => {
    if (isFinished) return;
    isFinished = true;
    void deployment.stop().finally(() => {
      record.add(text);
      record.save();
      process.stdout.write(`${text}\n`);
      process.exit(code);
    });
  };
  for (const signal of ['SIGHUP', 'SIGINT', 'SIGTERM'] as const)
    process.on(signal, () => finish(2, `could not run: ${signal}`));
  process.on('uncaughtException', (error) => finish(2, `could not run: ${error.stack ?? ''}`));
  setTimeout(() => finish(2, 'could not run: out of time'), TIME_LIMIT_MS);
  record.add(hasTrouble ? 'with the disruption' : 'without the disruption');
  deployment
    .start()
    .then(() => play(deployment, hasTrouble))
    .then(
      (broken) => finish(broken ? 1 : 0, broken ? 'the rule was broken' : 'the rule held'),
      (error: unknown) => finish(2, `could not run: ${String(error)}`),
    );
}
