/**
 * Default, bounds and description of each property that operators may tune. Most values are ratios to the
 * platform's settings, so that the same file suits deployments of very different sizes.
 */

/** Definition of one property. The value of a property is a number. */
export interface PropertyDefinition {
  default: number;
  /** Smallest accepted value. */
  min: number;
  /** Largest accepted value. */
  max: number;
  /** One sentence that appears as a comment in the shipped file. */
  description: string;
}

const definitions = {
  'leadership.lease.ratio': {
    default: 0.13,
    min: 0.05,
    max: 0.8,
    description: "The leader's lease at the state store, as a ratio to the workers' lease.",
  },
  'leadership.renew.ratio': {
    default: 0.25,
    min: 0.05,
    max: 0.5,
    description: 'Interval at which the leader renews its lease, as a ratio to the lease.',
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
    description: 'A machine without a heartbeat for this ratio of its lease gets no new tasks.',
  },
  'workers.lease.margin.ratio': {
    default: 0.02,
    min: 0.002,
    max: 0.5,
    description:
      "Margin added to a worker's lease, as a ratio to it, before its tasks count as gone.",
  },
  'workers.view.ratio': {
    default: 0.7,
    min: 0.05,
    max: 0.9,
    description:
      "Largest staleness of the leader's job watch, as a ratio to the time that a worker's lease leaves of cancel_s.",
  },
  'placement.interval.ratio': {
    default: 0.05,
    min: 0.005,
    max: 1,
    description: 'Least time between two placement passes, as a ratio to the heartbeat interval.',
  },
  'placement.slice.ratio': {
    default: 0.008,
    min: 0.001,
    max: 1,
    description:
      'A placement pass yields to requests after this time, as a ratio to the heartbeat interval.',
  },
  'placement.aging.ratio': {
    default: 8,
    min: 0.5,
    max: 10000,
    description: "Wait that raises a job by one priority class, as a ratio to the workers' lease.",
  },
  'placement.preempted.bonus.ratio': {
    default: 0.25,
    min: 0,
    max: 10,
    description: 'Raise of a job in the order by each preemption, as a ratio to a priority class.',
  },
  'placement.late.ratio': {
    default: 0,
    min: 0,
    max: 10,
    description:
      'Cut of the rank of a job that can no longer meet its deadline, as a ratio to a priority class.',
  },
  'placement.victim.age.s': {
    default: 10,
    min: 0,
    max: 86400,
    description: 'A task younger than this is never preempted (seconds).',
  },
  'placement.preempt.share': {
    default: 0.25,
    min: 0,
    max: 1,
    description: 'Share of all tasks that may be preempted within one worker lease.',
  },
  'placement.warm.share': {
    default: 0.4,
    min: 0,
    max: 1,
    description:
      'For this share of the wait that its objective allows, a job array leaves machines without its image to others.',
  },
  'placement.cannot.fill.s': {
    default: 120,
    min: 1,
    max: 86400,
    description: "After this wait a gang's status says that it cannot be filled yet (seconds).",
  },
  'placement.hold.record.s': {
    default: 1,
    min: 0.1,
    max: 60,
    description: 'Shortest time between two writes of reservation records (seconds).',
  },
  'placement.hold.refresh.ratio': {
    default: 0.25,
    min: 0,
    max: 10,
    description:
      'Interval at which a reservation looks for better machines, as a ratio to the heartbeat interval.',
  },
  'placement.hold.kept.ratio': {
    default: 1.5,
    min: 0,
    max: 100,
    description:
      'A reservation leaves a machine only for one that is free sooner by this ratio of the heartbeat interval.',
  },
  'placement.backfill.ratio': {
    default: 0.9,
    min: 0,
    max: 10,
    description: "Backfill may take at most this ratio of a reservation's expected time to fill.",
  },
  'placement.reserve.memory.ratio': {
    default: 12,
    min: 1,
    max: 10000,
    description: "Arrivals of a job class are remembered over this ratio of the workers' lease.",
  },
  'placement.reserve.share': {
    default: 0.6,
    min: 0,
    max: 1,
    description:
      'Largest share of the capacity for a job class that is kept free of smaller tasks for it.',
  },
  'placement.reserve.spare': {
    default: 1,
    min: 0,
    max: 10,
    description:
      'Capacity kept for a job class beyond the expected demand, in standard deviations.',
  },
  'fleet.rent.wait.ratio': {
    default: 0.5,
    min: 0,
    max: 100,
    description:
      'Tasks wait this ratio of the heartbeat interval for capacity before machines are launched for them.',
  },
  'fleet.headroom.ratio': {
    default: 0.25,
    min: 0,
    max: 10,
    description: 'Capacity kept free beyond what runs, as a ratio to the running tasks.',
  },
  'fleet.idle.ratio': {
    default: 20,
    min: 1,
    max: 10000,
    description: "A machine idle for this ratio of the workers' lease is released.",
  },
  'fleet.empty.ratio': {
    default: 1.5,
    min: 0.1,
    max: 10000,
    description:
      "Without an unfinished job for this ratio of the workers' lease, all machines are released.",
  },
  'fleet.boot.ratio': {
    default: 4,
    min: 1.5,
    max: 100,
    description: 'A machine that is not up after this ratio of its nominal boot time is released.',
  },
  'fleet.silent.ratio': {
    default: 3,
    min: 1,
    max: 10000,
    description:
      "A machine unresponsive for this ratio of the workers' lease is released; failed ones are known from the cloud.",
  },
  'fleet.replicas.silent.ratio': {
    default: 1.4,
    min: 1.35,
    max: 10000,
    description:
      'A machine with service replicas that is unresponsive for this ratio of the heartbeat interval, and does not answer a probe, is released.',
  },
  'fleet.replicas.silent.share': {
    default: 0.1,
    min: 0,
    max: 1,
    description:
      'Largest share of all machines released so within a lease; none is while more are unresponsive.',
  },
  'fleet.backoff.s': {
    default: 8,
    min: 0.5,
    max: 3600,
    description:
      'First pause after the cloud had no capacity for a machine type and zone, spot or not; it doubles (seconds).',
  },
  'fleet.strikes': {
    default: 3,
    min: 1,
    max: 100,
    description: 'Failures of tasks of different jobs after which a machine is quarantined.',
  },
  'jobs.final.cache': {
    default: 50000,
    min: 100,
    max: 10000000,
    description:
      'Terminal job states cached by each controller; the others are read when requested.',
  },
  'http.sockets.ratio': {
    default: 0.9,
    min: 0.1,
    max: 0.98,
    description:
      'Sockets for users, workers and outgoing calls, as a ratio to the platform limit; beyond it idle connections are closed.',
  },
  'state.followers.requests.ratio': {
    default: 0.5,
    min: 0.05,
    max: 0.9,
    description: "Share of the state store's requests that all followers may use together.",
  },
  'state.followers.writes.ratio': {
    default: 0.3,
    min: 0.05,
    max: 0.9,
    description: "Share of the state store's writes that all followers may use together.",
  },
  'state.headroom.ratio': {
    default: 0.92,
    min: 0.1,
    max: 1,
    description: "Share of the state store's limits that all controllers may use together.",
  },
} satisfies Record<string, PropertyDefinition>;

/** Name of a property in the properties file. */
export type PropertyName = keyof typeof definitions;

/** The definition of each property, in the order of the shipped file. */
export const propertyDefinitions: Readonly<Record<PropertyName, PropertyDefinition>> = definitions;
