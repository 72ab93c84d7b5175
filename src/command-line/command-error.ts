/** Thrown when a command fails. The message is one line for the operator; the program exits with status 1. */
export class CommandError extends Error {}
