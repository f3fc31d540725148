/**
 * Stand-ins for what the system serves: for tests, measurements and the demonstration.
 */
export * as announcer from './announcer/announcer.js';
export * as engineHttp from './engine/engineHttp.js';
export * as engineModel from './engine/engineModel.js';
export type * as engineTypes from './engine/types.js';
export * as httpPoster from './announcer/httpPoster.js';
export * as orderBook from './engine/orderBook.js';
export * as orderReader from './engine/orderReader.js';
export * as serviceHttp from './service/serviceHttp.js';
export * as serviceModel from './service/serviceModel.js';
export * as weightStoreModel from './weightStore/weightStoreModel.js';
