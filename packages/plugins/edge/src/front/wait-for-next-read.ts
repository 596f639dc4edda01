/** Waits until the process has noticed what arrived meanwhile. */

/**
 * Waits until the event loop has read all connections once more. Behind a request that was held up on its way, the end of its
 * connection may have arrived already, and it is reported only then.
 */
export async function waitForNextRead(): Promise<void> {
	for (let turns = 0; turns < 2; turns++) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}
