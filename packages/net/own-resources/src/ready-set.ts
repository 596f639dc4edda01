/**
 * The ready set of a zone: the instances to which the load balancer sends new connections. It uses all instances of a zone
 * when fewer than half of them are ready, so the set holds at least half.
 */
export type InstanceCapacity = {
	instance: string;
	/** Part of a core that the instance may use; 0 while it takes no new connections. */
	processorShare: number;
	linkMbps: number;
	/** Part of a core that it uses. */
	usedProcessor: number;
	usedMbps: number;
};

/** Fraction of its capacity up to which the set is used; the rest is for bursts until more instances have entered. */
const maxUse = 0.6;
/** An instance is as strong as its weaker resource, compared with these; more than this makes no instance stronger. */
export const strongProcessorShare = 0.7;
const strongLinkMbps = 50;

/** Returns the smallest set of the strongest instances that holds at least half of them and carries the load of all of them. */
export function selectReadySet(instances: readonly InstanceCapacity[]): Set<string> {
	const open = instances.filter(({processorShare}) => processorShare > 0);
	const minimumCount = Math.ceil(open.length / 2);
	const load = {
		processor: computeSum(instances.map(({usedProcessor}) => usedProcessor)),
		mbps: computeSum(instances.map(({usedMbps}) => usedMbps)),
	};
	const selected = new Set<string>();
	const capacity = {processor: 0, mbps: 0};
	for (const {instance, processorShare, linkMbps} of open.sort((a, b) => compareStrength(a, b))) {
		const isEnough = capacity.processor * maxUse >= load.processor && capacity.mbps * maxUse >= load.mbps;
		if (selected.size >= minimumCount && isEnough) {
			break;
		}

		selected.add(instance);
		capacity.processor += processorShare;
		capacity.mbps += linkMbps;
	}

	return selected;
}

/** Orders the stronger instance first, in the same way at every instance. */
function compareStrength(a: InstanceCapacity, b: InstanceCapacity): number {
	return computeStrength(b) - computeStrength(a) || b.processorShare - a.processorShare || b.linkMbps - a.linkMbps || (a.instance < b.instance ? -1 : 1);
}

function computeStrength({processorShare, linkMbps}: InstanceCapacity): number {
	return Math.min(1, processorShare / strongProcessorShare, linkMbps / strongLinkMbps);
}

function computeSum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}
