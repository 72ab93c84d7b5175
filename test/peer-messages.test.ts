import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Controller } from '../src/controller/controller.js';
import type { Logger } from '../src/controller/runtime/runtime.js';
import { Metrics } from '../src/controller/operators/metrics.js';
import { encodePeerMessage } from '../src/controller/peers/message-codec.js';
import { EMPTY_MESSAGE } from '../src/controller/peers/message.js';
import { defaultProperties } from '../src/controller/settings/properties.js';
import { Settings } from '../src/controller/settings/settings.js';
import { platformOf } from './platform.js';
import { smallDeployment } from './simulation/deployments/deployment.js';
import { Network } from './simulation/network.js';
import { ProcessRuntime } from './simulation/process-runtime.js';
import { SeededRandom } from './simulation/seeded-random.js';
import { VirtualClock } from './simulation/virtual-clock.js';

const HOST = 'kiln-0';

/** A controller without any peer, state service or cloud that answers. */
class SingleController {
  readonly warnings: string[] = [];
  readonly errors: string[] = [];
  private readonly clock = new VirtualClock();
  private readonly random = new SeededRandom(1);
  private readonly controller: Controller;

  constructor() {
    const log: Logger = {
      info: () => undefined,
      debug: () => undefined,
      warn: (_, text) => this.warnings.push(text),
      error: (_, text) => this.errors.push(text),
    };
    const runtime = new ProcessRuntime(
      this.clock,
      this.random,
      new Network(this.clock, this.random),
      HOST,
      new Map(),
    );
    const settings = new Settings(
      platformOf(smallDeployment.hosts, HOST, smallDeployment.platform),
      defaultProperties(),
    );
    this.controller = new Controller(runtime, log, settings, HOST);
    this.controller.metrics = new Metrics();
    this.controller.start();
  }

  private pass(): void {
    this.clock.run(this.clock.now + 100, () => undefined);
  }

  /** A message arrives from a peer. */
  receive(bytes: Buffer): void {
    this.controller.peerFrame(bytes);
    this.pass();
  }

  /** A connection from a peer ends for what came on it. */
  broken(err: Error): void {
    this.controller.peerConnectionFailed(err);
    this.pass();
  }

  /** Messages dropped, as the metrics tell. */
  async dropped(): Promise<number> {
    const text = new Promise<string>((resolve) => {
      this.controller.request('GET', '/metrics', Buffer.alloc(0), (a) =>
        resolve((a.encodedBody?.bytes ?? '').toString()),
      );
    });
    this.pass();
    const line = /^bitternvale_unreadable_peer_messages_total (\d+)$/m.exec(await text);
    assert.ok(line, 'no such figure');
    return Number(line[1]);
  }
}

describe('messages of peers that cannot be read', () => {
  it('are dropped, logged and counted, and the controller goes on', async () => {
    const controller = new SingleController();
    const whole = encodePeerMessage({ ...EMPTY_MESSAGE, accepted: ['req-1', 'req-2'] });
    const unknownType = Buffer.concat([Buffer.from([4]), whole.subarray(1)]);
    const manyItems = Buffer.from([0, 0xfe, 0xff, 0xff, 0xff, 0x0f]);
    assert.equal(await controller.dropped(), 0);
    controller.receive(whole);
    assert.equal(await controller.dropped(), 0, 'a message that can be read');

    const broken = [
      Buffer.from('garbage of no kind at all'),
      Buffer.alloc(0),
      whole.subarray(0, whole.length - 3),
      unknownType,
      manyItems,
    ];
    for (const [i, bytes] of broken.entries()) {
      controller.receive(bytes);
      assert.equal(await controller.dropped(), i + 1, `message ${i}`);
    }
    controller.broken(new Error('frame too large'));
    assert.equal(await controller.dropped(), broken.length + 1);
    assert.equal(controller.warnings.length, broken.length + 1);

    controller.receive(whole);
    assert.equal(await controller.dropped(), broken.length + 1);
    assert.deepEqual(controller.errors, []);
  });
});
