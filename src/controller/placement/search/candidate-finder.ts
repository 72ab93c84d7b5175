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
  /** Number of tasks of the job that can start on the machine now. */
  count: number;
  /** Time of the image fetch plus penalties, in seconds; lower is better. */
  score: number;
}

/** Values of a search for one job that are the same for all machines. */
interface CandidateSearch {
  job: Job;
  now: number;
  request: ResourceRequest;
  /** Whether to consider only machines that have the job's image or are already fetching it. */
  warmOnly: boolean;
  /** A task may backfill a claim if it ends within this fraction of the time until the claim is filled. */
  backfillRatio: number;
  /** Space that the tasks take in the machine's record. */
  record: RecordSpace;
  /** When a task that needs no image fetch is expected to end, on the controller's monotonic clock in ms. */
  endsAtWithoutFetch: number;
}

/** Finds machines where tasks of a job can start now. */
export class CandidateFinder {
  constructor(
    private readonly settings: Pick<Settings, 'get' | 'heartbeatIntervalMs'>,
    private readonly estimator: Pick<DurationEstimator, 'needsFetch' | 'fetchMs' | 'runMs'>,
  ) {}

  /**
   * Returns the machines where tasks of the job can start now, best first. Preferred are machines that have
   * its image, are less useful to other jobs, and are left with little free capacity (bin packing; m03 §6,
   * R1). If `warmOnly` is set, machines that would have to fetch the image are left out.
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

  /** Returns null if no task of the job can start on the machine, given the claims on its capacity. */
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
