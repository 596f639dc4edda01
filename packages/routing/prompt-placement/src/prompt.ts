/** The prompt of a request as its caller describes it. */

export type PromptPart = {
	id: string;
	tokens: number;
};

export type Prompt = {
	/** In order; the last one belongs to the request or its session alone. */
	parts: readonly PromptPart[];
	tokens: number;
	maxOutputTokens: number;
};

/** Returns the parts that other requests may share. */
export function listSharedParts(prompt: Prompt): readonly PromptPart[] {
	return prompt.parts.slice(0, -1);
}
