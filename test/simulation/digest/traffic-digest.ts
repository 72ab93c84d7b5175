/** A hash of all messages to and from the controllers of a simulation, in order. */
import { createHash } from 'node:crypto';
import { Controller } from '../../../src/controller/controller.js';
import type { Call, Runtime, Logger, Reply } from '../../../src/controller/runtime/runtime.js';
import { Metrics } from '../../../src/controller/operators/metrics.js';
import type { Settings } from '../../../src/controller/settings/settings.js';
import { encodeBody } from '../../../src/controller/wire/cbor.js';
import { presentVersion, type ProgramVersion } from '../program-version.js';

type Respond = Parameters<Controller['request']>[3];

const NO_BYTES = Buffer.alloc(0);
/** The only metric whose value depends on the machine that runs the test. */
const MEMORY_METRIC = /^(bitternvale_memory_bytes) .*$/m;

/** Returns the encoded body, or no bytes if there is no body. */
function bytesOf(body: unknown): Buffer {
  return body === undefined || body === null ? NO_BYTES : encodeBody(body);
}

function withoutMemoryMetric(metrics: Buffer): Buffer {
  return Buffer.from(metrics.toString().replace(MEMORY_METRIC, '$1 -'));
}

/**
 * Hashes each message to and from a controller, with the times of the controller's two clocks. Log
 * lines are not included.
 */
export class TrafficDigest {
  private readonly hash = createHash('sha256');
  /**
   * Number of hashed events, by kind. It shows how much behaviour the digest covers, because a
   * digest of few events detects few changes.
   */
  readonly counts = new Map<string, number>();

  /** Adds an event to the hash. */
  add(kind: string, details: readonly (string | number)[], bytes: Uint8Array): void {
    this.counts.set(kind, (this.counts.get(kind) ?? 0) + 1);
    this.hash.update(`${JSON.stringify([kind, ...details, bytes.length])}\n`);
    this.hash.update(bytes);
  }

  /**
   * Returns the current program version with a controller class whose messages are added to the
   * digest.
   */
  recordingVersion(): ProgramVersion {
    return { ...presentVersion(), Controller: recordingController(this) };
  }

  /** Returns the digest of all events in hex. No event can be added afterwards. */
  finish(): string {
    return this.hash.digest('hex');
  }
}

/** Wraps a runtime so that outgoing requests, their replies and outgoing frames are recorded. */
function recordedRuntime(runtime: Runtime, name: string, digest: TrafficDigest): Runtime {
  const add = (kind: string, details: readonly (string | number)[], bytes: Uint8Array): void =>
    digest.add(kind, [name, runtime.now(), runtime.wallClock(), ...details], bytes);
  return {
    startedAt: runtime.startedAt,
    now: () => runtime.now(),
    wallClock: () => runtime.wallClock(),
    random: () => runtime.random(),
    defer: (run) => runtime.defer(run),
    startTimer: (ms, run) => runtime.startTimer(ms, run),
    hasSpareConnection: (to) => runtime.hasSpareConnection(to),
    call(call: Call, done: (reply: Reply) => void): void {
      const request = [call.to, call.method, call.path];
      add('call', [...request, call.timeoutMs], bytesOf(call.body));
      runtime.call(call, (reply) => {
        add('reply', [...request, reply.status], bytesOf(reply.body));
        done(reply);
      });
    },
    sendPeer(host: string, frame: Buffer): void {
      add('frame sent', [host], frame);
      runtime.sendPeer(host, frame);
    },
  };
}

/** Returns a controller class that records incoming requests and frames, and the responses. */
function recordingController(digest: TrafficDigest): typeof Controller {
  return class RecordedController extends Controller {
    private readonly add: (
      kind: string,
      details: readonly (string | number)[],
      bytes: Uint8Array,
    ) => void;

    constructor(runtime: Runtime, log: Logger, settings: Settings, identity: string) {
      super(recordedRuntime(runtime, identity, digest), log, settings, identity);
      this.add = (kind, details, bytes) =>
        digest.add(kind, [identity, runtime.now(), runtime.wallClock(), ...details], bytes);
      this.metrics = new Metrics();
      this.add('start', [], NO_BYTES);
    }

    override peerFrame(bytes: Buffer): void {
      this.add('frame received', [], bytes);
      super.peerFrame(bytes);
    }

    override request(method: string, path: string, body: Buffer, respond: Respond): void {
      this.add('request', [method, path], body);
      super.request(method, path, body, (response) => {
        const { status, retryAfterS = '', allow = '', encodedBody } = response;
        const details = [method, path, status, retryAfterS, allow, encodedBody?.contentType ?? ''];
        const bytes =
          encodedBody === undefined
            ? bytesOf(response.body)
            : withoutMemoryMetric(encodedBody.bytes);
        this.add('answer', details, bytes);
        respond(response);
      });
    }
  };
}
