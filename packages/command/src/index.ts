/**
 * The parts of the operators' command, for programs that apply configuration themselves.
 */
export * as applyFile from './applyFile.js';
export * as operatorClient from './operatorClient.js';
