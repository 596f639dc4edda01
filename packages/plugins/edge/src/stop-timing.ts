/** How the grace period of a stop is divided. */

/** Parts of the grace period behind which an activity must have ended, in milliseconds. */
export const stopMargins = {
	/** For the shutdown after the drain. */
	drainMs: 700,
	/** For the end of the process when the callers have been waited for. */
	exitMs: 400,
} as const;
const maxDrainAcceptMs = 2500;

/** Time from the start of the drain during which requests are forwarded, in milliseconds; its second half is for the longest ones. */
export function computeDrainAcceptMs(graceMs: number): number {
	return Math.min(maxDrainAcceptMs, Math.max(0, graceMs - stopMargins.drainMs) / 2);
}
