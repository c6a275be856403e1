/**
 * Endpoints, that is model engines and application engines: what is known of them and placement.
 */
package org.tamarackfold.endpoint;
