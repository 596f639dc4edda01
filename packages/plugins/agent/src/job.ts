/** One attempt at the agent, from its admission until its answer is confirmed. */
import {AnswerWriter} from '@hickorytrack/answer-stream/answer-writer';
import type {AttemptEnd, WorkSubmission} from '@hickorytrack/types/work';

export const jobPhases = {queued: 'queued', running: 'running', ended: 'ended'} as const;
export type JobPhase = typeof jobPhases[keyof typeof jobPhases];

export class Job {
	readonly submission: WorkSubmission;
	readonly writer: AnswerWriter;
	readonly abortController = new AbortController();
	phase: JobPhase = 'queued';
	/** True once the engine may have received any part of the request. */
	isWritten = false;
	/** Monotonic times in milliseconds. */
	queuedAt: number;
	startedAt = 0;
	endedAt = 0;
	firstPieceAt: number | undefined;
	priority = 0;
	share = 1;
	costMs = 0;
	betweenTokensMs = Number.POSITIVE_INFINITY;

	constructor(submission: WorkSubmission, queuedAt: number) {
		this.submission = submission;
		this.writer = new AnswerWriter(submission.attempt);
		this.queuedAt = queuedAt;
	}

	get attempt(): string {
		return this.submission.attempt;
	}

	get isIsolated(): boolean {
		return this.submission.isolated;
	}

	/** Estimated number of prompt tokens that still have to be prefilled. */
	get pendingPrefillTokens(): number {
		const {work} = this.submission;
		return work.kind === 'generation' && this.firstPieceAt === undefined ? Math.max(0, work.promptTokens - work.expectedCachedTokens) : 0;
	}

	get pendingDecodeTokens(): number {
		const {work} = this.submission;
		return work.kind === 'generation' ? Math.max(0, work.maxTokens - work.resumeFrom - this.writer.length) : 0;
	}

	/** Records how the attempt ended; only the first call has an effect. */
	recordEnd(end: AttemptEnd, at: number): void {
		if (this.phase !== 'ended') {
			this.phase = 'ended';
			this.endedAt = at;
			this.writer.close(end);
		}
	}
}
