/** Requests that users should not send. */
import { writeJobSpec, type JobSpec } from '../../../src/controller/wire/jobs.js';
import type { Simulation } from '../simulation.js';

/** Time between two such requests. */
const BETWEEN_MS = { least: 300, most: 900 };
/** More cores than any machine has. */
const TOO_MANY_CORES = 1e6;

/** For a time users repeat, cancel what is done, ask for what can't run or leave a field out. */
export function sendUnusualRequests(simulation: Simulation, ms: number): void {
  const { clock, random, checker, users } = simulation;
  const until = clock.now + ms;
  const again = (): void => {
    if (clock.now > until) return;
    clock.after(random.between(BETWEEN_MS.least, BETWEEN_MS.most), again);
    const known = checker.jobs.accepted();
    const id = known.length > 0 ? random.pick(known) : '';
    const spec = users.specOf(id);
    if (spec === undefined) return;
    if (checker.visibleState(id).done) users.cancel(id);
    else if (random.next() < 0.5) users.resubmit(id);
    else submitOdd(simulation, spec);
  };
  again();
}

/** Submits a job like the one given that can't run or lacks a field. */
function submitOdd(simulation: Simulation, spec: JobSpec): void {
  const { random, checker, users } = simulation;
  const odd = writeJobSpec({ ...spec, id: `req-odd-${users.nextJobNumber()}` });
  if (random.next() < 0.5) odd['cores'] = TOO_MANY_CORES;
  else Reflect.deleteProperty(odd, random.pick(['duties', 'loaners', 'scatter', 'expect_s']));
  users.sendRequest('POST', '/submissions', odd, (status) => {
    if (status === 200 || status === 201) checker.invalidJobAccepted(String(odd['id']));
  });
}
