#!/usr/bin/env node
// Committed wrapper, so that npm can link the command before the first build.
import '../dist/control.js';
