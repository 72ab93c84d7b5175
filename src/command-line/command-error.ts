/** A command cannot be carried out. The message is one line for the operator; the program ends with status 1. */
export class CommandError extends Error {}
