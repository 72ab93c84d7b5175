/** A hash over all that enters and leaves the controllers of a simulation, in order. */
import { createHash } from 'node:crypto';
import { Controller } from '../../src/controller/controller.js';
import type { Call, Runtime, Logger, Reply } from '../../src/controller/runtime/runtime.js';
import { Metrics } from '../../src/controller/operators/metrics.js';
import type { Settings } from '../../src/controller/settings/settings.js';
import { encodeBody } from '../../src/controller/wire/cbor.js';
import { presentVersion, type ProgramVersion } from './program-version.js';

type Answered = Parameters<Controller['request']>[3];

const NO_BYTES = Buffer.alloc(0);
/** In the text of the metrics: the one figure that is the machine's and not the scenario's. */
const MEMORY_FIGURE = /^(bitternvale_memory_bytes) .*$/m;

/** The bytes of a body; none where there is no body. */
function bytesOf(body: unknown): Buffer {
  return body === undefined || body === null ? NO_BYTES : encodeBody(body);
}

function withoutMemory(metrics: Buffer): Buffer {
  return Buffer.from(metrics.toString().replace(MEMORY_FIGURE, '$1 -'));
}

/** Collects what crosses the edges of controllers, with their clocks; log lines are left out. */
export class TrafficDigest {
  private readonly hash = createHash('sha256');
  /** Events by kind: a digest of a day on which hardly anything happened shows little. */
  readonly counts = new Map<string, number>();

  /** Adds one event: what it is, its details, and its bytes. */
  add(kind: string, details: readonly (string | number)[], bytes: Uint8Array): void {
    this.counts.set(kind, (this.counts.get(kind) ?? 0) + 1);
    this.hash.update(`${JSON.stringify([kind, ...details, bytes.length])}\n`);
    this.hash.update(bytes);
  }

  /** The present version, each of whose processes is recorded. */
  recordedVersion(): ProgramVersion {
    return { ...presentVersion(), Controller: recordedController(this) };
  }

  /** The digest of all that was added; nothing can be added afterwards. */
  finish(): string {
    return this.hash.digest('hex');
  }
}

/** The runtime of a process; what it sends, and the replies to it, are recorded. */
function recordedEnv(runtime: Runtime, name: string, digest: TrafficDigest): Runtime {
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

/** The controller's class; requests and frames that reach its processes, and their answers, are recorded. */
function recordedController(digest: TrafficDigest): typeof Controller {
  return class RecordedController extends Controller {
    private readonly add: (
      kind: string,
      details: readonly (string | number)[],
      bytes: Uint8Array,
    ) => void;

    constructor(runtime: Runtime, log: Logger, settings: Settings, identity: string) {
      super(recordedEnv(runtime, identity, digest), log, settings, identity);
      this.add = (kind, details, bytes) =>
        digest.add(kind, [identity, runtime.now(), runtime.wallClock(), ...details], bytes);
      this.metrics = new Metrics();
      this.add('start', [], NO_BYTES);
    }

    override peerFrame(bytes: Buffer): void {
      this.add('frame received', [], bytes);
      super.peerFrame(bytes);
    }

    override request(method: string, path: string, body: Buffer, respond: Answered): void {
      this.add('request', [method, path], body);
      super.request(method, path, body, (answer) => {
        const { status, retryAfterS = '', allow = '', encodedBody } = answer;
        const details = [method, path, status, retryAfterS, allow, encodedBody?.contentType ?? ''];
        const bytes =
          encodedBody === undefined ? bytesOf(answer.body) : withoutMemory(encodedBody.bytes);
        this.add('answer', details, bytes);
        respond(answer);
      });
    }
  };
}
