import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { exampleMessage } from '../../../test/peer-message.js';
import { encodeFrame, FrameDecoder, FrameTooLargeError } from './framing.js';
import { decodePeerMessage, encodePeerMessage } from './message-codec.js';

describe('FrameDecoder', () => {
  it('decodes two frames whose bytes are split at any position', () => {
    const bytes = Buffer.concat([
      encodeFrame(encodePeerMessage(exampleMessage)),
      encodeFrame(encodePeerMessage(exampleMessage)),
    ]);
    for (let splitAt = 1; splitAt < bytes.length; splitAt++) {
      const decoder = new FrameDecoder();
      const frames = [
        ...decoder.push(bytes.subarray(0, splitAt)),
        ...decoder.push(bytes.subarray(splitAt)),
      ];
      assert.equal(frames.length, 2);
      for (const frame of frames)
        assert.equal(JSON.stringify(decodePeerMessage(frame)), JSON.stringify(exampleMessage));
    }
  });

  it('throws on a frame above the length limit', () => {
    const decoder = new FrameDecoder();
    assert.throws(() => decoder.push(Buffer.from([255, 255, 255, 255])), FrameTooLargeError);
  });
});
