/** The prompt of a request as its caller describes it. */

export type PromptPart = {
	id: string;
	tokens: number;
};

export type Prompt = {
	/** In prompt order; the last part belongs to the request or its session and is never shared. */
	parts: readonly PromptPart[];
	tokens: number;
	maxOutputTokens: number;
};

/** Returns the parts that may also occur in other requests: all but the last one. */
export function listSharedParts(prompt: Prompt): readonly PromptPart[] {
	return prompt.parts.slice(0, -1);
}
