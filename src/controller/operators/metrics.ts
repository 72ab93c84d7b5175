/** The metrics of a controller in the text format of Prometheus. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

/** Figures of one controller in the text form that scrapers read. */
export class Metrics {
  private readonly registry = new Registry();
  private readonly requests = new Counter({
    name: 'bitternvale_requests_total',
    help: 'Requests by route and status.',
    labelNames: ['route', 'status'] as const,
    registers: [this.registry],
  });
  private readonly seconds = new Histogram({
    name: 'bitternvale_request_seconds',
    help: 'Time from a request to its answer.',
    labelNames: ['route'] as const,
    buckets: [0.002, 0.005, 0.01, 0.03, 0.1, 0.3, 1, 3],
    registers: [this.registry],
  });
  private readonly passes = new Histogram({
    name: 'bitternvale_placement_pass_seconds',
    help: 'Time that a placement pass takes.',
    buckets: [0.001, 0.003, 0.01, 0.03, 0.1, 0.3],
    registers: [this.registry],
  });
  private readonly preempted = new Counter({
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

  /** A request has been answered. */
  observeRequest(route: string, status: number, ms: number): void {
    this.requests.inc({ route, status: String(status) });
    this.seconds.observe({ route }, ms / 1000);
  }

  /** A placement pass has ended. */
  observePlacementPass(ms: number): void {
    this.passes.observe(ms / 1000);
  }

  /** Tasks stopped so far to make room. */
  setPreemptions(total: number): void {
    this.preempted.reset();
    this.preempted.inc(total);
  }

  /** Messages of other controllers dropped since the process began. */
  setUnreadableMessages(total: number): void {
    this.unreadableMessages.reset();
    this.unreadableMessages.inc(total);
  }

  /** Sets a gauge, which is made with the first value. */
  setGauge(name: string, help: string, value: number): void {
    let g = this.gauges.get(name);
    if (g === undefined) {
      g = new Gauge({ name: `bitternvale_${name}`, help, registers: [this.registry] });
      this.gauges.set(name, g);
    }
    g.set(value);
  }

  /** All metrics as they are scraped. */
  render(): Promise<string> {
    return this.registry.metrics();
  }
}
