/** Requests that users send by mistake: repeated, ineffective or invalid requests. */
import { writeJobSpec, type JobSpec } from '../../../src/controller/wire/jobs.js';
import type { Simulation } from '../simulation.js';

/** Range of the time between two unusual requests, in milliseconds. */
const REQUEST_INTERVAL_MS = { least: 300, most: 900 };
/** A number of cores that no machine has. */
const TOO_MANY_CORES = 1e6;

/** For `ms`, submits accepted jobs again, cancels jobs that are done, and submits invalid jobs. */
export function sendUnusualRequests(simulation: Simulation, ms: number): void {
  const { clock, random, checker, users } = simulation;
  const until = clock.now + ms;
  const sendNext = (): void => {
    if (clock.now > until) return;
    clock.after(random.between(REQUEST_INTERVAL_MS.least, REQUEST_INTERVAL_MS.most), sendNext);
    const acceptedIds = checker.jobs.accepted();
    const id = acceptedIds.length > 0 ? random.pick(acceptedIds) : '';
    const spec = users.specOf(id);
    if (spec === undefined) return;
    if (checker.visibleState(id).done) users.cancel(id);
    else if (random.next() < 0.5) users.resubmit(id);
    else submitInvalidJob(simulation, spec);
  };
  sendNext();
}

/** Submits an invalid copy of the job: it needs more cores than any machine has, or it lacks a field. */
function submitInvalidJob(simulation: Simulation, spec: JobSpec): void {
  const { random, checker, users } = simulation;
  const invalidJob = writeJobSpec({ ...spec, id: `req-odd-${users.nextJobNumber()}` });
  if (random.next() < 0.5) invalidJob['cores'] = TOO_MANY_CORES;
  else
    Reflect.deleteProperty(invalidJob, random.pick(['duties', 'loaners', 'scatter', 'expect_s']));
  users.sendRequest('POST', '/submissions', invalidJob, (status) => {
    if (status === 200 || status === 201) checker.invalidJobAccepted(String(invalidJob['id']));
  });
}
