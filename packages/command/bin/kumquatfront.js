#!/usr/bin/env node
// Stands in the repository so that npm can link the command before the first build.
import '../dist/main.js';
