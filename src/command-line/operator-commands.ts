/** Commands for operators. Each sends one request to the API of a running controller. */
import type { Command } from 'commander';
import { callApi, type ApiRequest } from '../controller/operators/api-client.js';
import { CommandError } from './command-error.js';
import { readJsonFile } from './input-files.js';

const API_ADDRESS = /^[^:\s]+:\d{1,5}$/;

/** Adds the operators' commands to the program. */
export function addOperatorCommands(program: Command): void {
  addCommand(program, 'submit', 'submits the job described in a JSON file', (file) => ({
    method: 'POST',
    path: '/submissions',
    body: readJsonFile(file),
  })).argument('<file>', 'fields as in a submission to the API');
  addCommand(program, 'status', 'prints the state of a job', (id) => ({
    method: 'GET',
    path: `/submissions/${id}`,
  })).argument('<id>');
  addCommand(program, 'cancel', 'cancels a job', (id) => ({
    method: 'POST',
    path: `/submissions/${id}/abort`,
  })).argument('<id>');
  addCommand(program, 'cluster', 'prints the cluster as its leader sees it', (afterMachine) => ({
    method: 'GET',
    path: afterMachine === '' ? '/cluster' : `/cluster?after=${encodeURIComponent(afterMachine)}`,
  })).argument('[after]', 'lists machines from the one after this name');
}

/** Adds a command. `buildRequest` gets the command's first argument, or '' if there is none. */
function addCommand(
  program: Command,
  name: string,
  description: string,
  buildRequest: (argument: string) => ApiRequest,
): Command {
  return program
    .command(name)
    .description(description)
    .requiredOption('--api <host:port>', 'API address of any controller')
    .action(async (...actionArguments: unknown[]) => {
      const command = actionArguments.at(-1) as Command;
      const { api } = command.opts<{ api: string }>();
      if (!API_ADDRESS.test(api)) throw new CommandError(`--api ${api}: expected <host>:<port>`);
      const result = await callApi(api, buildRequest(command.args[0] ?? ''));
      if (!result.ok) throw new CommandError(result.text);
      process.stdout.write(`${result.text}\n`);
    });
}
