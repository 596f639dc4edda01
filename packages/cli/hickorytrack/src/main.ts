#!/usr/bin/env node
/** The command `hickorytrack`. */
import {execute} from '@oclif/core';

await execute({dir: import.meta.url});
