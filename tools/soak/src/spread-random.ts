/** Creates generators from seeds that lie close to each other, or are small: their own first numbers are alike, and none is below a half. */
import {Random} from '@hickorytrack/random';

const seedFactor = 2_654_435_761;

export function createSpreadRandom(seed: number): Random {
	return new Random(((seed + 1) * seedFactor) % (2 ** 32));
}
