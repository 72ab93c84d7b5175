/**
 * `npm run digest`: hashes of what enters and leaves the controllers in fixed scenarios, compared with
 * `test/digests.json`. `npm run digest -- --write` makes the present ones the expected.
 */
import { expectedDigests, playDigests, totalOf, writeDigests } from './simulation/digest-check.js';

const write = process.argv.includes('--write');
const expected = write ? {} : expectedDigests();
let differences = 0;
const digests = await playDigests((name, { digest, counts }) => {
  const same = write || digest === expected[name];
  if (!same) differences++;
  const events = [...counts.values()].reduce((sum, count) => sum + count, 0);
  console.log(`${digest}  ${name} (${events} events)${same ? '' : ' DIFFERS'}`);
  if (process.argv.includes('--counts')) console.log(Object.fromEntries(counts));
});
console.log(`total ${totalOf(digests)}`);
if (write) writeDigests(digests);
process.exitCode = differences > 0 ? 1 : 0;
