/** Entry point: runs the command line and prints the message of a failed command. */
import { CommandError } from './command-line/command-error.js';
import { createProgram } from './command-line/program.js';

async function main(): Promise<void> {
  try {
    await createProgram().parseAsync();
  } catch (error) {
    if (!(error instanceof CommandError)) throw error;
    process.stderr.write(`bitternvale: ${error.message}\n`);
    process.exit(1);
  }
}

void main();
