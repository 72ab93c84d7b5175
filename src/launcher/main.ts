/**
 * The program that `deploy/service.toml` starts. It loads the application through V8's code cache, so
 * that a restarted controller answers its workers sooner: on a small share of a core compiling the
 * application takes longer than an election.
 */
import { join } from 'node:path';
import { APPLICATION_FILE, loadApplication } from './application.js';

loadApplication(join(__dirname, APPLICATION_FILE));
