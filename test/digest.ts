/**
 * `npm run digest`: hashes the traffic that enters and leaves the controllers in fixed scenarios, and
 * compares the hashes with `test/digests.json`. `-- --write` stores the present hashes as the expected ones;
 * `-- --counts` prints the number of events by kind.
 */
import {
  expectedDigests,
  playDigests,
  totalDigest,
  writeDigests,
} from './simulation/digest/expected-digests.js';

const write = process.argv.includes('--write');
const expected = write ? {} : expectedDigests();
let differences = 0;
const digests = await playDigests((name, { digest, counts }) => {
  const isExpected = write || digest === expected[name];
  if (!isExpected) differences++;
  const events = [...counts.values()].reduce((sum, count) => sum + count, 0);
  console.log(`${digest}  ${name} (${events} events)${isExpected ? '' : ' DIFFERS'}`);
  if (process.argv.includes('--counts')) console.log(Object.fromEntries(counts));
});
console.log(`total ${totalDigest(digests)}`);
if (write) writeDigests(digests);
process.exitCode = differences > 0 ? 1 : 0;
