/** Checks that a controller drops malformed peer messages and continues to accept well-formed ones. */
import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { Controller } from '../src/controller/controller.js';
import type { Logger } from '../src/controller/runtime/runtime.js';
import { Metrics } from '../src/controller/operators/metrics.js';
import { encodePeerMessage } from '../src/controller/peers/message-codec.js';
import { EMPTY_MESSAGE } from '../src/controller/peers/message.js';
import { defaultProperties } from '../src/controller/settings/properties.js';
import { Settings } from '../src/controller/settings/settings.js';
import { silentLogger } from './manual-runtime.js';
import { platformOf } from './platform.js';
import { smallDeployment } from './simulation/deployments/small.js';
import { Network } from './simulation/network.js';
import { ProcessRuntime } from './simulation/process-runtime.js';
import { SeededRandom } from './simulation/seeded-random.js';
import { VirtualClock } from './simulation/virtual-clock.js';

const HOST = 'kiln-0';

/** Virtual time in which the controller handles arrived messages and requests. */
const HANDLING_MS = 100;

/** A controller without connections: peers, state store and cloud answer nothing. */
class IsolatedController {
  readonly warnings: string[] = [];
  readonly errors: string[] = [];
  private readonly clock = new VirtualClock();
  private readonly controller: Controller;

  constructor() {
    const random = new SeededRandom(1);
    const network = new Network(this.clock, random);
    const runtime = new ProcessRuntime(this.clock, random, network, HOST, new Map());
    const { hosts, platform } = smallDeployment;
    const settings = new Settings(platformOf(hosts, HOST, platform), defaultProperties());
    this.controller = new Controller(runtime, this.logger(), settings, HOST);
    this.controller.metrics = new Metrics();
    this.controller.start();
  }

  private logger(): Logger {
    return {
      ...silentLogger,
      warn: (_, text) => this.warnings.push(text),
      error: (_, text) => this.errors.push(text),
    };
  }

  private runEventLoop(): void {
    this.clock.run(this.clock.now + HANDLING_MS, () => undefined);
  }

  /** Delivers a message from a peer. */
  receive(bytes: Buffer): void {
    this.controller.peerFrame(bytes);
    this.runEventLoop();
  }

  /** Reports that the connection from a peer was closed because of malformed data. */
  failConnection(err: Error): void {
    this.controller.peerConnectionFailed(err);
    this.runEventLoop();
  }

  /** Reads the number of dropped messages and failed connections from the metrics. */
  async droppedMessages(): Promise<number> {
    const metrics = new Promise<string>((resolve) => {
      this.controller.request('GET', '/metrics', Buffer.alloc(0), ({ encodedBody }) =>
        resolve((encodedBody?.bytes ?? '').toString()),
      );
    });
    this.runEventLoop();
    const line = /^bitternvale_unreadable_peer_messages_total (\d+)$/m.exec(await metrics);
    assert.ok(line, '/metrics lacks bitternvale_unreadable_peer_messages_total');
    return Number(line[1]);
  }
}

const wellFormed = encodePeerMessage({ ...EMPTY_MESSAGE, accepted: ['req-1', 'req-2'] });
const malformed: [string, Buffer][] = [
  ['is not Avro', Buffer.from('garbage of no kind at all')],
  ['is empty', Buffer.alloc(0)],
  ['is truncated', wellFormed.subarray(0, wellFormed.length - 3)],
  ['has an unknown type in a union', Buffer.concat([Buffer.from([4]), wellFormed.subarray(1)])],
  ['announces more array items than it has bytes', Buffer.from([0, 0xfe, 0xff, 0xff, 0xff, 0x0f])],
];

describe('a controller that receives peer messages', () => {
  let controller: IsolatedController;

  beforeEach(() => {
    controller = new IsolatedController();
  });

  it('accepts a well-formed message', async () => {
    assert.equal(await controller.droppedMessages(), 0);
    controller.receive(wellFormed);
    assert.equal(await controller.droppedMessages(), 0);
    assert.deepEqual(controller.warnings, []);
  });

  for (const [defect, bytes] of malformed)
    it(`drops, logs and counts a message that ${defect}, then accepts a well-formed one`, async () => {
      controller.receive(bytes);
      assert.equal(await controller.droppedMessages(), 1);
      assert.equal(controller.warnings.length, 1);
      controller.receive(wellFormed);
      assert.equal(await controller.droppedMessages(), 1);
      assert.deepEqual(controller.errors, []);
    });

  it('logs and counts a failed connection, then accepts a well-formed message', async () => {
    controller.failConnection(new Error('frame too large'));
    assert.equal(await controller.droppedMessages(), 1);
    assert.equal(controller.warnings.length, 1);
    controller.receive(wellFormed);
    assert.equal(await controller.droppedMessages(), 1);
    assert.deepEqual(controller.errors, []);
  });

  it('counts malformed messages and failed connections in one metric', async () => {
    for (const [index, [, bytes]] of malformed.entries()) {
      controller.receive(bytes);
      assert.equal(await controller.droppedMessages(), index + 1, `message ${index}`);
    }
    controller.failConnection(new Error('frame too large'));
    assert.equal(await controller.droppedMessages(), malformed.length + 1);
    assert.equal(controller.warnings.length, malformed.length + 1);
    assert.deepEqual(controller.errors, []);
  });
});
