/** The right to send one call to a server, which every call needs: a server may limit the calls that it takes. */

export type SendGrant = {
	/** Called when the call is written. */
	recordUse(): void;
	/** Called when the call has ended without being written; has no effect after `use`. */
	release(): void;
};

/** For a server that limits nothing. */
export const unlimitedGrant: SendGrant = {
	recordUse() {/* Nothing is counted. */},
	release() {/* Nothing is counted. */},
};
