/** The properties that operators may tune: defaults, bounds, reading and writing. */
import { parse } from 'dot-properties';
import { SettingsError } from './platform.js';

interface PropertyDefinition {
  value: number;
  min: number;
  max: number;
  text: string;
}

/**
 * What operators may tune. Nearly all are ratios to figures of the platform's settings, so that one
 * file serves deployments of very different sizes. `deploy/bitternvale.properties` documents each.
 */
const keys = {
  'leadership.lease.ratio': {
    value: 0.13,
    min: 0.05,
    max: 0.8,
    text: "The leader's lease at the state service, as a ratio to the workers' lease.",
  },
  'leadership.renew.ratio': {
    value: 0.25,
    min: 0.05,
    max: 0.5,
    text: 'How often the leader renews, as a ratio to its lease.',
  },
  'leadership.margin.ratio': {
    value: 0.05,
    min: 0.002,
    max: 0.5,
    text: 'Share of its lease that the leader leaves unused, against clock drift and late timers.',
  },
  'workers.silent.ratio': {
    value: 0.45,
    min: 0.2,
    max: 1,
    text: 'A machine silent for this ratio of its lease gets no new tasks.',
  },
  'workers.lease.margin.ratio': {
    value: 0.02,
    min: 0.002,
    max: 0.5,
    text: "Share added to a worker's lease before its tasks are taken to be gone.",
  },
  'workers.view.ratio': {
    value: 0.7,
    min: 0.05,
    max: 0.9,
    text: "How old the leader's view of cancellations may be, as a ratio to the time that a worker's lease leaves of cancel_s.",
  },
  'placement.interval.ratio': {
    value: 0.05,
    min: 0.005,
    max: 1,
    text: 'Least time between two placement passes, as a ratio to the report interval.',
  },
  'placement.slice.ratio': {
    value: 0.008,
    min: 0.001,
    max: 1,
    text: 'A pass makes way for requests after this time, as a ratio to the report interval.',
  },
  'placement.aging.ratio': {
    value: 8,
    min: 0.5,
    max: 10000,
    text: "Wait that lifts a job by one priority class, as a ratio to the workers' lease.",
  },
  'placement.preempted.bonus.ratio': {
    value: 0.25,
    min: 0,
    max: 10,
    text: 'Rise of a job by each preemption, as a ratio to a priority class.',
  },
  'placement.late.ratio': {
    value: 0,
    min: 0,
    max: 10,
    text: 'What a job that cannot be done in time any more yields, as a ratio to a priority class.',
  },
  'placement.victim.age.s': {
    value: 10,
    min: 0,
    max: 86400,
    text: 'A task younger than this is never stopped to make room (seconds).',
  },
  'placement.preempt.share': {
    value: 0.25,
    min: 0,
    max: 1,
    text: 'Share of all tasks that may be stopped to make room within one lease of a worker.',
  },
  'placement.warm.share': {
    value: 0.4,
    min: 0,
    max: 1,
    text: 'For this share of the wait that it can take, an array leaves machines without its image to others.',
  },
  'placement.cannot.fill.s': {
    value: 120,
    min: 1,
    max: 86400,
    text: "After this wait a gang's answer says that it cannot fill yet (seconds).",
  },
  'placement.hold.record.s': {
    value: 1,
    min: 0.1,
    max: 60,
    text: 'Hold records are written at most this often (seconds).',
  },
  'placement.hold.refresh.ratio': {
    value: 0.25,
    min: 0,
    max: 10,
    text: 'A hold looks for better machines this often, as a ratio to the report interval.',
  },
  'placement.hold.kept.ratio': {
    value: 1.5,
    min: 0,
    max: 100,
    text: 'A hold leaves a machine only for one that is sooner by this ratio of the report interval.',
  },
  'placement.backfill.ratio': {
    value: 0.9,
    min: 0,
    max: 10,
    text: "Backfill may take at most this ratio of a hold's expected time to fill.",
  },
  'placement.reserve.memory.ratio': {
    value: 12,
    min: 1,
    max: 10000,
    text: "Arrivals of a class are remembered over this ratio of the workers' lease.",
  },
  'placement.reserve.share': {
    value: 0.6,
    min: 0,
    max: 1,
    text: 'Largest share of the places of a class that is kept free of smaller work for it.',
  },
  'placement.reserve.spare': {
    value: 1,
    min: 0,
    max: 10,
    text: 'Places kept for a class beyond the expected number, in standard deviations.',
  },
  'fleet.rent.wait.ratio': {
    value: 0.5,
    min: 0,
    max: 100,
    text: 'Work waits this ratio of the report interval for room before machines are rented for it.',
  },
  'fleet.headroom.ratio': {
    value: 0.25,
    min: 0,
    max: 10,
    text: 'Machines kept beyond what runs, as a ratio to what runs and waits.',
  },
  'fleet.idle.ratio': {
    value: 20,
    min: 1,
    max: 10000,
    text: "A machine idle for this ratio of the workers' lease is returned.",
  },
  'fleet.empty.ratio': {
    value: 1.5,
    min: 0.1,
    max: 10000,
    text: "With no unfinished job for this ratio of the workers' lease, all machines are returned.",
  },
  'fleet.boot.ratio': {
    value: 4,
    min: 1.5,
    max: 100,
    text: 'A machine that is not up after this ratio of its nominal boot time is returned.',
  },
  'fleet.silent.ratio': {
    value: 3,
    min: 1,
    max: 10000,
    text: "A machine silent for this ratio of the workers' lease is returned; the cloud tells of those that failed.",
  },
  'fleet.replicas.silent.ratio': {
    value: 1.4,
    min: 1.35,
    max: 10000,
    text: 'A machine with replicas of services that is silent for this ratio of the report interval, and does not answer when asked, is returned.',
  },
  'fleet.replicas.silent.share': {
    value: 0.1,
    min: 0,
    max: 1,
    text: 'Not more than this share of all machines is returned so within a lease, and none while more are silent.',
  },
  'fleet.backoff.s': {
    value: 8,
    min: 0.5,
    max: 3600,
    text: 'First pause after the cloud had no capacity for a type, zone and kind; it doubles (seconds).',
  },
  'fleet.strikes': {
    value: 3,
    min: 1,
    max: 100,
    text: 'Failures of different jobs after which a machine is quarantined.',
  },
  'jobs.final.cache': {
    value: 50000,
    min: 100,
    max: 10000000,
    text: 'Final states kept in memory by each controller; the rest are read when asked for.',
  },
  'http.sockets.ratio': {
    value: 0.9,
    min: 0.1,
    max: 0.98,
    text: 'Sockets for users, workers and calls, as a ratio to the platform limit; beyond it idle connections are closed.',
  },
  'state.followers.requests.ratio': {
    value: 0.5,
    min: 0.05,
    max: 0.9,
    text: "Share of the state service's requests that all controllers but the leader may use together.",
  },
  'state.followers.writes.ratio': {
    value: 0.3,
    min: 0.05,
    max: 0.9,
    text: "Share of the state service's puts that all controllers but the leader may use together.",
  },
  'state.headroom.ratio': {
    value: 0.92,
    min: 0.1,
    max: 1,
    text: "Share of the state service's limits that all controllers together may use.",
  },
} satisfies Record<string, PropertyDefinition>;

