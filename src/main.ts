/** The command line. */
import { readFileSync } from 'node:fs';
import { Command } from 'commander';
import { callApi } from './controller/operators/api-client.js';
import { run } from './controller/node/run.js';
import { oldGenerationMb } from './controller/runtime/heap-budget.js';
import { readPlatform, type Platform } from './controller/settings/platform.js';
import {
  defaultProperties,
  formatProperties,
  readProperties,
} from './controller/settings/properties.js';
import { SettingsError } from './controller/settings/settings-error.js';
import { Settings } from './controller/settings/settings.js';

const VERSION = '0.1.0';

function fail(text: string): never {
  process.stderr.write(`bitternvale: ${text}\n`);
  process.exit(1);
}

function load<T>(file: string, read: (source: string) => T): T {
  let source: string;
  try {
    source = readFileSync(file, 'utf8');
  } catch (err) {
    fail(`${file}: ${(err as NodeJS.ErrnoException).code ?? 'cannot be read'}`);
  }
  try {
    return read(source);
  } catch (err) {
    if (err instanceof SettingsError) fail(`${file}: ${err.message}`);
    throw err;
  }
}

interface Files {
  config: string;
  properties?: string;
}

function settings(files: Files): Settings {
  const platform = load(files.config, readPlatform);
  const properties =
    files.properties === undefined ? defaultProperties() : load(files.properties, readProperties);
  try {
    return new Settings(platform, properties);
  } catch (err) {
    if (err instanceof SettingsError) fail(err.message);
    throw err;
  }
}

function memoryLine({ quota }: Platform): string {
  return `heap keeps at most ${oldGenerationMb(quota)} MB of ${quota.ramMb} MB`;
}

const program = new Command('bitternvale')
  .description('A cluster scheduler. Without a subcommand: runs one controller.')
  .version(VERSION)
  .option('--properties <file>', "operators' settings (Java-style properties)")
  .option('--config <file>', 'settings of the platform (TOML)')
  .action((files: Partial<Files>) => {
    if (files.config === undefined) fail('--config FILE is needed; see --help');
    run(settings(files as Files));
  });

program
  .command('check-config')
  .description('checks both settings files and prints what follows from them')
  .action((_: unknown, command: Command) => {
    const files: Partial<Files> = command.optsWithGlobals();
    if (files.config === undefined) fail('check-config needs --config FILE');
    const s = settings(files as Files);
    process.stdout.write(
      [
        `host ${s.platform.host}, ${s.platform.peers.length} peers, ${s.platform.teams.length} teams`,
        `leader lease ${s.leaderLeaseMs} ms, renewed every ${s.leaderRenewIntervalMs} ms, used for ${Math.round(s.usableLeaderLeaseMs)} ms`,
        `a silent worker's tasks are gone after ${Math.round(s.workerLeaseExpiryMs)} ms`,
        `workers are answered on a view of cancellations at most ${Math.round(s.maxWatchStalenessMs)} ms old`,
        memoryLine(s.platform),
        '',
      ].join('\n'),
    );
  });

program
  .command('print-properties')
  .description("prints the operators' settings with their defaults")
  .action(() => {
    process.stdout.write(formatProperties());
  });

function operator(
  name: string,
  about: string,
  call: (api: string, argument: string) => { method: 'GET' | 'POST'; path: string; body?: unknown },
): Command {
  return program
    .command(name)
    .description(about)
    .requiredOption('--api <host:port>', 'API address of any controller')
    .action(async (...given: unknown[]) => {
      const command = given.at(-1) as Command;
      const { api } = command.opts<{ api: string }>();
      if (!/^[^:\s]+:\d{1,5}$/.test(api)) fail(`--api ${api}: expected HOST:PORT`);
      const { method, path, body } = call(api, command.args[0] ?? '');
      const outcome = await callApi(api, method, path, body);
      if (!outcome.ok) fail(outcome.text);
      process.stdout.write(`${outcome.text}\n`);
    });
}

function readJson(file: string): unknown {
  return load(file, (source): unknown => {
    try {
      return JSON.parse(source);
    } catch {
      throw new SettingsError('not JSON');
    }
  });
}

operator('submit', 'submits the job described in a JSON file', (_, file) => ({
  method: 'POST',
  path: '/submissions',
  body: readJson(file),
})).argument('<file>', 'fields as in a submission to the API');
operator('status', 'prints the state of a job', (_, id) => ({
  method: 'GET',
  path: `/submissions/${id}`,
})).argument('<id>');
operator('cancel', 'cancels a job', (_, id) => ({
  method: 'POST',
  path: `/submissions/${id}/abort`,
})).argument('<id>');
operator('cluster', 'prints the cluster as its leader sees it', (_, after) => ({
  method: 'GET',
  path: after === '' ? '/cluster' : `/cluster?after=${encodeURIComponent(after)}`,
})).argument('[after]', 'lists machines from the one after this name');

void program.parseAsync();
