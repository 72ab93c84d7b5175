/** Defines the options and commands of the command line. */
import { Command } from 'commander';
import { run } from '../controller/node/run.js';
import { formatProperties } from '../controller/settings/properties.js';
import { checkConfig } from './check-config.js';
import { CommandError } from './command-error.js';
import { loadSettings, type SettingsFiles } from './input-files.js';
import { addOperatorCommands } from './operator-commands.js';

const VERSION = '0.1.0';

/** Creates the program. Without a subcommand it runs one controller. */
export function createProgram(): Command {
  const program = new Command('bitternvale')
    .description('A cluster scheduler. Without a subcommand: runs one controller.')
    .version(VERSION)
    .option('--properties <file>', "operators' settings (Java-style properties)")
    .option('--config <file>', 'settings of the platform (TOML)')
    .action((files: Partial<SettingsFiles>) => {
      run(loadSettings(requireConfig(files, 'missing option --config <file>; see --help')));
    });
  program
    .command('check-config')
    .description('checks both settings files and prints what follows from them')
    .action((_: unknown, command: Command) => {
      const files: Partial<SettingsFiles> = command.optsWithGlobals();
      const settings = loadSettings(
        requireConfig(files, 'check-config: missing option --config <file>'),
      );
      process.stdout.write(checkConfig(settings));
    });
  program
    .command('print-properties')
    .description("prints the operators' settings with their defaults")
    .action(() => {
      process.stdout.write(formatProperties());
    });
  addOperatorCommands(program);
  return program;
}

function requireConfig(files: Partial<SettingsFiles>, message: string): SettingsFiles {
  const { config } = files;
  if (config === undefined) throw new CommandError(message);
  return { ...files, config };
}
