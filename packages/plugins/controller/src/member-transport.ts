/** Sends the messages of the replicated log over persistent peer links between the controllers. */
import type {PersistentLink, PeerNode} from '@hickorytrack/peer-link/peer-node';
import {HickorytrackError} from '@hickorytrack/errors';
import type {MemberMessage, MemberReply, MemberTransport} from '@hickorytrack/replicated-log/member-messages';
import type {MemberInfo} from '@hickorytrack/replicated-log/member-set';

export class PeerMemberTransport implements MemberTransport {
	readonly #peers: PeerNode;
	readonly #links = new Map<string, PersistentLink>();

	constructor(peers: PeerNode) {
		this.#peers = peers;
	}

	async call(to: MemberInfo, message: MemberMessage, timeoutMs: number): Promise<MemberReply> {
		const {connection} = this.getLink(to.address);
		const reply = await connection?.request('log.message', {payload: message}, {timeoutMs});
		if (!reply?.isOk()) {
			throw new HickorytrackError('ERR_HICKORYTRACK_MEMBER_UNREACHABLE', `No reply from controller ${to.id}`);
		}

		return reply.value.payload as MemberReply;
	}

	/** Returns the link to an address and opens it on first use. */
	getLink(address: string): PersistentLink {
		let link = this.#links.get(address);
		if (!link) {
			link = this.#peers.openLink(address);
			this.#links.set(address, link);
		}

		return link;
	}

	stop(): void {
		for (const link of this.#links.values()) {
			link.stop();
		}
	}
}
