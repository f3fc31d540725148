/**
 * Public interface of the package: the client for control and the application of configuration files.
 */
export * as applyFile from './applyFile.js';
export * as operatorClient from './operatorClient.js';
