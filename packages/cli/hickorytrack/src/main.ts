#!/usr/bin/env node
/** Entry point of the `hickorytrack` command. */
import {execute} from '@oclif/core';

await execute({dir: import.meta.url});
