/** Exports metrics of a controller in Prometheus text format. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

/** Counters, histograms and gauges of one controller. */
export class Metrics {
  private readonly registry = new Registry();
  private readonly requestCount = new Counter({
    name: 'bitternvale_requests_total',
    help: 'Requests by route and status.',
    labelNames: ['route', 'status'] as const,
    registers: [this.registry],
  });
  private readonly requestSeconds = new Histogram({
    name: 'bitternvale_request_seconds',
    help: 'Time from a request to its answer.',
    labelNames: ['route'] as const,
    buckets: [0.002, 0.005, 0.01, 0.03, 0.1, 0.3, 1, 3],
    registers: [this.registry],
  });
  private readonly placementPassSeconds = new Histogram({
    name: 'bitternvale_placement_pass_seconds',
    help: 'Time that a placement pass takes.',
    buckets: [0.001, 0.003, 0.01, 0.03, 0.1, 0.3],
    registers: [this.registry],
  });
  private readonly preemptedTasks = new Counter({
    name: 'bitternvale_preempted_tasks_total',
    help: 'Tasks stopped to make room.',
    registers: [this.registry],
  });
  private readonly unreadableMessages = new Counter({
    name: 'bitternvale_unreadable_peer_messages_total',
    help: 'Messages of other controllers that could not be read and were dropped.',
    registers: [this.registry],
  });
  private readonly gauges = new Map<string, Gauge>();

  /** Records an answered request with its status and duration. */
  observeRequest(route: string, status: number, durationMs: number): void {
    this.requestCount.inc({ route, status: String(status) });
    this.requestSeconds.observe({ route }, durationMs / 1000);
  }

  /** Records the duration of a completed placement pass. */
  observePlacementPass(durationMs: number): void {
    this.placementPassSeconds.observe(durationMs / 1000);
  }

  /** Sets the number of tasks preempted in the leader's current term. */
  setPreemptions(total: number): void {
    this.preemptedTasks.reset();
    this.preemptedTasks.inc(total);
  }

  /** Sets the number of unreadable peer messages dropped since the process started. */
  setUnreadableMessages(total: number): void {
    this.unreadableMessages.reset();
    this.unreadableMessages.inc(total);
  }

  /** Sets a gauge; creates it on the first call with its name. */
  setGauge(name: string, help: string, value: number): void {
    let gauge = this.gauges.get(name);
    if (gauge === undefined) {
      gauge = new Gauge({ name: `bitternvale_${name}`, help, registers: [this.registry] });
      this.gauges.set(name, gauge);
    }
    gauge.set(value);
  }

  /** Returns all metrics in Prometheus text format. */
  render(): Promise<string> {
    return this.registry.metrics();
  }
}
