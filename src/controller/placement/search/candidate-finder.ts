/** Search for machines where tasks of a job can start now. */
import type { Job } from '../../model/entities.js';
import type { Settings } from '../../settings/settings.js';
import { type ResourceRequest, resourceRequestOf } from '../../model/resource-request.js';
import { type RecordSpace, recordSpaceOf } from '../../model/machine-record-size.js';
import type { DurationEstimator } from '../estimates/duration-estimator.js';
import { machineKindsKey } from '../pass/negative-search-cache.js';
import { machinePenalty } from './machine-penalty.js';
import type { PlacementPass } from '../pass/placement-pass.js';
import type { FreeCapacity } from '../capacity/free-capacity.js';

/** A machine where tasks of a job can start now. */
export interface Candidate {
  capacity: FreeCapacity;
  /** How many tasks can start there. */
  count: number;
  /** Lower is better. */
  score: number;
}

/** What is the same for all machines in a search for one job. */
interface CandidateSearch {
  job: Job;
  now: number;
  request: ResourceRequest;
  /** Only machines that have the job's image, or fetch it already. */
  warmOnly: boolean;
  /** Share of the time until a reservation is filled that work beneath it may take. */
  backfillRatio: number;
  /** What the tasks take in the machine's record. */
  record: RecordSpace;
  /** When a task should end that needs no image fetch. */
  endsAtWithoutFetch: number;
}

/** Finds the machines where tasks of a job can start now. */
export class CandidateFinder {
  constructor(
    private readonly settings: Pick<Settings, 'get' | 'heartbeatIntervalMs'>,
    private readonly estimator: Pick<DurationEstimator, 'needsFetch' | 'fetchMs' | 'runMs'>,
  ) {}

  /**
   * Machines where tasks of the job can start now, the best first: those with its image, of little use
   * to others, and with the tightest fit (bin packing; m03 §6, R1).
   */
  find(pass: PlacementPass, job: Job, warmOnly = false): Candidate[] {
    const kinds = pass.cluster.ofKindsAllowedFor(job.spec);
    const request = resourceRequestOf(job.spec);
    const query = { request, kinds: machineKindsKey(kinds) };
    if (pass.negativeSearches.hasNoCapacity(query)) return [];
    const search = this.searchFor(pass, job, request, warmOnly);
    const candidates: Candidate[] = [];
    let fitsAnywhere = false;
    for (const capacities of kinds)
      for (const capacity of capacities) {
        if (!capacity.fitsIgnoringClaims(request)) continue;
        fitsAnywhere = true;
        const candidate = this.evaluate(search, capacity);
        if (candidate !== null) candidates.push(candidate);
      }
    if (!fitsAnywhere) pass.negativeSearches.addNoCapacity(query);
    return candidates.sort((a, b) => a.score - b.score || a.capacity.index - b.capacity.index);
  }

  private searchFor(
    pass: PlacementPass,
    job: Job,
    request: ResourceRequest,
    warmOnly: boolean,
  ): CandidateSearch {
    const { spec } = job;
    return {
      job,
      now: pass.now,
      request,
      warmOnly,
      backfillRatio: this.settings.get('placement.backfill.ratio'),
      record: recordSpaceOf({
        jobId: spec.id,
        team: spec.team,
        request,
        checkpointSaveS: spec.checkpointSaveS,
      }),
      endsAtWithoutFetch:
        pass.now + this.settings.heartbeatIntervalMs / 2 + this.estimator.runMs(spec),
    };
  }

  /** `null`: no task of the job can start there beside the claims of others. */
  private evaluate(search: CandidateSearch, capacity: FreeCapacity): Candidate | null {
    const { job, now, record, backfillRatio } = search;
    const { machine } = capacity;
    if (job.avoids(machine.id, now)) return null;
    if (search.warmOnly && this.estimator.needsFetch(job.spec, machine)) return null;
    const fetchMs = this.estimator.fetchMs(job.spec, machine, now);
    const { spec, level } = job;
    const endsAt = search.endsAtWithoutFetch + fetchMs;
    const count = capacity.countFitting({ spec, level, endsAt, backfillRatio, now, record });
    if (count <= 0) return null;
    return { capacity, count, score: fetchMs / 1000 + machinePenalty(job, capacity) };
  }
}
