/** Forecasts of when the tasks on machines end. */
import type { FreeCapacity } from '../capacity/free-capacity.js';
import type { MachineForecast } from '../capacity/machine-forecast.js';
import type { DurationEstimator } from '../estimates/duration-estimator.js';
import type { PreemptionPolicy } from './preemption-policy.js';

/** Makes one forecast per machine and pass, and a new one after tasks were started on the machine. */
export class MachineForecaster {
  constructor(
    private readonly estimator: Pick<DurationEstimator, 'remainingMs'>,
    private readonly policy: Pick<PreemptionPolicy, 'latestEligibleStart'>,
  ) {}

  /** Returns the machine's forecast, which is cached in `capacity.forecast`. */
  forecast(capacity: FreeCapacity, now: number): MachineForecast {
    capacity.forecast ??= this.make(capacity, now);
    return capacity.forecast;
  }

  private make({ machine }: FreeCapacity, now: number): MachineForecast {
    const forecast: MachineForecast = {
      expectedEnds: [],
      hasStopping: false,
      longestSaveMs: 0,
      lowestLevel: Infinity,
      hasUnguaranteed: false,
    };
    const latestEligibleStart = this.policy.latestEligibleStart(now);
    for (const assignment of machine.assignments.values()) {
      if (assignment.phase === 'ended') continue;
      const { job, assignedAt, checkpointSaveS, stop } = assignment;
      const endsAt = now + this.estimator.remainingMs(assignment, now);
      forecast.expectedEnds.push({ assignment, endsAt });
      forecast.longestSaveMs = Math.max(forecast.longestSaveMs, checkpointSaveS * 1000);
      if (stop !== null) forecast.hasStopping = true;
      else if (job !== null && assignedAt <= latestEligibleStart) {
        if (job.level < forecast.lowestLevel) forecast.lowestLevel = job.level;
        if (!job.guaranteed) forecast.hasUnguaranteed = true;
      }
    }
    const { expectedEnds } = forecast;
    if (expectedEnds.length > 1) expectedEnds.sort((first, second) => first.endsAt - second.endsAt);
    return forecast;
  }
}
