/**
 * The program that `deploy/service.toml` starts. It loads the application with its V8 code cache, so that a
 * restarted controller answers workers sooner: with a small share of a CPU core, compiling the application
 * takes longer than a leader election.
 */
import { join } from 'node:path';
import { APPLICATION_FILE, loadApplication } from './application.js';

loadApplication(join(__dirname, APPLICATION_FILE));