/** Name of a property. */
export type PropertyName = keyof typeof keys;
/** Values of all properties. */
export type Properties = Readonly<Record<PropertyName, number>>;

/** Default and bounds of each property. */
export const propertyDefinitions: Readonly<Record<PropertyName, PropertyDefinition>> = keys;

function names(): PropertyName[] {
  return Object.keys(keys) as PropertyName[];
}

/** The values that hold where the operators say nothing. */
export function defaultProperties(): Properties {
  return Object.fromEntries(names().map((name) => [name, keys[name].value])) as Properties;
}

/** Reads the operators' file; throws a SettingsError that names the property at fault. */
export function readProperties(source: string): Properties {
  const given = parse(source) as Record<string, unknown>;
  const result = { ...defaultProperties() } as Record<string, number>;
  for (const [name, raw] of Object.entries(given)) {
    if (!Object.hasOwn(keys, name)) throw new SettingsError(`${name}: unknown key`);
    const key = keys[name as PropertyName];
    const text = typeof raw === 'string' ? raw.trim() : '';
    const value = Number(text);
    if (text === '' || !Number.isFinite(value) || value < key.min || value > key.max)
      throw new SettingsError(
        `${name}: expected a number from ${key.min} to ${key.max}, got "${text}"`,
      );
    result[name] = value;
  }
  return result as Properties;
}

/** The shipped file: every key with its default and what it does. */
export function formatProperties(): string {
  const head =
    '# Settings of bitternvale that operators may tune. Values shown are the defaults.\n';
  return (
    head +
    names()
      .map(
        (name) =>
          `\n# ${keys[name].text} (${keys[name].min} to ${keys[name].max})\n${name} = ${keys[name].value}\n`,
      )
      .join('')
  );
}
