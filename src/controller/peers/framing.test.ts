import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { exampleMessage } from '../../../test/peer-message.js';
import { encodeFrame, FrameDecoder, FrameTooLargeError } from './framing.js';
import { decodePeerMessage, encodePeerMessage } from './message-codec.js';

describe('FrameDecoder', () => {
  it('reassembles two messages wherever their bytes are cut', () => {
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

  it('throws on a frame longer than any message may be', () => {
    const decoder = new FrameDecoder();
    assert.throws(() => decoder.push(Buffer.from([255, 255, 255, 255])), FrameTooLargeError);
  });
});
