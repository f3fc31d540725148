/**
 * Simulated engines, plain services and weight store for tests, benchmarks and the demo.
 */
export * as announcer from './announcer/announcer.js';
export * as engineHttp from './engine/engineHttp.js';
export * as engineModel from './engine/engineModel.js';
export type * as engineTypes from './engine/types.js';
export * as httpPoster from './announcer/httpPoster.js';
export * as orderReceiver from './engine/orderReceiver.js';
export * as malformedAnswers from './malformedAnswers.js';
export * as rawAnswerServer from './rawAnswerServer.js';
export * as rawCaller from './rawCaller.js';
export * as requestParser from './engine/requestParser.js';
export * as responseFraming from './responseFraming.js';
export * as serviceHttp from './service/serviceHttp.js';
export * as serviceModel from './service/serviceModel.js';
export * as weightStoreModel from './weightStore/weightStoreModel.js';
