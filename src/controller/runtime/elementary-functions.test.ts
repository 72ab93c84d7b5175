import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { exp, log, pow } from './elementary-functions.js';

// Guards against decisions that depend on the processor: at these arguments Math.exp, Math.log and ** of Node.js 20 on
// arm64 return other last bits than the plain JavaScript functions do on every processor.
describe('elementary functions', () => {
  it('return the same last bit on every processor', () => {
    assert.equal(exp(-14.952562730759382), 3.2076318395917527e-7);
    assert.equal(exp(-8.627207279205322), 0.0001791643030126142);
    assert.equal(log(3.0451396387652494), 1.1135467584897893);
    assert.equal(log(0.7750722882919945), -0.25479897876317575);
    assert.equal(pow(4.764601013157517, 13.254357167053968), 970076342.3337742);
    assert.equal(pow(0.08910882053896785, 0.14345096284523606), 0.7069116072315829);
  });

  it('keep the limits of the functions that they replace', () => {
    assert.equal(exp(-Infinity), 0);
    assert.equal(log(0), -Infinity);
    assert.equal(pow(0, 0), 1);
    assert.equal(pow(1e200, 2), Infinity);
  });
});
