/**
 * Default, bounds and description of each property that operators may tune. Nearly all are ratios to the
 * platform's settings, so that one file serves deployments of very different sizes.
 */

/** One property: a number. */
export interface PropertyDefinition {
  default: number;
  /** Smallest and largest value that is accepted. */
  min: number;
  max: number;
  /** One sentence, shown in the shipped file. */
  description: string;
}

const definitions = {
  'leadership.lease.ratio': {
    default: 0.13,
    min: 0.05,
    max: 0.8,
    description: "The leader's lease at the state service, as a ratio to the workers' lease.",
  },
  'leadership.renew.ratio': {
    default: 0.25,
    min: 0.05,
    max: 0.5,
    description: 'How often the leader renews, as a ratio to its lease.',
  },
  'leadership.margin.ratio': {
    default: 0.05,
    min: 0.002,
    max: 0.5,
    description:
      'Share of its lease that the leader leaves unused, against clock drift and late timers.',
  },
  'workers.silent.ratio': {
    default: 0.45,
    min: 0.2,
    max: 1,
    description: 'A machine silent for this ratio of its lease gets no new tasks.',
  },
  'workers.lease.margin.ratio': {
    default: 0.02,
    min: 0.002,
    max: 0.5,
    description: "Share added to a worker's lease before its tasks are taken to be gone.",
  },
  'workers.view.ratio': {
    default: 0.7,
    min: 0.05,
    max: 0.9,
    description:
      "How old the leader's view of cancellations may be, as a ratio to the time that a worker's lease leaves of cancel_s.",
  },
  'placement.interval.ratio': {
    default: 0.05,
    min: 0.005,
    max: 1,
    description: 'Least time between two placement passes, as a ratio to the report interval.',
  },
  'placement.slice.ratio': {
    default: 0.008,
    min: 0.001,
    max: 1,
    description:
      'A pass makes way for requests after this time, as a ratio to the report interval.',
  },
  'placement.aging.ratio': {
    default: 8,
    min: 0.5,
    max: 10000,
    description: "Wait that lifts a job by one priority class, as a ratio to the workers' lease.",
  },
  'placement.preempted.bonus.ratio': {
    default: 0.25,
    min: 0,
    max: 10,
    description: 'Rise of a job by each preemption, as a ratio to a priority class.',
  },
  'placement.late.ratio': {
    default: 0,
    min: 0,
    max: 10,
    description:
      'What a job that cannot be done in time any more yields, as a ratio to a priority class.',
  },
  'placement.victim.age.s': {
    default: 10,
    min: 0,
    max: 86400,
    description: 'A task younger than this is never stopped to make room (seconds).',
  },
  'placement.preempt.share': {
    default: 0.25,
    min: 0,
    max: 1,
    description:
      'Share of all tasks that may be stopped to make room within one lease of a worker.',
  },
  'placement.warm.share': {
    default: 0.4,
    min: 0,
    max: 1,
    description:
      'For this share of the wait that it can take, an array leaves machines without its image to others.',
  },
  'placement.cannot.fill.s': {
    default: 120,
    min: 1,
    max: 86400,
    description: "After this wait a gang's answer says that it cannot fill yet (seconds).",
  },
  'placement.hold.record.s': {
    default: 1,
    min: 0.1,
    max: 60,
    description: 'Hold records are written at most this often (seconds).',
  },
  'placement.hold.refresh.ratio': {
    default: 0.25,
    min: 0,
    max: 10,
    description: 'A hold looks for better machines this often, as a ratio to the report interval.',
  },
  'placement.hold.kept.ratio': {
    default: 1.5,
    min: 0,
    max: 100,
    description:
      'A hold leaves a machine only for one that is sooner by this ratio of the report interval.',
  },
  'placement.backfill.ratio': {
    default: 0.9,
    min: 0,
    max: 10,
    description: "Backfill may take at most this ratio of a hold's expected time to fill.",
  },
  'placement.reserve.memory.ratio': {
    default: 12,
    min: 1,
    max: 10000,
    description: "Arrivals of a class are remembered over this ratio of the workers' lease.",
  },
  'placement.reserve.share': {
    default: 0.6,
    min: 0,
    max: 1,
    description: 'Largest share of the places of a class that is kept free of smaller work for it.',
  },
  'placement.reserve.spare': {
    default: 1,
    min: 0,
    max: 10,
    description: 'Places kept for a class beyond the expected number, in standard deviations.',
  },
  'fleet.rent.wait.ratio': {
    default: 0.5,
    min: 0,
    max: 100,
    description:
      'Work waits this ratio of the report interval for room before machines are rented for it.',
  },
  'fleet.headroom.ratio': {
    default: 0.25,
    min: 0,
    max: 10,
    description: 'Machines kept beyond what runs, as a ratio to what runs and waits.',
  },
  'fleet.idle.ratio': {
    default: 20,
    min: 1,
    max: 10000,
    description: "A machine idle for this ratio of the workers' lease is returned.",
  },
  'fleet.empty.ratio': {
    default: 1.5,
    min: 0.1,
    max: 10000,
    description:
      "With no unfinished job for this ratio of the workers' lease, all machines are returned.",
  },
  'fleet.boot.ratio': {
    default: 4,
    min: 1.5,
    max: 100,
    description: 'A machine that is not up after this ratio of its nominal boot time is returned.',
  },
  'fleet.silent.ratio': {
    default: 3,
    min: 1,
    max: 10000,
    description:
      "A machine silent for this ratio of the workers' lease is returned; the cloud tells of those that failed.",
  },
  'fleet.replicas.silent.ratio': {
    default: 1.4,
    min: 1.35,
    max: 10000,
    description:
      'A machine with replicas of services that is silent for this ratio of the report interval, and does not answer when asked, is returned.',
  },
  'fleet.replicas.silent.share': {
    default: 0.1,
    min: 0,
    max: 1,
    description:
      'Not more than this share of all machines is returned so within a lease, and none while more are silent.',
  },
  'fleet.backoff.s': {
    default: 8,
    min: 0.5,
    max: 3600,
    description:
      'First pause after the cloud had no capacity for a type, zone and kind; it doubles (seconds).',
  },
  'fleet.strikes': {
    default: 3,
    min: 1,
    max: 100,
    description: 'Failures of different jobs after which a machine is quarantined.',
  },
  'jobs.final.cache': {
    default: 50000,
    min: 100,
    max: 10000000,
    description:
      'Final states kept in memory by each controller; the rest are read when asked for.',
  },
  'http.sockets.ratio': {
    default: 0.9,
    min: 0.1,
    max: 0.98,
    description:
      'Sockets for users, workers and calls, as a ratio to the platform limit; beyond it idle connections are closed.',
  },
  'state.followers.requests.ratio': {
    default: 0.5,
    min: 0.05,
    max: 0.9,
    description:
      "Share of the state service's requests that all controllers but the leader may use together.",
  },
  'state.followers.writes.ratio': {
    default: 0.3,
    min: 0.05,
    max: 0.9,
    description:
      "Share of the state service's puts that all controllers but the leader may use together.",
  },
  'state.headroom.ratio': {
    default: 0.92,
    min: 0.1,
    max: 1,
    description: "Share of the state service's limits that all controllers together may use.",
  },
} satisfies Record<string, PropertyDefinition>;

/** Name of a property. */
export type PropertyName = keyof typeof definitions;

/** The definition of each property, in the order of the shipped file. */
export const propertyDefinitions: Readonly<Record<PropertyName, PropertyDefinition>> = definitions;
