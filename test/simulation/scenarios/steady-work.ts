/** Submits jobs at a steady rate. */
import type { Simulation } from '../simulation.js';

/** Number of submissions at the start, and rate and end of the later submissions. */
export interface SteadyWork {
  jobsAtStart: number;
  meanIntervalMs: number;
  /** Virtual time after which no job is submitted. */
  untilMs: number;
}

/** Range of the intervals between submissions, as multiples of the mean interval. */
const INTERVAL_FACTORS = { least: 0.3, most: 1.7 };
/** Share of the jobs that are cancelled, among the jobs submitted after the start. */
const CANCEL_SHARE = 0.04;
/** Time from the submission of a cancelled job to its cancellation, in milliseconds. */
const CANCEL_AFTER_MS = 20_000;

/** Submits `jobsAtStart` random jobs, then one job per interval; some of the later jobs are cancelled. */
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
    clock.after(
      random.between(INTERVAL_FACTORS.least, INTERVAL_FACTORS.most) * meanIntervalMs,
      submitNext,
    );
  };
  submitNext();
}
