/** Jobs that come all the time. */
import type { Simulation } from '../simulation.js';

/** How many jobs come, and for how long. */
export interface SteadyWork {
  jobsAtStart: number;
  meanIntervalMs: number;
  untilMs: number;
}

/** Shares of the mean interval between which the next job comes. */
const JITTER = { least: 0.3, most: 1.7 };
/** Share of the jobs that come later that are cancelled, and when. */
const CANCEL_SHARE = 0.04;
const CANCEL_AFTER_MS = 20_000;

/** Submits random jobs now and from now on; some are cancelled. */
export function submitSteadily(
  simulation: Simulation,
  { jobsAtStart, meanIntervalMs, untilMs }: SteadyWork,
): void {
  const { clock, random } = simulation;
  for (let i = 0; i < jobsAtStart; i++) simulation.submit(simulation.randomJob(), null);
  const submitNext = (): void => {
    if (clock.now > untilMs) return;
    const job = simulation.randomJob();
    simulation.submit(job, random.next() < CANCEL_SHARE ? CANCEL_AFTER_MS : null);
    clock.after(random.between(JITTER.least, JITTER.most) * meanIntervalMs, submitNext);
  };
  submitNext();
}
